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

// recordFirstToken records that the first part of the answer has arrived, so the runner has processed the prompt.
func (w *inflightRequest) recordFirstToken() {
	if w.waitEnded {
		return
	}
	w.waitEnded = true
	now := time.Now()
	w.target.runner.RecordFirstToken(now, w.sentAt, w.target.prefillTokens)
	if w.exchange.needsEngine() {
		w.gateway.ttft.observe(w.exchange, w.target, now.Sub(w.sentAt))
		w.gateway.firstTokenDelays.observe(w.exchange.route.Name, now.Sub(w.sentAt)-w.gateway.unsharedPrefillTime(w.exchange))
	}
	w.gateway.recordTTFT(w.exchange, w.target, now.Sub(w.sentAt), now)
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
