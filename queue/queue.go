package queue

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// defaultRate is the throughput in tokens per second that is assumed until an item has finished.
	defaultRate = 2000
	// rateSmoothing is the weight of the newest item in the moving average of the throughput.
	rateSmoothing = 0.1
	// minRate keeps the first measurement of the throughput above zero, in tokens per second.
	minRate = 1e-3
	// minRetryAfter is the shortest retry delay given while the queue is open.
	minRetryAfter = 100 * time.Millisecond
	// closedRetryAfter is the retry delay given once the queue is closed.
	closedRetryAfter = time.Second
	// maxCredit is how much unused service an account may accumulate, in tokens, so that a burst of an account that
	// uses less than its share does not wait behind an account that always asks for more.
	maxCredit = 8000
	// maxAccounts is the number of tracked accounts at which idle ones are evicted.
	maxAccounts = 4096
)

// Item is a request that waits in the queue or runs.
type Item struct {
	// ID is unique within the queue.
	ID uint64
	// Account is the client account that the item is charged to.
	Account rillreach.AccountID
	// Cost is the work that the item asks for, in tokens.
	Cost float64
	// Deadline is when the caller gives up. Zero means never.
	Deadline time.Time
}

// Verdict is the outcome of offering an item.
type Verdict uint8

const (
	// Started means that the item may run now.
	Started Verdict = iota + 1
	// Waiting means that the item was queued and will start later.
	Waiting
	// Refused means that the item was not accepted.
	Refused
)

// Decision is the result of an offer.
type Decision struct {
	Verdict Verdict
	// Reason and RetryAfter are set if the item is refused.
	Reason     rillreach.Reason
	RetryAfter time.Duration
	// Wait is the estimated time until a waiting item starts, or until a refused item would have started.
	Wait time.Duration
}

// Queue holds waiting items and tracks running ones. It is not safe for concurrent use.
//
// Items start in order of start-time fair queueing: the start tag of an item is the virtual time at which it would
// start if every account received an equal share of the service. An account that has used less than its share goes
// before those that have used theirs.
type Queue struct {
	// Slots is the number of items that may run at the same time.
	Slots int
	// MaxWaiting is the number of items that may wait.
	MaxWaiting int

	accounts     map[rillreach.AccountID]*accountQueue
	active       []*accountQueue
	running      map[uint64]runningItem
	virtualTime  float64
	waitingItems int
	waitingCost  float64
	measuredRate float64
	closed       bool
}

// accountQueue holds the waiting items of one account in order of arrival.
type accountQueue struct {
	account     rillreach.AccountID
	items       []Item
	waitingCost float64
	// startTag is the virtual start time of the first waiting item, or of the next item if none waits.
	startTag float64
}

type runningItem struct {
	item      Item
	startedAt time.Time
}

// Offer starts, queues or refuses a new item.
func (q *Queue) Offer(now time.Time, item Item) Decision {
	q.init()
	if q.closed {
		return Decision{Verdict: Refused, Reason: rillreach.ReasonLeaving, RetryAfter: closedRetryAfter}
	}
	if q.waitingItems == 0 && len(q.running) < q.Slots {
		q.startImmediately(now, item)
		return Decision{Verdict: Started}
	}
	wait := q.EstimateWait(item.Account)
	if q.waitingItems >= q.MaxWaiting {
		return Decision{Verdict: Refused, Reason: rillreach.ReasonOverload, RetryAfter: max(wait, minRetryAfter), Wait: wait}
	}
	if !item.Deadline.IsZero() && now.Add(wait).After(item.Deadline) {
		late := now.Add(wait).Sub(item.Deadline)
		return Decision{Verdict: Refused, Reason: rillreach.ReasonDeadline, RetryAfter: max(late, minRetryAfter), Wait: wait}
	}
	q.enqueue(item)
	return Decision{Verdict: Waiting, Wait: wait}
}

// Finish ends a running item. It returns the items that start now, and the items dropped from the queue because their
// deadline has passed.
func (q *Queue) Finish(now time.Time, id uint64) (starts, dropped []Item) {
	q.init()
	if running, ok := q.running[id]; ok {
		delete(q.running, id)
		q.updateRate(running, now)
	}
	return q.fillSlots(now)
}

// Remove deletes a waiting item, for example because its caller is gone, and reports whether the item was waiting.
func (q *Queue) Remove(id uint64) bool {
	for _, a := range q.active {
		index := slices.IndexFunc(a.items, func(i Item) bool { return i.ID == id })
		if index < 0 {
			continue
		}
		item := a.items[index]
		a.items = slices.Delete(a.items, index, index+1)
		q.subtractWaiting(a, item)
		q.deactivateIfEmpty(a)
		return true
	}
	return false
}

// Close makes the queue refuse all later offers. Waiting items still start.
func (q *Queue) Close() {
	q.closed = true
}

// EstimateWait returns the estimated wait of a new item of the account. All waiting items of the same account go before
// it, and of each other account the work that is earlier in virtual time.
func (q *Queue) EstimateWait(account rillreach.AccountID) time.Duration {
	if len(q.running) < q.Slots && q.waitingItems == 0 {
		return 0
	}
	ownCost, start := 0.0, q.virtualTime-maxCredit
	if a := q.accounts[account]; a != nil {
		ownCost, start = a.waitingCost, max(a.startTag, q.virtualTime-maxCredit)
	}
	ahead := ownCost
	for _, a := range q.active {
		if a.account != account {
			ahead += max(0, min(a.waitingCost, start+ownCost-a.startTag))
		}
	}
	return toDuration((ahead + q.costUntilSlotFree()) / q.Rate())
}

// Backlog returns the total cost of the waiting items, in tokens.
func (q *Queue) Backlog() float64 { return q.waitingCost }

// Running returns the number of running items.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return q.waitingItems }

// Rate returns the measured throughput of all slots together, in tokens per second.
func (q *Queue) Rate() float64 {
	if q.measuredRate <= 0 {
		return defaultRate
	}
	return q.measuredRate
}

func (q *Queue) init() {
	if q.accounts != nil {
		return
	}
	q.accounts = map[rillreach.AccountID]*accountQueue{}
	q.running = map[uint64]runningItem{}
}

// costUntilSlotFree returns the work that all slots together are expected to do until the next slot is free, in tokens.
func (q *Queue) costUntilSlotFree() float64 {
	total := 0.0
	for _, r := range q.running {
		total += r.item.Cost
	}
	return total / float64(max(len(q.running), 1)) / float64(max(q.Slots, 1))
}

// startImmediately starts an item that does not have to wait and charges its account.
func (q *Queue) startImmediately(now time.Time, item Item) {
	a := q.accountFor(item.Account)
	a.startTag = max(a.startTag, q.virtualTime-maxCredit) + item.Cost
	q.markRunning(now, item)
}

func (q *Queue) markRunning(now time.Time, item Item) {
	q.running[item.ID] = runningItem{item: item, startedAt: now}
}

func (q *Queue) enqueue(item Item) {
	a := q.accountFor(item.Account)
	if len(a.items) == 0 {
		a.startTag = max(a.startTag, q.virtualTime-maxCredit)
		q.active = append(q.active, a)
	}
	a.items = append(a.items, item)
	a.waitingCost += item.Cost
	q.waitingItems++
	q.waitingCost += item.Cost
}

// fillSlots starts waiting items while slots are free. It also returns the expired items that it dropped.
func (q *Queue) fillSlots(now time.Time) (starts, dropped []Item) {
	for len(q.running) < q.Slots {
		a := q.nextAccount()
		if a == nil {
			break
		}
		item := q.dequeue(now, a)
		if expired(item, now) {
			dropped = append(dropped, item)
			continue
		}
		q.markRunning(now, item)
		starts = append(starts, item)
	}
	return starts, dropped
}

// nextAccount returns the active account with the lowest start tag, or nil if no items wait.
func (q *Queue) nextAccount() *accountQueue {
	var next *accountQueue
	for _, a := range q.active {
		if next == nil || a.startTag < next.startTag {
			next = a
		}
	}
	return next
}

// dequeue removes and returns the first item of an account. The account is not charged for an item whose deadline has
// passed.
func (q *Queue) dequeue(now time.Time, a *accountQueue) Item {
	item := a.items[0]
	a.items = a.items[1:]
	q.subtractWaiting(a, item)
	q.virtualTime = max(q.virtualTime, a.startTag)
	if !expired(item, now) {
		a.startTag += item.Cost
	}
	q.deactivateIfEmpty(a)
	return item
}

// deactivateIfEmpty removes an account without waiting items from the active ones.
func (q *Queue) deactivateIfEmpty(a *accountQueue) {
	if len(a.items) == 0 {
		q.active = slices.DeleteFunc(q.active, func(other *accountQueue) bool { return other == a })
	}
}

// expired reports whether the deadline of the item has passed.
func expired(item Item, now time.Time) bool {
	return !item.Deadline.IsZero() && !now.Before(item.Deadline)
}

// subtractWaiting takes an item that no longer waits out of the totals.
func (q *Queue) subtractWaiting(a *accountQueue, item Item) {
	a.waitingCost -= item.Cost
	q.waitingItems--
	q.waitingCost -= item.Cost
}

// accountFor returns the queue of an account and creates it if needed.
func (q *Queue) accountFor(account rillreach.AccountID) *accountQueue {
	a := q.accounts[account]
	if a == nil {
		q.evictIdleAccounts()
		a = &accountQueue{account: account}
		q.accounts[account] = a
	}
	return a
}

// evictIdleAccounts removes the accounts that have no waiting items and their full credit, once maxAccounts are
// tracked.
func (q *Queue) evictIdleAccounts() {
	if len(q.accounts) < maxAccounts {
		return
	}
	for account, a := range q.accounts {
		if len(a.items) == 0 && a.startTag <= q.virtualTime-maxCredit {
			delete(q.accounts, account)
		}
	}
}

// updateRate updates the moving average of the throughput with a finished item: its cost over its duration, times the
// number of items that ran.
func (q *Queue) updateRate(r runningItem, now time.Time) {
	elapsed := now.Sub(r.startedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	observed := r.item.Cost / elapsed * float64(len(q.running)+1)
	if q.measuredRate <= 0 {
		q.measuredRate = max(observed, minRate)
		return
	}
	q.measuredRate += rateSmoothing * (observed - q.measuredRate)
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
