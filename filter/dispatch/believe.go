package dispatch

import (
	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
)

// applyRefusal records what a refusal reveals about the agent, so that later requests avoid it: that it is leaving,
// or for how long it is overloaded.
func (f *Filter) applyRefusal(m *membership.Member, refusal *rillreach.Refusal) {
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
