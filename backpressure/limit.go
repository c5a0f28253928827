package backpressure

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/permit"
)

const (
	// allottedShare is the part of a limit for which permits are allotted; the rest is for senders that can't reach the allotter, each of which
	// takes its part of spacedShare.
	allottedShare = 0.8
	spacedShare   = 0.5
	// burstTime is the time whose requests may come at once.
	burstTime = 500 * time.Millisecond
	// leastBurst lets a permit be allotted whole.
	leastBurst = 1.0
	// leastPerSecond is how many requests a second are sent under the lowest limits, so that one that is lifted is seen to be; agents keep a limit for
	// longer than the time between two.
	leastPerSecond = 0.1
)

// Limit bounds the requests that a runner takes from all its senders together; the zero value bounds nothing.
type Limit struct {
	// Bounded says that there is a bound, which may be zero requests.
	Bounded bool `cbor:"1,keyasint,omitempty"`
	// PerSecond is the bound in requests a second.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// Check reports why the limit can't be kept.
func (l Limit) Check() error {
	if math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0) || l.PerSecond < 0 {
		return errors.Newf("limit of %g requests a second", l.PerSecond)
	}
	return nil
}

// Rate is at what rate permits are allotted, none where nothing is bounded.
func (l Limit) Rate() permit.Rate {
	if !l.Bounded {
		return permit.Rate{}
	}
	return permit.Rate{PerSecond: max(l.PerSecond*allottedShare, leastPerSecond), Burst: max(leastBurst, l.PerSecond*burstTime.Seconds())}
}

// space is the time between the requests of one of so many senders to whom nobody allots permits.
func (l Limit) space(senders int) time.Duration {
	return time.Duration(float64(senders) / max(l.PerSecond*spacedShare, leastPerSecond) * float64(time.Second))
}

// tighter reports that the limit allows less than the other.
func (l Limit) tighter(other Limit) bool {
	return l.Bounded && (!other.Bounded || l.PerSecond < other.PerSecond)
}
