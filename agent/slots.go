package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/queue"
)

// scheduler starts requests in the order that the queue determines.
type scheduler struct {
	clock  rillreach.Clock
	nextID atomic.Uint64

	mu      sync.Mutex
	queue   queue.Queue
	waiting map[uint64]chan queueResult
}

// queueResult is the reason why a request stops waiting.
type queueResult uint8

const (
	// resultStarted means that the request may run.
	resultStarted queueResult = iota + 1
	// resultDropped means that the request's deadline passed while it waited.
	resultDropped
	// resultShutdown means that the agent stopped before the request could start.
	resultShutdown
)

// reservation is the place of a request in the queue and, once it starts, its slot.
type reservation struct {
	scheduler *scheduler
	id        uint64
	deadline  time.Time
	result    chan queueResult
	// estimatedWait is the estimated wait at the time of arrival.
	estimatedWait time.Duration
}

func newScheduler(slotCount, maxWaiting int, clock rillreach.Clock) *scheduler {
	return &scheduler{
		clock:   clock,
		queue:   queue.Queue{Slots: slotCount, MaxWaiting: maxWaiting},
		waiting: map[uint64]chan queueResult{},
	}
}

// enqueue adds a request to the queue, or refuses it immediately.
func (s *scheduler) enqueue(account rillreach.AccountID, cost float64, deadline time.Time) (*reservation, *rillreach.Refusal) {
	r := &reservation{scheduler: s, id: s.nextID.Add(1), deadline: deadline, result: make(chan queueResult, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.queue.Offer(s.clock.Now(), queue.Item{ID: r.id, Account: account, Cost: cost, Deadline: deadline})
	r.estimatedWait = decision.Wait
	switch decision.Verdict {
	case queue.Refused:
		return nil, rillreach.NotRun(decision.Reason, "backend server cannot start the request in time").WithRetryAfter(decision.RetryAfter)
	case queue.Started:
		r.result <- resultStarted
	default:
		s.waiting[r.id] = r.result
	}
	return r, nil
}

// await waits until the request may run. If it returns nil, the caller must release the reservation.
func (r *reservation) await(ctx context.Context) error {
	expired, stop := r.deadlineTimer()
	defer stop()
	select {
	case result := <-r.result:
		return r.resultError(result)
	case <-ctx.Done():
		r.cancel()
		if cause := context.Cause(ctx); !errors.Is(cause, errGraceExpired) {
			return cause
		}
		return leavingRefusal()
	case <-expired:
		r.cancel()
		return r.deadlineRefusal()
	}
}

// release frees the slot, so that the next requests in the queue can start.
func (r *reservation) release() {
	r.scheduler.mu.Lock()
	defer r.scheduler.mu.Unlock()
	starts, dropped := r.scheduler.queue.Finish(r.scheduler.clock.Now(), r.id)
	r.scheduler.notify(starts, resultStarted)
	r.scheduler.notify(dropped, resultDropped)
}

func (r *reservation) resultError(result queueResult) error {
	switch result {
	case resultDropped:
		return r.deadlineRefusal()
	case resultShutdown:
		return leavingRefusal()
	default:
		return nil
	}
}

// cancel gives up the reservation, whether the request is still waiting or has just been started.
func (r *reservation) cancel() {
	r.scheduler.mu.Lock()
	removed := r.scheduler.queue.Remove(r.id)
	delete(r.scheduler.waiting, r.id)
	r.scheduler.mu.Unlock()
	if !removed {
		r.release()
	}
}

// leavingRefusal refuses a request that did not start before the agent's grace period expired.
func leavingRefusal() error {
	return rillreach.NotRun(rillreach.ReasonLeaving, errGraceExpired.Error())
}

func (r *reservation) deadlineRefusal() error {
	retryAfter := r.scheduler.estimateWait()
	return rillreach.NotRun(rillreach.ReasonDeadline, "deadline passed while the request waited").WithRetryAfter(retryAfter)
}

// deadlineTimer returns a channel that fires at the deadline, and a function that stops the timer. The channel is nil
// if the request has no deadline.
func (r *reservation) deadlineTimer() (<-chan time.Time, func()) {
	if r.deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(r.deadline.Sub(r.scheduler.clock.Now()))
	return timer.C, func() { timer.Stop() }
}

// notify delivers the result to the given items, except to those that have already been canceled.
func (s *scheduler) notify(items []queue.Item, result queueResult) {
	for _, item := range items {
		if ch := s.waiting[item.ID]; ch != nil {
			delete(s.waiting, item.ID)
			ch <- result
		}
	}
}

func (s *scheduler) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Close()
}

// cancelWaiting ends the wait of all requests that have not started, so that none of them starts any more.
func (s *scheduler) cancelWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ch := range s.waiting {
		s.queue.Remove(id)
		delete(s.waiting, id)
		ch <- resultShutdown
	}
}

// estimateWait returns the estimated wait of a new request.
func (s *scheduler) estimateWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.EstimateWait("")
}

func (s *scheduler) backlog() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Backlog()
}
