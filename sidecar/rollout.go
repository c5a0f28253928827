package sidecar

import (
	"time"

	"github.com/rillreach/rillreach/weights"
)

// rollout is what entries should know of the load of weights that a runner has before it.
type rollout struct {
	// loading says that the runner loads or is about to, and takes nothing.
	loading bool
	// start is when the load is scheduled, the zero time where none is.
	start time.Time
}

// rolloutOf is what an action for one model means to entries, where its load has the start.
func rolloutOf(action weights.Action, start time.Time) rollout {
	if action == weights.ActionNone {
		return rollout{}
	}
	return rollout{loading: action != weights.ActionWait, start: start}
}

// and joins the rollouts of two models at one runner: the earlier start counts.
func (r rollout) and(other rollout) rollout {
	r.loading = r.loading || other.loading
	if r.start.IsZero() || !other.start.IsZero() && other.start.Before(r.start) {
		r.start = other.start
	}
	return r
}
