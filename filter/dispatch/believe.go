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
		f.Node.Members.MarkLeaving(m.ID, m.Incarnation)
	case rillreach.ReasonOverload:
		hint, now := m.LoadHint(), f.Node.Clock.Now()
		hint.QueueWait = max(hint.QueueWait-now.Sub(hint.ReceivedAt), refusal.RetryAfter)
		hint.ReceivedAt = now
		m.SetLoadHint(hint)
	}
}
