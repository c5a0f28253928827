// Package pause does waiting that a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for some time, or until the context ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls a function at an interval until the context ends.
func Every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(ctx)
		}
	}
}
