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

// slots lets requests run in the order that the queue decides.
type slots struct {
	clock rillreach.Clock
	next  atomic.Uint64

	mu      sync.Mutex
	queue   queue.Queue
	waiting map[uint64]chan turn
}

type turn uint8

const (
	turnRun turn = iota + 1
	turnLate
	// turnOver says that the agent ends before the request's turn.
	turnOver
)

// place is one request's place in the queue.
type place struct {
	slots    *slots
	id       uint64
	deadline time.Time
	turns    chan turn
	// wait is the estimate at arrival.
	wait time.Duration
}

func newSlots(count, maxWaiting int, clock rillreach.Clock) *slots {
	return &slots{
		clock:   clock,
		queue:   queue.Queue{Slots: count, MaxWaiting: maxWaiting},
		waiting: map[uint64]chan turn{},
	}
}

// enter takes a place for a request, or refuses it at once.
func (s *slots) enter(account rillreach.AccountID, cost float64, deadline time.Time) (*place, *rillreach.Refusal) {
	p := &place{slots: s, id: s.next.Add(1), deadline: deadline, turns: make(chan turn, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.queue.Offer(s.clock.Now(), queue.Item{ID: p.id, Account: account, Cost: cost, Deadline: deadline})
	p.wait = d.Wait
	switch d.Verdict {
	case queue.Refused:
		return nil, rillreach.NotRun(d.Reason, "backend server cannot start the request in time").WithRetryAfter(d.RetryAfter)
	case queue.Started:
		p.turns <- turnRun
	default:
		s.waiting[p.id] = p.turns
	}
	return p, nil
}

// await waits for the place's turn; without an error the place has to be left.
func (p *place) await(ctx context.Context) error {
	expired, stop := p.expiry()
	defer stop()
	select {
	case t := <-p.turns:
		return p.took(t)
	case <-ctx.Done():
		p.abandon()
		if cause := context.Cause(ctx); !errors.Is(cause, errEnding) {
			return cause
		}
		return over()
	case <-expired:
		p.abandon()
		return p.late()
	}
}

// leave gives the slot to the next in order.
func (p *place) leave() {
	p.slots.mu.Lock()
	defer p.slots.mu.Unlock()
	starts, late := p.slots.queue.Finish(p.slots.clock.Now(), p.id)
	p.slots.tell(starts, turnRun)
	p.slots.tell(late, turnLate)
}

func (p *place) took(t turn) error {
	switch t {
	case turnLate:
		return p.late()
	case turnOver:
		return over()
	default:
		return nil
	}
}

// abandon gives up a place whose turn may have come meanwhile.
func (p *place) abandon() {
	p.slots.mu.Lock()
	removed := p.slots.queue.Remove(p.id)
	delete(p.slots.waiting, p.id)
	p.slots.mu.Unlock()
	if !removed {
		p.leave()
	}
}

// over is the answer to a request whose turn did not come before the agent's end.
func over() error {
	return rillreach.NotRun(rillreach.ReasonLeaving, errEnding.Error())
}

func (p *place) late() error {
	retry := p.slots.estimate()
	return rillreach.NotRun(rillreach.ReasonDeadline, "deadline passed while the request waited").WithRetryAfter(retry)
}

func (p *place) expiry() (<-chan time.Time, func()) {
	if p.deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(p.deadline.Sub(p.slots.clock.Now()))
	return timer.C, func() { timer.Stop() }
}

func (s *slots) tell(items []queue.Item, t turn) {
	for _, item := range items {
		if turns := s.waiting[item.ID]; turns != nil {
			delete(s.waiting, item.ID)
			turns <- t
		}
	}
}

func (s *slots) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Close()
}

// giveUp ends the wait of all requests that have not had their turn, so that none of them begins to run any more.
func (s *slots) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, turns := range s.waiting {
		s.queue.Remove(id)
		delete(s.waiting, id)
		turns <- turnOver
	}
}

// estimate is how long a newcomer would wait now.
func (s *slots) estimate() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.EstimateWait("")
}

func (s *slots) backlog() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Backlog()
}
