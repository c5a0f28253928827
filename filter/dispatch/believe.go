package dispatch

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
)

// applyRefusal records what a refusal reveals about the agent, so that later requests avoid it: that it is leaving, for how
// long it is overloaded, or that its backend server is out of reach.
func (f *Filter) applyRefusal(m *membership.Member, refusal *rillreach.Refusal) {
	if refusal.Outcome != rillreach.OutcomeNotRun {
		return
	}
	switch refusal.Reason {
	case rillreach.ReasonLeaving:
		f.Node.Members.MarkLeaving(m.ID, m.Incarnation)
	case rillreach.ReasonOverload:
		f.expectWait(m, refusal.RetryAfter)
	case rillreach.ReasonNoBackend:
		f.expectWait(m, max(refusal.RetryAfter, defaultRetryAfter))
	}
}

// expectWait records that requests to the agent have to wait for at least the given time.
func (f *Filter) expectWait(m *membership.Member, wait time.Duration) {
	hint, now := m.LoadHint(), f.Node.Clock.Now()
	hint.QueueWait = max(hint.QueueWait-now.Sub(hint.ReceivedAt), wait)
	hint.ReceivedAt = now
	m.SetLoadHint(hint)
}
