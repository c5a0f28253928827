package gateway

import (
	"time"

	"github.com/rillreach/rillreach"
)

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

// spendRepeat takes a repeat of the request from the retry budget, and reports whether the budget allows it.
func (g *Gateway) spendRepeat(x *exchange, kind repeatKind, now time.Time) bool {
	verdict := repeatDenied
	if g.budgets.TrySpend(now, x.service.Name) {
		verdict = repeatAllowed
	}
	g.Metrics.CountRepeat(string(x.service.Name), string(kind), verdict)
	u := g.budgets.Usage(now, x.service.Name)
	g.Log.Info("repeat decided", "decision", verdict, "request", x.wire.ID, "service", x.service.Name, "kind", kind,
		"repeats", u.Repeats, "requests", u.Requests, "allowed", u.Allowed, "entries", u.Entries, "running", now.Sub(g.startedAt).String())
	return verdict == repeatAllowed
}

// setEntries sets the number of entries as the source names it.
func (g *Gateway) setEntries(n int, source rillreach.InstanceID) {
	before := g.budgets.Entries()
	g.budgets.SetEntries(n)
	if after := g.budgets.Entries(); after != before {
		g.Log.Info("number of entries changed", "decision", "apply", "source", source, "entries", after, "before", before)
	}
}
