package sidecar

import (
	"context"
	"sync"
	"time"
)

// wakeEvery is how often an urgent change tells a follower ahead of its pace at the most, so that a runner that changes over and over
// does not flood the smallest entries.
const wakeEvery = quietMost

// broadcast wakes everyone who waits for it; its zero value is ready.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait gives a channel that the next wake closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// wake ends all waits that have begun.
func (b *broadcast) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// pacer spaces the bulletins to one follower.
type pacer struct {
	wokenAt time.Time
}

// wait ends after the pace, or earlier with an urgent change or the context.
func (p *pacer) wait(ctx context.Context, pace time.Duration, urgent <-chan struct{}) {
	if time.Since(p.wokenAt) < wakeEvery {
		urgent = nil
	}
	timer := time.NewTimer(pace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-urgent:
		p.wokenAt = time.Now()
	}
}
