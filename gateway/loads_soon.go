package gateway

import (
	"time"

	"github.com/rillreach/rillreach/roster"
)

// minExpectedWait is the least that a stream that moves is taken to wait at its new runner for its first token: streams waited 0.2 s to 1.6 s
// there before a load began and refused them.
const minExpectedWait = 1500 * time.Millisecond

// weightLoadImminent reports that the runner may begin to load newer weights before a stream that moves there has begun, and would then refuse it.
// Where newer weights are named and the runner's agent has not told its start yet, that may be at any moment.
func (g *Gateway) weightLoadImminent(x *exchange, v *roster.View) bool {
	if v.WeightLoadScheduled {
		return v.TimeToWeightLoad < max(v.ExpectedWait, minExpectedWait)
	}
	return !g.state.ReplacedAt(x.wire.Prompt.Model, v.Weights[x.wire.Prompt.Model]).IsZero()
}
