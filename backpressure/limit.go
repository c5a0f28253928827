package backpressure

import (
	"math"

	"github.com/cockroachdb/errors"
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
