package localstate

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/internal/pause"
)

// expirer ends what holds for a time: that a runner is doubtful, and that a copy of the store isn't believed.
type expirer struct{ state *State }

// Name is the controller's name.
func (expirer) Name() string { return "expire-runners" }

// Run looks at the runners until the context ends.
func (e expirer) Run(ctx context.Context) error {
	pause.Every(ctx, expireEvery, func(context.Context) {
		now := time.Now()
		e.state.stalls.tick(now)
		e.state.noteRunners(e.state.Roster.Expire(now))
		e.state.admitHeld(now)
		e.state.settleEvacuations(now)
	})
	return nil
}
