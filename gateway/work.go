package gateway

import "time"

// inflightRequest is a request that counts as running at its runner.
type inflightRequest struct {
	gateway   *Gateway
	exchange  *exchange
	target    *target
	sentAt    time.Time
	waitEnded bool
}

// beginRequest counts the request as running at the runner.
func (g *Gateway) beginRequest(x *exchange, t *target) *inflightRequest {
	now := time.Now()
	t.runner.BeginRequest(now, t.prefillTokens, t.tokens)
	return &inflightRequest{gateway: g, exchange: x, target: t, sentAt: now}
}

// recordFirstToken records when the first part of the answer arrived, so that the runner had processed the prompt.
func (w *inflightRequest) recordFirstToken(at time.Time) {
	if w.waitEnded {
		return
	}
	w.waitEnded = true
	waited := at.Sub(w.sentAt)
	w.target.runner.RecordFirstToken(at, w.sentAt, w.target.prefillTokens)
	if w.exchange.needsEngine() {
		w.gateway.ttft.observe(w.exchange, w.target, waited)
		w.gateway.firstTokenDelays.observe(w.exchange.route.Name, waited-w.gateway.unsharedPrefillTime(w.exchange))
	}
	w.gateway.recordTTFT(w.exchange, w.target, waited, at)
}

// end stops counting the request as running.
func (w *inflightRequest) end() {
	if !w.waitEnded {
		w.waitEnded = true
		w.target.runner.AbandonWait(w.sentAt, w.target.prefillTokens)
	}
	w.target.runner.EndRequest(w.target.tokens)
	w.gateway.queue.notify()
}

// recordTTFT records how long the request waited at its runner for the first token. A request that starts on weights
// that were replaced longer ago than the bound allows is logged, with the times that show whether it was sent too late
// or waited too long.
func (g *Gateway) recordTTFT(x *exchange, t *target, waited time.Duration, now time.Time) {
	x.firstTokenWait = waited
	if x.wire.Prompt == nil || x.service.Engine == nil {
		return
	}
	g.Metrics.RecordRunnerWait(waited)
	g.Metrics.RecordPredictionError((waited - t.choice.Estimate).Abs())
	replacedFor := g.sinceReplaced(x, t.weights, now)
	if bound := g.Settings.Bounds.WeightsRollout; bound <= 0 || replacedFor <= bound {
		return
	}
	g.Log.Error(nil, "begun on replaced weights", "decision", "note", "request", x.wire.ID, "runner", t.view.ID, "weights", t.weights,
		"replacedFor", replacedFor.String(), "waited", waited.String())
}
