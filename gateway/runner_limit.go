package gateway

// noteLimit records that the runner's answer names a limit.
func (a *attempt) noteLimit() {
	if !a.head.Limit.Bounded {
		return
	}
	a.gateway.Metrics.LimitedAnswer()
	a.gateway.Log.Info("runner names a limit", "decision", "note", "request", a.exchange.wire.ID, "runner", a.target.view.ID,
		"perSecond", a.head.Limit.PerSecond)
}
