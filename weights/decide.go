// Package weights decides when a runner is told to load newer weights, so that the runners of a service come to the newest
// version in time, never too many at once, and no faster than they need: a runner that has just loaded holds nothing of any
// prompt, and those that have not carry the others meanwhile. It is without I/O and without a clock.
package weights

import (
	"time"

	"github.com/rillreach/rillreach/deployment"
)

const (
	// Batches is in how many batches the runners of a service load: runners load at full speed while a sixth of them does so.
	Batches = 6
	// lastMargin is how long before the bound on old weights the last group begins: its requests end, it loads for 0.76 s,
	// and requests that came before the bound may have waited.
	lastMargin = 2900 * time.Millisecond
	// leastPace is the shortest time from one group to the next, but for the announcement of the first, however short the bound.
	leastPace = 900 * time.Millisecond
	// emptyBefore is how long before its load, the first batch's too, a runner is announced as loading and is sent nothing more: entries
	// hear of it first, and fewer requests have to end.
	emptyBefore = 300 * time.Millisecond
	// resend is how long an order may stay without effect before it is given again.
	resend = 600 * time.Millisecond
)

// Input is what is known when a decision is made.
type Input struct {
	// Newest is the newest version, Loaded the runner's.
	Newest deployment.WeightVersion
	Loaded deployment.WeightVersion
	// KnownFor is how long ago this process learned of the newest version, Bound how long old weights may be used.
	KnownFor time.Duration
	Bound    time.Duration
	// Rank is the runner's place among the Total of its service, those with the oldest weights first.
	Rank  int
	Total int
	// EarlierBy is by how much the start that a Schedule keeps comes before the runner's start by its rank.
	EarlierBy time.Duration
	// Busy says that the runner carries out an order.
	Busy bool
	// SinceOrder is how long ago the last order for this version was given, zero where none was.
	SinceOrder time.Duration
	// Leaving says that the runner ends soon.
	Leaving bool
}

// Action is what to do.
type Action string

// The actions.
const (
	// ActionNone leaves the runner as it is.
	ActionNone Action = "nothing"
	// ActionWait leaves the runner serving until its turn.
	ActionWait Action = "wait"
	// ActionDrain has no more requests sent to the runner, since its turn is near or its order under way.
	ActionDrain Action = "empty"
	// ActionLoad gives the order.
	ActionLoad Action = "order"
)

// Decide says what to do with the runner now.
func Decide(s Input) Action {
	start := StartDelay(s.Rank, s.Total, s.Bound) - s.EarlierBy
	switch {
	case s.Newest == 0 || s.Loaded >= s.Newest || s.Leaving:
		return ActionNone
	case s.Busy, s.SinceOrder > 0 && s.SinceOrder < resend:
		return ActionDrain
	case s.KnownFor >= start:
		return ActionLoad
	case s.KnownFor >= start-emptyBefore:
		return ActionDrain
	default:
		return ActionWait
	}
}

// Schedule is the start that a runner's load was given when its weights were replaced. A newer name brings it another one, and never a
// later one: its weights expire from the first name on.
type Schedule struct {
	loaded deployment.WeightVersion
	at     time.Time
}

// Update takes the start for the newest version over, and returns the start that counts.
func (s *Schedule) Update(loaded, named deployment.WeightVersion, start time.Time) time.Time {
	if loaded >= named {
		*s = Schedule{}
		return start
	}
	if s.at.IsZero() || s.loaded != loaded || start.Before(s.at) {
		s.loaded, s.at = loaded, start
	}
	return s.at
}

// BatchSize is how many runners of a service load at the same time.
func BatchSize(total int) int {
	return max(1, (total+Batches-1)/Batches)
}

// StartDelay is how long after the naming of a version the runner with the rank loads it: the first batch once it has been announced,
// the others spread over what is left until the last start.
func StartDelay(rank, total int, bound time.Duration) time.Duration {
	last := max(bound-lastMargin, (Batches-1)*leastPace)
	pace := (last - emptyBefore) / (Batches - 1)
	return emptyBefore + time.Duration(rank/BatchSize(total))*pace
}
