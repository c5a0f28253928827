package queue

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	defaultRate   = 2000
	rateWeight    = 0.1
	minRate       = 1e-3
	minRetryAfter = 100 * time.Millisecond
	leavingRetry  = time.Second
	// credit is how much unused work an account may save up, in tokens, so that a burst of one that uses less than its
	// part does not wait behind one that always wants more.
	credit = 8000
	// maxLines bounds the idle accounts whose use is remembered.
	maxLines = 4096
)

// Item is one request that waits or runs.
type Item struct {
	// ID is unique within the queue.
	ID uint64
	// Account is whose turn the item uses.
	Account rillreach.AccountID
	// Cost is the work asked for, in tokens.
	Cost float64
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Verdict says what became of an item that was offered.
type Verdict uint8

const (
	// Started says that the item may run now.
	Started Verdict = iota + 1
	// Waiting says that the item will be started later.
	Waiting
	// Refused says that the item was not taken.
	Refused
)

// Decision is the answer to an offer.
type Decision struct {
	Verdict    Verdict
	Reason     rillreach.Reason
	RetryAfter time.Duration
	// Wait is the estimated time until the item starts.
	Wait time.Duration
}

// Queue holds waiting items and counts running ones; it is not safe for use by several goroutines.
//
// The order is start-time fair: each item has the virtual time at which its account, had it been served with an equal
// part of the work, would begin it. An account that has not used its part is before all that have used theirs.
type Queue struct {
	// Slots is how many items run at once.
	Slots int
	// MaxWaiting bounds the items that wait.
	MaxWaiting int

	lines   map[rillreach.AccountID]*line
	order   []*line
	running map[uint64]started
	virtual float64
	waiting int
	backlog float64
	rate    float64
	closed  bool
}

// line is an account's items in the order in which they came; it is forgotten once its virtual time is over.
type line struct {
	account rillreach.AccountID
	items   []Item
	cost    float64
	// begin is the virtual time of the first item, or of the next one to come.
	begin float64
}

type started struct {
	item Item
	at   time.Time
}

// Offer decides on an item that arrives.
func (q *Queue) Offer(now time.Time, item Item) Decision {
	q.ready()
	if q.closed {
		return Decision{Verdict: Refused, Reason: rillreach.ReasonLeaving, RetryAfter: leavingRetry}
	}
	if q.waiting == 0 && len(q.running) < q.Slots {
		q.startNow(now, item)
		return Decision{Verdict: Started}
	}
	wait := q.EstimateWait(item.Account)
	if q.waiting >= q.MaxWaiting {
		return Decision{Verdict: Refused, Reason: rillreach.ReasonOverload, RetryAfter: max(wait, minRetryAfter), Wait: wait}
	}
	if !item.Deadline.IsZero() && now.Add(wait).After(item.Deadline) {
		late := now.Add(wait).Sub(item.Deadline)
		return Decision{Verdict: Refused, Reason: rillreach.ReasonDeadline, RetryAfter: max(late, minRetryAfter), Wait: wait}
	}
	q.push(item)
	return Decision{Verdict: Waiting, Wait: wait}
}

// Finish ends a running item and returns the items that start now and those whose deadline has passed while waiting.
func (q *Queue) Finish(now time.Time, id uint64) (starts, late []Item) {
	q.ready()
	if s, ok := q.running[id]; ok {
		delete(q.running, id)
		q.learn(s, now)
	}
	return q.fill(now)
}

// Remove takes a waiting item out, as when its caller has gone; it reports whether the item was waiting.
func (q *Queue) Remove(id uint64) bool {
	for _, l := range q.order {
		at := slices.IndexFunc(l.items, func(i Item) bool { return i.ID == id })
		if at < 0 {
			continue
		}
		item := l.items[at]
		l.items = slices.Delete(l.items, at, at+1)
		q.forget(l, item)
		q.dropEmpty(l)
		return true
	}
	return false
}

// Close has the queue refuse every later offer; what waits still runs.
func (q *Queue) Close() {
	q.closed = true
}

// EstimateWait estimates how long a new item of the account would wait: what its own account has waiting is before it, and of
// every other account as much as fits into an equal part.
func (q *Queue) EstimateWait(account rillreach.AccountID) time.Duration {
	if len(q.running) < q.Slots && q.waiting == 0 {
		return 0
	}
	own, begin := 0.0, q.virtual-credit
	if l := q.lines[account]; l != nil {
		own, begin = l.cost, max(l.begin, q.virtual-credit)
	}
	ahead := own
	for _, l := range q.order {
		if l.account != account {
			ahead += max(0, min(l.cost, begin+own-l.begin))
		}
	}
	return seconds((ahead + q.runningShare()) / q.Rate())
}

// Backlog is the work that waits, in tokens.
func (q *Queue) Backlog() float64 { return q.backlog }

// Running is how many items run.
func (q *Queue) Running() int { return len(q.running) }

// Waiting is how many items wait.
func (q *Queue) Waiting() int { return q.waiting }

// Rate is the measured work done per second by all slots together, in tokens.
func (q *Queue) Rate() float64 {
	if q.rate <= 0 {
		return defaultRate
	}
	return q.rate
}

func (q *Queue) ready() {
	if q.lines != nil {
		return
	}
	q.lines = map[rillreach.AccountID]*line{}
	q.running = map[uint64]started{}
}

// runningShare is the work until the next slot is expected to be free.
func (q *Queue) runningShare() float64 {
	total := 0.0
	for _, s := range q.running {
		total += s.item.Cost
	}
	return total / float64(max(len(q.running), 1)) / float64(max(q.Slots, 1))
}

// startNow starts an item that need not wait, and charges its account for it.
func (q *Queue) startNow(now time.Time, item Item) {
	l := q.line(item.Account)
	l.begin = max(l.begin, q.virtual-credit) + item.Cost
	q.start(now, item)
}

func (q *Queue) start(now time.Time, item Item) {
	q.running[item.ID] = started{item: item, at: now}
}

func (q *Queue) push(item Item) {
	l := q.line(item.Account)
	if len(l.items) == 0 {
		l.begin = max(l.begin, q.virtual-credit)
		q.order = append(q.order, l)
	}
	l.items = append(l.items, item)
	l.cost += item.Cost
	q.waiting++
	q.backlog += item.Cost
}

func (q *Queue) fill(now time.Time) (starts, late []Item) {
	for len(q.running) < q.Slots {
		l := q.first()
		if l == nil {
			break
		}
		item := q.pop(now, l)
		if expired(item, now) {
			late = append(late, item)
			continue
		}
		q.start(now, item)
		starts = append(starts, item)
	}
	return starts, late
}

// first is the account that is first in order, or nil.
func (q *Queue) first() *line {
	var first *line
	for _, l := range q.order {
		if first == nil || l.begin < first.begin {
			first = l
		}
	}
	return first
}

// pop takes the first item of an account. One that is too late to start is not charged for.
func (q *Queue) pop(now time.Time, l *line) Item {
	item := l.items[0]
	l.items = l.items[1:]
	q.forget(l, item)
	q.virtual = max(q.virtual, l.begin)
	if !expired(item, now) {
		l.begin += item.Cost
	}
	q.dropEmpty(l)
	return item
}

// dropEmpty takes an account that has nothing waiting out of the order.
func (q *Queue) dropEmpty(l *line) {
	if len(l.items) == 0 {
		q.order = slices.DeleteFunc(q.order, func(other *line) bool { return other == l })
	}
}

func expired(item Item, now time.Time) bool {
	return !item.Deadline.IsZero() && !now.Before(item.Deadline)
}

func (q *Queue) forget(l *line, item Item) {
	l.cost -= item.Cost
	q.waiting--
	q.backlog -= item.Cost
}

func (q *Queue) line(account rillreach.AccountID) *line {
	l := q.lines[account]
	if l == nil {
		q.forgetIdle()
		l = &line{account: account}
		q.lines[account] = l
	}
	return l
}

// forgetIdle forgets the accounts that have nothing waiting and whose use is over, once there are many.
func (q *Queue) forgetIdle() {
	if len(q.lines) < maxLines {
		return
	}
	for account, l := range q.lines {
		if len(l.items) == 0 && l.begin <= q.virtual-credit {
			delete(q.lines, account)
		}
	}
}

// learn moves the measured rate towards what the finished item showed: its work over its time, by all slots.
func (q *Queue) learn(s started, now time.Time) {
	took := now.Sub(s.at).Seconds()
	if took <= 0 {
		return
	}
	seen := s.item.Cost / took * float64(len(q.running)+1)
	if q.rate <= 0 {
		q.rate = max(seen, minRate)
		return
	}
	q.rate += rateWeight * (seen - q.rate)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
