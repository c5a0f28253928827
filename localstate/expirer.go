package localstate

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/internal/pause"
)

// expirer removes runners whose doubtful time is over.
type expirer struct{ state *State }

// Name is the controller's name.
func (expirer) Name() string { return "expire-runners" }

// Run looks at the runners until the context ends.
func (e expirer) Run(ctx context.Context) error {
	pause.Every(ctx, expireEvery, func(context.Context) {
		now := time.Now()
		e.state.stalls.tick(now)
		e.state.logRunners(e.state.Roster.Expire(now))
	})
	return nil
}
