package gateway

import "time"

// work is a request that counts as running at its runner.
type work struct {
	gateway  *Gateway
	exchange *exchange
	target   *target
	sent     time.Time
	read     bool
}

// begin counts the request as running at the runner.
func (g *Gateway) begin(x *exchange, t *target) *work {
	now := time.Now()
	t.runner.BeginRequest(now, t.reading, t.held)
	return &work{gateway: g, exchange: x, target: t, sent: now}
}

// first records that the runner has read the prompt.
func (w *work) first() {
	if w.read {
		return
	}
	w.read = true
	now := time.Now()
	w.target.runner.RecordFirstToken(now, w.sent, w.target.reading)
	if w.exchange.needsEngine() {
		w.gateway.ttft.observe(w.exchange, w.target, now.Sub(w.sent))
		w.gateway.firstTokenDelays.add(w.exchange.route.Name, now.Sub(w.sent)-w.gateway.ownReading(w.exchange))
	}
	w.gateway.noteWait(w.exchange, w.target, now.Sub(w.sent), now)
}

// end counts the request as running no more.
func (w *work) end() {
	if !w.read {
		w.read = true
		w.target.runner.AbandonWait(w.sent, w.target.reading)
	}
	w.target.runner.EndRequest(w.target.held)
	w.gateway.queue.changed()
}

// noteWait records how long the request waited at its runner for its first token. One that begins on weights replaced longer ago than
// the bound allows has a line of its own, since each time in it decides what went wrong: whether it was sent too late, or waited
// for too long.
func (g *Gateway) noteWait(x *exchange, t *target, waited time.Duration, now time.Time) {
	x.firstTokenWait = waited
	if x.wire.Prompt == nil || x.service.Engine == nil {
		return
	}
	g.Metrics.RunnerWait(waited)
	g.Metrics.PredictionError((waited - t.choice.Estimate).Abs())
	replacedFor := g.replacedFor(x, t.weights, now)
	if bound := g.Settings.Bounds.WeightsRollout; bound <= 0 || replacedFor <= bound {
		return
	}
	g.Log.Error(nil, "begun on replaced weights", "decision", "note", "request", x.wire.ID, "runner", t.view.ID, "weights", t.weights,
		"replacedFor", replacedFor.String(), "waited", waited.String())
}
