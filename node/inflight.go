package node

import (
	"context"
	"sync"
	"time"
)

const (
	// maxFinalResponseWindow and finalResponseDivisor limit the part of the grace period that is reserved for final
	// responses. These are short, and are sent at once if the process gets any CPU time. Most of a very short grace
	// period is left to the requests.
	maxFinalResponseWindow = time.Second
	finalResponseDivisor   = 4
)

// FinalResponseWindow returns the part at the end of the grace period that is reserved for the final responses to
// requests that do not finish within it.
func FinalResponseWindow(grace time.Duration) time.Duration {
	return min(maxFinalResponseWindow, grace/finalResponseDivisor)
}

// Inflight counts running requests, so that a planned stop can wait for them and finally cancel them. Its zero value
// is ready to use.
type Inflight struct {
	mu        sync.Mutex
	count     int
	idle      chan struct{}
	baseCtx   context.Context
	cancelAll context.CancelCauseFunc
}

// DeriveContext returns a context for a request, which ends with the given one or when CancelAll is called. The
// returned function must be called when the request ends.
func (f *Inflight) DeriveContext(ctx context.Context) (context.Context, func()) {
	base, _ := f.base()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(base, func() { cancel(context.Cause(base)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// CancelAll cancels the contexts of all running requests, and of those that start later, with a cause.
func (f *Inflight) CancelAll(cause error) {
	_, cancelAll := f.base()
	cancelAll(cause)
}

// base returns the context that ends when all requests are canceled, and the function that cancels it.
func (f *Inflight) base() (context.Context, context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.baseCtx == nil {
		f.baseCtx, f.cancelAll = context.WithCancelCause(context.Background())
	}
	return f.baseCtx, f.cancelAll
}

// Add counts a request that starts.
func (f *Inflight) Add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

// Done counts a request that ends.
func (f *Inflight) Done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// Count returns the number of running requests.
func (f *Inflight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Wait waits until no request is running, or until the timeout. It reports whether none is running.
func (f *Inflight) Wait(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		idle := f.idleChan()
		if idle == nil {
			return true
		}
		select {
		case <-idle:
		case <-timer.C:
			return false
		}
	}
}

// idleChan returns a channel that is closed when no request is running any more, or nil if none is running now.
func (f *Inflight) idleChan() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count == 0 {
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	return f.idle
}
