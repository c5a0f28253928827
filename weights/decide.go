// Package weights decides when a runner is told to load newer weights, so that the runners of a service come to the newest
// version soon and never too many at once. The runners form as many lanes as may load at once; in each, a runner follows
// the one ahead of it. It is without I/O and without a clock.
package weights

import (
	"time"

	"github.com/rillreach/rillreach/deployment"
)

const (
	// waves is how many runners a lane has: the users' runners load at full speed while a sixth of them does so.
	waves = 6
	// period is the longest time from one runner of a lane to the next, where the one ahead does not get done: the sixth
	// then still comes to its weights within the ten seconds that the users allow.
	period = 1500 * time.Millisecond
	// unknownPeriod is the same where nothing is known of the one ahead: a load takes 0.76 s, and requests that run end first.
	unknownPeriod = 1200 * time.Millisecond
	// resend is how long an order may stay without effect before it is given again.
	resend = 600 * time.Millisecond
)

// Progress is how far the runner ahead in the lane is.
type Progress int

// The progress of the runner ahead.
const (
	// ProgressUnknown says that nothing is heard of it.
	ProgressUnknown Progress = iota
	// ProgressBefore says that it still serves, or waits for requests to end.
	ProgressBefore
	// ProgressLoads says that it loads.
	ProgressLoads
	// ProgressDone says that it has the weights, or that there is none ahead.
	ProgressDone
)

// Situation is what is known when a decision is made.
type Situation struct {
	// Named is the newest version, Loaded the runner's.
	Named  deployment.WeightVersion
	Loaded deployment.WeightVersion
	// Since is how long ago this process learned of the newest version.
	Since time.Duration
	// Rank is the runner's place among the Total of its service.
	Rank  int
	Total int
	// Ahead is how far the runner ahead is.
	Ahead Progress
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
	switch {
	case s.Named == 0 || s.Loaded >= s.Named || s.Leaving:
		return Nothing
	case s.Busy, s.Ordered > 0 && s.Ordered < resend:
		return Empty
	case s.turn():
		return Order
	case s.Ahead == ProgressLoads:
		return Empty
	default:
		return Wait
	}
}

// turn reports that it is the runner's turn.
func (s Situation) turn() bool {
	wave := time.Duration(s.Rank / AtOnce(s.Total))
	switch {
	case wave == 0, s.Ahead == ProgressDone:
		return true
	case s.Ahead == ProgressUnknown:
		return s.Since >= wave*unknownPeriod
	default:
		return s.Since >= wave*period
	}
}

// AtOnce is how many runners of a service load at the same time.
func AtOnce(total int) int {
	return max(1, (total+waves-1)/waves)
}

// AheadOf is the rank of the runner ahead in the lane; it reports whether there is one.
func AheadOf(rank, total int) (int, bool) {
	ahead := rank - AtOnce(total)
	return ahead, ahead >= 0
}
