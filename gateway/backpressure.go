package gateway

import (
	"time"

	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/responseclass"
)

// The kinds of backpressure that a runner can signal in its response headers.
const (
	signalLimit      = "limit"
	signalLeaving    = "leaving"
	signalRetryAfter = "rest"
)

// applyRunnerState records what the response headers say about the runner, unless another process has answered at its
// address. Of a response that is not the runner's own only the wish for backoff is honored, which ends by itself.
func (a *attempt) applyRunnerState(now time.Time) {
	if a.headers.Misdirected && a.headers.Instance != a.target.view.ID {
		return
	}
	if a.headers.RetryAfter > 0 {
		a.target.runner.BackOff(now.Add(a.headers.RetryAfter))
	}
	if a.class == responseclass.Invalid {
		return
	}
	if a.headers.Leaving {
		a.target.runner.MarkLeaving()
	}
	a.observeLimit(now)
	a.recordBackpressure()
}

// recordBackpressure logs and counts the backpressure signals in the response headers.
func (a *attempt) recordBackpressure() {
	signals := backpressureSignals(&a.headers)
	if len(signals) == 0 {
		return
	}
	for _, kind := range signals {
		a.gateway.Metrics.CountBackpressure(kind)
	}
	a.gateway.Log.Info("runner asks for less", "decision", "note", "request", a.exchange.wire.ID, "runner", a.target.view.ID, "asks", signals,
		"perSecond", a.headers.Limit.PerSecond, "retryAfter", a.headers.RetryAfter.String())
}

// backpressureSignals returns the kinds of backpressure that the response headers signal.
func backpressureSignals(headers *platform.Response) []string {
	var signals []string
	if headers.Limit.Bounded {
		signals = append(signals, signalLimit)
	}
	if headers.Leaving {
		signals = append(signals, signalLeaving)
	}
	if headers.RetryAfter > 0 {
		signals = append(signals, signalRetryAfter)
	}
	return signals
}
