package backpressure

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/permit"
)

const (
	// allocatedFraction is the fraction of a limit for which permits are allocated. The rest is left for senders that
	// cannot reach the allocator: each of them paces itself to its equal share of pacedFraction of the limit.
	allocatedFraction = 0.8
	pacedFraction     = 0.5
	// burstWindow is the time whose requests may arrive at once.
	burstWindow = 500 * time.Millisecond
	// minBurst is the least burst, in permits. With less than one, no whole permit could accrue.
	minBurst = 1.0
	// minPerSecond is the least request rate, used under lower limits and under a limit of zero, so that a response can
	// show that the limit has been lifted. Agents remember a limit for longer than the time between two such requests.
	minPerSecond = 0.1
)

// Limit bounds the rate of requests that a runner accepts from all its senders together. The zero value means no limit.
type Limit struct {
	// Bounded is set if there is a limit, which may be zero.
	Bounded bool `cbor:"1,keyasint,omitempty"`
	// PerSecond is the limit in requests per second.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// Check returns an error if the rate is negative, infinite or not a number.
func (l Limit) Check() error {
	if math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0) || l.PerSecond < 0 {
		return errors.Newf("limit of %g requests a second", l.PerSecond)
	}
	return nil
}

// Rate returns the rate at which permits are allocated, or zero if there is no limit.
func (l Limit) Rate() permit.Rate {
	if !l.Bounded {
		return permit.Rate{}
	}
	return permit.Rate{PerSecond: max(l.PerSecond*allocatedFraction, minPerSecond), Burst: max(minBurst, l.PerSecond*burstWindow.Seconds())}
}

// pacingInterval returns the time between two requests of one sender that gets no permits, given the number of all
// senders.
func (l Limit) pacingInterval(senders int) time.Duration {
	return time.Duration(float64(senders) / max(l.PerSecond*pacedFraction, minPerSecond) * float64(time.Second))
}

// stricterThan reports whether the limit allows fewer requests than the other.
func (l Limit) stricterThan(other Limit) bool {
	return l.Bounded && (!other.Bounded || l.PerSecond < other.PerSecond)
}
