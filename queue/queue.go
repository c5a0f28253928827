package queue

import (
	"time"

	"github.com/rillreach/rillreach"
)

const (
	defaultQuantum   = 1024
	defaultRate      = 2000
	rateWeight       = 0.1
	minRetryAfter    = 100 * time.Millisecond
	leavingRetry     = time.Second
	minRateFraction  = 1e-3
	shareOfSlotsBusy = 1
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
type Queue struct {
	// Slots is how many items run at once.
	Slots int
	// MaxWaiting bounds the items that wait.
	MaxWaiting int
	// Quantum is the work an account may start in one turn, in tokens; zero means a default.
	Quantum float64

	lines   map[rillreach.AccountID]*line
	ring    []*line
	running map[uint64]started
	waiting int
	backlog float64
	rate    float64
	closed  bool
}

type line struct {
	account rillreach.AccountID
	items   []Item
	cost    float64
	deficit float64
	charged bool
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
		q.start(now, item)
		return Decision{Verdict: Started}
	}
	wait := q.Wait(item.Account)
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
	for _, l := range q.ring {
		for i, item := range l.items {
			if item.ID != id {
				continue
			}
			l.items = append(l.items[:i:i], l.items[i+1:]...)
			q.forget(l, item)
			q.dropEmpty()
			return true
		}
	}
	return false
}

// Close has the queue refuse every later offer; what waits still runs.
func (q *Queue) Close() {
	q.closed = true
}

// Wait estimates how long a new item of the account would wait: its account's own turns are all that is before it
// when others have more waiting than it has.
func (q *Queue) Wait(account rillreach.AccountID) time.Duration {
	if len(q.running) < q.Slots && q.waiting == 0 {
		return 0
	}
	own := 0.0
	if l := q.lines[account]; l != nil {
		own = l.cost
	}
	ahead := own
	for _, l := range q.ring {
		if l.account != account {
			ahead += min(l.cost, own+q.quantum())
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

func (q *Queue) quantum() float64 {
	if q.Quantum <= 0 {
		return defaultQuantum
	}
	return q.Quantum
}

// runningShare is the work until the next slot is expected to be free.
func (q *Queue) runningShare() float64 {
	total := 0.0
	for _, s := range q.running {
		total += s.item.Cost
	}
	return total / float64(max(len(q.running), 1)) / float64(max(q.Slots, 1))
}

func (q *Queue) start(now time.Time, item Item) {
	q.running[item.ID] = started{item: item, at: now}
}

func (q *Queue) push(item Item) {
	l := q.lines[item.Account]
	if l == nil {
		l = &line{account: item.Account}
		q.lines[item.Account] = l
		q.ring = append(q.ring, l)
	}
	l.items = append(l.items, item)
	l.cost += item.Cost
	q.waiting++
	q.backlog += item.Cost
}

func (q *Queue) fill(now time.Time) (starts, late []Item) {
	for len(q.running) < q.Slots && q.waiting > 0 {
		item := q.pop()
		if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
			late = append(late, item)
			continue
		}
		q.start(now, item)
		starts = append(starts, item)
	}
	return starts, late
}

// pop takes the next item by deficit round robin; something must be waiting.
func (q *Queue) pop() Item {
	for {
		l := q.ring[0]
		if !l.charged {
			l.deficit += q.quantum()
			l.charged = true
		}
		if item := l.items[0]; item.Cost <= l.deficit {
			l.deficit -= item.Cost
			l.items = l.items[1:]
			q.forget(l, item)
			q.dropEmpty()
			return item
		}
		l.charged = false
		q.ring = append(q.ring[1:], l)
	}
}

func (q *Queue) forget(l *line, item Item) {
	l.cost -= item.Cost
	q.waiting--
	q.backlog -= item.Cost
}

func (q *Queue) dropEmpty() {
	kept := q.ring[:0]
	for _, l := range q.ring {
		if len(l.items) == 0 {
			delete(q.lines, l.account)
			continue
		}
		kept = append(kept, l)
	}
	clear(q.ring[len(kept):])
	q.ring = kept
}

// learn moves the measured rate towards what the finished item showed: its work over its time, by all slots.
func (q *Queue) learn(s started, now time.Time) {
	took := now.Sub(s.at).Seconds()
	if took <= 0 {
		return
	}
	seen := s.item.Cost / took * float64(len(q.running)+shareOfSlotsBusy)
	if q.rate <= 0 {
		q.rate = max(seen, minRateFraction)
		return
	}
	q.rate += rateWeight * (seen - q.rate)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
