package gateway

import (
	"time"

	"github.com/rillreach/rillreach/roster"
)

// minExpectedWait is the minimum assumed wait for the first token of a stream that moves to another runner. Streams
// wait 0.2 s to 1.6 s there before a weight load starts and they are refused.
const minExpectedWait = 1500 * time.Millisecond

// weightLoadImminent reports whether the runner may start to load newer weights, and refuse the request, before a
// stream that moves there has its first token. If its weights have been replaced and the start of the load is not
// scheduled yet, it may start at any moment.
func (g *Gateway) weightLoadImminent(x *exchange, v *roster.View) bool {
	if v.WeightLoadScheduled {
		return v.TimeToWeightLoad < max(v.ExpectedWait, minExpectedWait)
	}
	return !g.state.ReplacedAt(x.wire.Prompt.Model, v.Weights[x.wire.Prompt.Model]).IsZero()
}
