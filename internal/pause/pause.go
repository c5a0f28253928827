// Package pause provides waits that can be cancelled by a context.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx is done.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// AtMost calls fn and waits for it to return, for at most the timeout. It reports whether fn has returned; otherwise fn
// continues in the background.
func AtMost(timeout time.Duration, fn func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		fn()
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// Every calls fn at the given interval until ctx is done. The first call is after one interval.
func Every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn(ctx)
		}
	}
}
