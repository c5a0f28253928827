package node

import (
	"context"
	"sync"
	"time"
)

const (
	// finalAnswerMost and finalAnswerShare bound what is kept of a grace for final answers: they are short, and written at once
	// where the process gets any processor time at all; a very short grace is for the requests.
	finalAnswerMost  = time.Second
	finalAnswerShare = 4
)

// FinalResponseWindow is the part at the end of a planned stop's grace that is kept for the final answers of what cannot end within it.
func FinalResponseWindow(grace time.Duration) time.Duration {
	return min(finalAnswerMost, grace/finalAnswerShare)
}

// Inflight counts requests that run, so that a planned stop can wait for them, and give them up in the end; its zero value is
// ready.
type Inflight struct {
	mu     sync.Mutex
	count  int
	empty  chan struct{}
	life   context.Context
	giveUp context.CancelCauseFunc
}

// DeriveContext returns a context for a request, which ends with the given one or when what runs is given up; the function has to be
// called at the request's end.
func (f *Inflight) DeriveContext(ctx context.Context) (context.Context, func()) {
	life, _ := f.lifetime()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(life, func() { cancel(context.Cause(life)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// CancelAll ends the contexts of all requests that run, and of those that come, with a cause.
func (f *Inflight) CancelAll(cause error) {
	_, giveUp := f.lifetime()
	giveUp(cause)
}

func (f *Inflight) lifetime() (context.Context, context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.life == nil {
		f.life, f.giveUp = context.WithCancelCause(context.Background())
	}
	return f.life, f.giveUp
}

// Add counts one request more.
func (f *Inflight) Add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

// Done counts one request less.
func (f *Inflight) Done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.empty != nil {
		close(f.empty)
		f.empty = nil
	}
}

// Count is how many requests run.
func (f *Inflight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Wait waits until no request runs, at the longest for the grace, and reports whether none does.
func (f *Inflight) Wait(grace time.Duration) bool {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	for {
		empty := f.whenEmpty()
		if empty == nil {
			return true
		}
		select {
		case <-empty:
		case <-timer.C:
			return false
		}
	}
}

func (f *Inflight) whenEmpty() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count == 0 {
		return nil
	}
	if f.empty == nil {
		f.empty = make(chan struct{})
	}
	return f.empty
}
