package sidecar

import (
	"time"

	"github.com/rillreach/rillreach/weights"
)

// weightLoadStatus is what entries are told about the next weight load of a runner.
type weightLoadStatus struct {
	// loading is set if the runner is loading weights or about to, and must get no new requests.
	loading bool
	// scheduledAt is when the load is scheduled to start, or zero if none is scheduled.
	scheduledAt time.Time
}

// weightLoadStatusOf returns the status that follows from the action for one model, whose load is scheduled for the
// given time.
func weightLoadStatusOf(action weights.Action, scheduledAt time.Time) weightLoadStatus {
	if action == weights.ActionNone {
		return weightLoadStatus{}
	}
	return weightLoadStatus{loading: action != weights.ActionWait, scheduledAt: scheduledAt}
}

// merge combines the statuses of two models at one runner: the load that starts earlier counts.
func (s weightLoadStatus) merge(other weightLoadStatus) weightLoadStatus {
	s.loading = s.loading || other.loading
	if s.scheduledAt.IsZero() || !other.scheduledAt.IsZero() && other.scheduledAt.Before(s.scheduledAt) {
		s.scheduledAt = other.scheduledAt
	}
	return s
}
