package dispatch

import (
	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
)

// believe takes over what a refusal says of the agent itself, for the requests that come after: that it leaves, or for how long it is full.
func (f *Filter) believe(m *membership.Member, refusal *rillreach.Refusal) {
	if refusal.Outcome != rillreach.OutcomeNotRun {
		return
	}
	switch refusal.Reason {
	case rillreach.ReasonLeaving:
		f.Node.Members.Leave(m.ID, m.Incarnation)
	case rillreach.ReasonOverload:
		hint, now := m.Hint(), f.Node.Clock.Now()
		hint.Wait = max(hint.Wait-now.Sub(hint.At), refusal.RetryAfter)
		hint.At = now
		m.SetHint(hint)
	}
}
