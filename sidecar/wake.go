package sidecar

import (
	"context"
	"time"
)

// minUrgentInterval is the least time between two bulletins that urgent changes bring forward, so that a runner whose
// state flaps does not flood the smallest entries.
const minUrgentInterval = maxBulletinInterval

// pacer spaces out the bulletins to one follower.
type pacer struct {
	lastUrgentAt time.Time
}

// wait returns after the interval, or earlier on an urgent change or when the context is cancelled. Urgent changes are
// ignored for minUrgentInterval after one that had an effect.
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
