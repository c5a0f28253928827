package sidecar

import (
	"time"

	"github.com/rillreach/rillreach/weights"
)

// weightLoadStatus is what entries should know of the load of weights that a runner has before it.
type weightLoadStatus struct {
	// loading says that the runner loads or is about to, and takes nothing.
	loading bool
	// scheduledAt is when the load is scheduled, the zero time where none is.
	scheduledAt time.Time
}

// weightLoadStatusOf is what an action for one model means to entries, where its load has the start.
func weightLoadStatusOf(action weights.Action, scheduledAt time.Time) weightLoadStatus {
	if action == weights.ActionNone {
		return weightLoadStatus{}
	}
	return weightLoadStatus{loading: action != weights.ActionWait, scheduledAt: scheduledAt}
}

// merge joins the rollouts of two models at one runner: the earlier start counts.
func (r weightLoadStatus) merge(other weightLoadStatus) weightLoadStatus {
	r.loading = r.loading || other.loading
	if r.scheduledAt.IsZero() || !other.scheduledAt.IsZero() && other.scheduledAt.Before(r.scheduledAt) {
		r.scheduledAt = other.scheduledAt
	}
	return r
}
