package node

import (
	"sync"
	"time"
)

// Inflight counts requests that run, so that a planned stop can wait for them; its zero value is ready.
type Inflight struct {
	mu    sync.Mutex
	count int
	empty chan struct{}
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
