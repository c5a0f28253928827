package localstate

import (
	"context"
	"time"
)

// expirer removes runners whose doubtful time is over.
type expirer struct{ state *State }

// Name is the controller's name.
func (expirer) Name() string { return "expire-runners" }

// Run looks at the runners until the context ends.
func (e expirer) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.state.logRunners(e.state.Roster.Expire(now))
		}
	}
}
