package sidecar

import (
	"context"
	"time"
)

// wakeEvery is how often an urgent change tells a follower ahead of its pace at the most, so that a runner that changes over and over
// does not flood the smallest entries.
const wakeEvery = quietMost

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
