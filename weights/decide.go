// Package weights decides when a runner is told to load newer weights, so that the runners of a service come to the newest
// version soon and never too many at once. It is without I/O and without a clock.
package weights

import (
	"time"

	"github.com/rillreach/rillreach/deployment"
)

const (
	// waves is in how many groups the runners of a service load: the users' runners load at full speed while a sixth of
	// them does so.
	waves = 6
	// period is the time from one group to the next: a load takes 0.76 s, and requests that run end before it begins.
	period = 950 * time.Millisecond
	// resend is how long an order may stay without effect before it is given again.
	resend = 600 * time.Millisecond
)

// Situation is what is known when a decision is made.
type Situation struct {
	// Named is the newest version, Loaded the runner's.
	Named  deployment.WeightVersion
	Loaded deployment.WeightVersion
	// Since is how long ago this process learned of the newest version.
	Since time.Duration
	// Rank is the runner's place among those of its service that have not loaded the version, of Older; Total counts all.
	Rank  int
	Older int
	Total int
	// FixedRank is its place among all of them.
	FixedRank int
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
	Nothing Action = "nothing"
	Wait    Action = "wait"
	Order   Action = "order"
)

// Decide says what to do with the runner now.
func Decide(s Situation) Action {
	switch {
	case s.Named == 0 || s.Loaded >= s.Named || s.Leaving:
		return Nothing
	case s.Busy:
		return Wait
	case s.Ordered > 0 && s.Ordered < resend:
		return Wait
	case s.Since >= Turn(s.FixedRank, s.Total):
		return Order
	default:
		return Wait
	}
}

// AtOnce is how many runners of a service load at the same time.
func AtOnce(total int) int {
	return max(1, (total+waves-1)/waves)
}

// Turn is how long after the naming of a version the runner with the rank loads it.
func Turn(rank, total int) time.Duration {
	return time.Duration(rank/AtOnce(total)) * period
}

// announceBefore is how long before its turn a runner stops taking requests, so that fewer have to end before the load.
const announceBefore = 150 * time.Millisecond

// Announce reports whether the runner should be sent nothing: it loads, or is about to.
func Announce(s Situation) bool {
	if s.Named == 0 || s.Loaded >= s.Named {
		return s.Busy
	}
	return s.Since >= Turn(s.FixedRank, s.Total)-announceBefore
}
