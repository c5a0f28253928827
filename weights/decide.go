// Package weights decides when a runner is told to load newer weights, so that the runners of a service come to the newest
// version in time, never too many at once, and no faster than they need: a runner that has just loaded holds nothing of any
// prompt, and those that have not carry the others meanwhile. It is without I/O and without a clock.
package weights

import (
	"time"

	"github.com/rillreach/rillreach/deployment"
)

const (
	// Waves is in how many groups the runners of a service load: the users' runners load at full speed while a sixth of
	// them does so.
	Waves = 6
	// lastMargin is how long before the bound on old weights the last group begins: its requests end, it loads for 0.76 s,
	// and requests that came before the bound may have waited.
	lastMargin = 2900 * time.Millisecond
	// leastPace is the shortest time from one group to the next, however short the bound.
	leastPace = 900 * time.Millisecond
	// emptyBefore is how long before its turn a runner is sent nothing more, so that fewer requests have to end.
	emptyBefore = 300 * time.Millisecond
	// resend is how long an order may stay without effect before it is given again.
	resend = 600 * time.Millisecond
)

// Situation is what is known when a decision is made.
type Situation struct {
	// Named is the newest version, Loaded the runner's.
	Named  deployment.WeightVersion
	Loaded deployment.WeightVersion
	// Since is how long ago this process learned of the newest version, Bound how long old weights may be used.
	Since time.Duration
	Bound time.Duration
	// Rank is the runner's place among the Total of its service, those with the oldest weights first.
	Rank  int
	Total int
	// Earlier is by how much the turn that a Promise keeps comes before the runner's turn by its rank.
	Earlier time.Duration
	// Busy says that the runner carries out an order.
	Busy bool
	// Ordered is how long ago the last order for this version was given, zero where none was.
	Ordered time.Duration
	// Leaving says that the runner ends soon.
	Leaving bool
}

// Action is what to do.
type Action string

// The actions.
const (
	// Nothing leaves the runner as it is.
	Nothing Action = "nothing"
	// Wait leaves the runner serving until its turn.
	Wait Action = "wait"
	// Empty has no more requests sent to the runner, since its turn is near or its order under way.
	Empty Action = "empty"
	// Order gives the order.
	Order Action = "order"
)

// Decide says what to do with the runner now.
func Decide(s Situation) Action {
	turn := Turn(s.Rank, s.Total, s.Bound) - s.Earlier
	switch {
	case s.Named == 0 || s.Loaded >= s.Named || s.Leaving:
		return Nothing
	case s.Busy, s.Ordered > 0 && s.Ordered < resend:
		return Empty
	case s.Since >= turn:
		return Order
	case s.Since >= turn-emptyBefore:
		return Empty
	default:
		return Wait
	}
}

// Promise is the turn that a runner was given when its weights were replaced. A newer name brings it another turn, and never
// a later one: its weights expire from the first name on.
type Promise struct {
	loaded deployment.WeightVersion
	at     time.Time
}

// Keep takes the runner's turn for the newest version over, and returns the turn that counts.
func (p *Promise) Keep(loaded, named deployment.WeightVersion, turn time.Time) time.Time {
	if loaded >= named {
		*p = Promise{}
		return turn
	}
	if p.at.IsZero() || p.loaded != loaded || turn.Before(p.at) {
		p.loaded, p.at = loaded, turn
	}
	return p.at
}

// AtOnce is how many runners of a service load at the same time.
func AtOnce(total int) int {
	return max(1, (total+Waves-1)/Waves)
}

// Turn is how long after the naming of a version the runner with the rank loads it.
func Turn(rank, total int, bound time.Duration) time.Duration {
	pace := max((bound-lastMargin)/(Waves-1), leastPace)
	return time.Duration(rank/AtOnce(total)) * pace
}
