package gateway

import "github.com/rillreach/rillreach/retry"

// repeatKind is why a request is sent to another runner.
type repeatKind string

// The kinds of repeats.
const (
	// repeatRetry follows an attempt that has failed, and repeatHedge is sent while another attempt is running.
	repeatRetry repeatKind = "retry"
	repeatHedge repeatKind = "hedge"
)

// The verdicts of the retry budget on a repeat.
const (
	repeatAllowed = "allow"
	repeatDenied  = "deny"
	// repeatExpired means that a repeat was allowed, and is denied by the time at which it can be sent.
	repeatExpired = "expire"
)

// newBudgets returns the retry budgets of a process that starts now.
func (g *Gateway) newBudgets() retry.ServiceBudgets {
	b := g.Settings.Bounds
	return retry.ServiceBudgets{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack, Started: g.Clock.Now(), Entries: g.entryCount}
}

// allowsRepeat reports whether the retry budget allows another repeat of the request.
func (g *Gateway) allowsRepeat(x *exchange) bool {
	return g.budgets.Allows(g.Clock.Now(), x.service.Name)
}

// reserveRepeat sets a repeat of the request aside in the retry budget, unless it has one. It reports whether the budget
// allows it.
func (g *Gateway) reserveRepeat(x *exchange, kind repeatKind) bool {
	if x.repeat != nil {
		return true
	}
	x.repeat, x.repeatKind = g.budgets.Reserve(g.Clock.Now(), x.service.Name), kind
	if x.repeat == nil {
		g.recordRepeat(x, repeatDenied)
		return false
	}
	return true
}

// takeRepeat counts the request's repeat, if it is one, at the moment at which it is sent. It returns the repeat, nil if
// the request is sent for the first time, and reports whether the budget allows it.
func (g *Gateway) takeRepeat(x *exchange) (*retry.Repeat, bool) {
	if x.sends.sendCount() == 0 {
		g.returnRepeat(x) // the send that it was set aside beside has reached no runner
		return nil, true
	}
	if !g.reserveRepeat(x, repeatRetry) {
		return nil, false
	}
	if !x.repeat.Send(g.Clock.Now()) {
		g.recordRepeat(x, repeatExpired)
		g.returnRepeat(x)
		return nil, false
	}
	g.recordRepeat(x, repeatAllowed)
	sent := x.repeat
	x.repeat = nil
	return sent, true
}

// returnRepeat gives back the repeat that was set aside for the request, if it was not sent.
func (g *Gateway) returnRepeat(x *exchange) {
	if x.repeat != nil {
		x.repeat.Return(g.Clock.Now())
		x.repeat = nil
	}
}

// recordRepeat counts and logs a verdict on a repeat, with what it is based on.
func (g *Gateway) recordRepeat(x *exchange, verdict string) {
	now := g.Clock.Now()
	u := g.budgets.Usage(now, x.service.Name)
	g.Metrics.CountRepeat(string(x.service.Name), string(x.repeatKind), verdict)
	g.Log.Info("repeat decided", "decision", verdict, "request", x.wire.ID, "service", x.service.Name, "kind", x.repeatKind,
		"repeats", u.Repeats, "reserved", u.Reserved, "requests", u.Requests, "left", u.Left)
}
