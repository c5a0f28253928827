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

// spendRepeat takes a repeat of the request from the retry budget, and reports whether the budget allows it.
func (g *Gateway) spendRepeat(x *exchange, kind repeatKind) bool {
	now := g.Clock.Now()
	verdict := repeatDenied
	if repeat := g.budgets.Reserve(now, x.service.Name); repeat != nil && repeat.Send(now) {
		verdict = repeatAllowed
	}
	g.recordRepeat(x, kind, verdict)
	return verdict == repeatAllowed
}

// recordRepeat counts and logs a verdict on a repeat, with what it is based on.
func (g *Gateway) recordRepeat(x *exchange, kind repeatKind, verdict string) {
	now := g.Clock.Now()
	u := g.budgets.Usage(now, x.service.Name)
	g.Metrics.CountRepeat(string(x.service.Name), string(kind), verdict)
	g.Log.Info("repeat decided", "decision", verdict, "request", x.wire.ID, "service", x.service.Name, "kind", kind,
		"repeats", u.Repeats, "reserved", u.Reserved, "requests", u.Requests, "left", u.Left)
}
