package sidecar

import (
	"context"
	"time"
)

// minUrgentInterval is how often an urgent change tells a follower ahead of its pace at the most, so that a runner that changes over and over
// does not flood the smallest entries.
const minUrgentInterval = maxBulletinInterval

// pacer spaces the bulletins to one follower.
type pacer struct {
	lastUrgentAt time.Time
}

// wait ends after the pace, or earlier with an urgent change or the context.
func (p *pacer) wait(ctx context.Context, interval time.Duration, urgent <-chan struct{}) {
	if time.Since(p.lastUrgentAt) < minUrgentInterval {
		urgent = nil
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-urgent:
		p.lastUrgentAt = time.Now()
	}
}
