// Package weights decides when a runner is ordered to load newer weights. It rolls a version out in batches: every
// runner has to have it before its old weights expire, only a limited number load at the same time, and the rollout
// is as slow as the bound allows, because a runner that has just loaded has an empty KV cache and leaves more work to
// the others. The desired version is the one that operators last requested by an object in the object store. The
// package does no I/O and reads no clock.
package weights

import (
	"time"

	"github.com/rillreach/rillreach/deployment"
)

const (
	// Batches is the number of batches in which the runners of a service load. Loads don't slow each other
	// down while a sixth of the runners load.
	Batches = 6
	// lastBatchMargin is the time between the start of the last batch and the bound on replaced weights. It covers
	// the requests that have to end before the load, the load itself (0.76 s), and the wait of requests that were
	// sent before.
	lastBatchMargin = 2900 * time.Millisecond
	// minBatchInterval is the minimum time between the starts of two batches, however short the bound. The first batch
	// starts after drainLead, and the intervals are shortened to make up for it.
	minBatchInterval = 900 * time.Millisecond
	// drainLead is how long before its load a runner is announced as loading and gets no more requests, in the first
	// batch as in the others. Entries learn of the load in time, and fewer requests have to end before it.
	drainLead = 300 * time.Millisecond
	// orderRetryInterval is how long an order may have no effect before it is sent again.
	orderRetryInterval = 600 * time.Millisecond
)

// Input is the state that a decision is based on.
type Input struct {
	// Desired is the desired version of the model's weights, zero if there is none. Loaded is the runner's version.
	Desired deployment.WeightVersion
	Loaded  deployment.WeightVersion
	// KnownFor is the time since this process learned of the desired version. Bound is how long replaced weights may be
	// used.
	KnownFor time.Duration
	Bound    time.Duration
	// Rank is the runner's index among all Total runners of its service, ordered by age of weights, oldest first.
	Rank  int
	Total int
	// EarlierBy is how much earlier the start in the runner's Schedule is than the start that follows from Rank.
	EarlierBy time.Duration
	// Busy means that the runner is carrying out an order.
	Busy bool
	// SinceOrder is the time since the last order for this version, zero if there was none.
	SinceOrder time.Duration
	// Leaving means that the runner is shutting down.
	Leaving bool
}

// Action is what to do with a runner.
type Action string

// The actions.
const (
	// ActionNone does nothing: the runner needs no load.
	ActionNone Action = "nothing"
	// ActionWait lets the runner serve requests until its load is due.
	ActionWait Action = "wait"
	// ActionDrain sends the runner no more requests, because its load is about to start or in progress.
	ActionDrain Action = "empty"
	// ActionLoad orders the runner to load the desired version.
	ActionLoad Action = "order"
)

// Decide returns what to do with the runner now.
func Decide(in Input) Action {
	start := StartDelay(in.Rank, in.Total, in.Bound) - in.EarlierBy
	switch {
	case in.Desired == 0 || in.Loaded >= in.Desired || in.Leaving:
		return ActionNone
	case in.Busy, in.SinceOrder > 0 && in.SinceOrder < orderRetryInterval:
		return ActionDrain
	case in.KnownFor >= start:
		return ActionLoad
	case in.KnownFor >= start-drainLead:
		return ActionDrain
	default:
		return ActionWait
	}
}

// Schedule holds the start of a runner's load, computed when its weights were replaced. A newer version may move the
// start earlier but never later, because the weights expire a fixed time after they were first replaced.
type Schedule struct {
	loaded deployment.WeightVersion
	start  time.Time
}

// Update takes the start computed for the desired version and returns the start in effect, the earlier one. Once the
// runner has the desired version, it clears the schedule.
func (s *Schedule) Update(loaded, desired deployment.WeightVersion, start time.Time) time.Time {
	if loaded >= desired {
		*s = Schedule{}
		return start
	}
	if s.start.IsZero() || s.loaded != loaded || start.Before(s.start) {
		s.loaded, s.start = loaded, start
	}
	return s.start
}

// BatchSize returns the number of runners of a service that may load at the same time.
func BatchSize(total int) int {
	return max(1, (total+Batches-1)/Batches)
}

// StartDelay returns how long after a version was requested the runner with the given rank starts to load it. The first
// batch starts after drainLead, the others are spread evenly until the start of the last batch.
func StartDelay(rank, total int, bound time.Duration) time.Duration {
	lastStart := max(bound-lastBatchMargin, (Batches-1)*minBatchInterval)
	interval := (lastStart - drainLead) / (Batches - 1)
	return drainLead + time.Duration(rank/BatchSize(total))*interval
}
