package gateway

import (
	"time"

	"github.com/rillreach/rillreach/platform"
)

// Kinds of what runners ask for in their answers.
const (
	askLimit   = "limit"
	askLeaving = "leaving"
	askRest    = "rest"
)

// believe takes over what the runner says of itself in the head of its answer, unless another run has answered in its place.
func (a *attempt) believe(now time.Time) {
	if a.head.Misdirected && a.head.Instance != a.target.view.ID {
		return
	}
	a.noteBackpressure()
	a.observeLimit(now)
	if a.head.Leaving {
		a.target.runner.MarkLeaving()
	}
	if a.head.RetryAfter > 0 {
		a.target.runner.BackOff(now.Add(a.head.RetryAfter))
	}
}

// noteBackpressure records what the runner asks for in the head of its answer.
func (a *attempt) noteBackpressure() {
	asks := asksOf(&a.head)
	if len(asks) == 0 {
		return
	}
	for _, kind := range asks {
		a.gateway.Metrics.Backpressure(kind)
	}
	a.gateway.Log.Info("runner asks for less", "decision", "note", "request", a.exchange.wire.ID, "runner", a.target.view.ID, "asks", asks,
		"perSecond", a.head.Limit.PerSecond, "retryAfter", a.head.RetryAfter.String())
}

// asksOf are the kinds that an answer asks for.
func asksOf(head *platform.Response) []string {
	var asks []string
	if head.Limit.Bounded {
		asks = append(asks, askLimit)
	}
	if head.Leaving {
		asks = append(asks, askLeaving)
	}
	if head.RetryAfter > 0 {
		asks = append(asks, askRest)
	}
	return asks
}
