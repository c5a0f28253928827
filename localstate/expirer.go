package localstate

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/internal/pause"
)

// expirer applies the time limits of the state: scheduled removals of runners, and the grace periods after a
// restore of the store.
type expirer struct{ state *State }

// Name returns the controller's name.
func (expirer) Name() string { return "expire-runners" }

// Run checks the time limits periodically until the context ends.
func (e expirer) Run(ctx context.Context) error {
	pause.Every(ctx, expireInterval, func(context.Context) {
		now := time.Now()
		e.state.stalls.tick(now)
		e.state.handleRunnerChanges(e.state.Roster.Expire(now))
		e.state.listHeldRunners(now)
		e.state.applyStoredEvacuations(now)
	})
	return nil
}
