// Package dispatch implements the filter that chooses an agent for a request, sends the request to it, relays the
// response, and retries if that is allowed.
package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/retry"
)

// DefaultAckTimeout is the default time within which an agent must acknowledge a request.
const DefaultAckTimeout = 2 * time.Second

// Filter sends requests to agents.
type Filter struct {
	// Node provides the entry's view of the fleet and its connections.
	Node *node.Node
	// Budget limits retries.
	Budget *retry.Budget
	// Signer signs and verifies tickets.
	Signer once.Signer
	// AckTimeout is the time within which an agent must acknowledge a request. Zero means DefaultAckTimeout.
	AckTimeout time.Duration
	// Log receives one line for each decision.
	Log logr.Logger
}

// Name returns the filter's name.
func (*Filter) Name() string { return "dispatch" }

// Run sends the request to an agent and relays the response, or returns the final refusal.
func (f *Filter) Run(ctx context.Context, x *rillreach.Exchange) error {
	ctx, cancel := context.WithDeadlineCause(ctx, f.contextDeadline(x), errDeadlineExceeded)
	defer cancel()
	if x.Request.AtMostOnce {
		return f.runAtMostOnce(ctx, x)
	}
	return f.runIdempotent(ctx, x)
}

var errDeadlineExceeded = rillreach.MayHaveRun(rillreach.ReasonDeadline, "deadline passed before the answer was whole")

// contextDeadline converts the request's deadline to the system clock, which contexts use.
func (f *Filter) contextDeadline(x *rillreach.Exchange) time.Time {
	return time.Now().Add(x.Request.Deadline.Sub(f.Node.Clock.Now()))
}

// runIdempotent processes a request that may run more than once.
func (f *Filter) runIdempotent(ctx context.Context, x *rillreach.Exchange) error {
	unacked := &unackedStreams{}
	defer unacked.close()
	err := f.tryAgents(ctx, x, func(m *membership.Member, attempt int) error {
		return f.attempt(ctx, x, m, f.newDispatch(x, attempt), unacked)
	})
	if err != nil {
		err = f.awaitUnacked(ctx, x, unacked, err)
	}
	if err == nil {
		f.Budget.RecordSuccess()
	}
	return err
}

// tryAgents tries agents until one of them succeeds or no further attempt is allowed. If no known agent is left and
// the request may have run, it waits for a new agent, because entries learn of an agent some time after it is listed.
// If the request was certainly not run, it is refused immediately, because the caller can safely retry.
func (f *Filter) tryAgents(ctx context.Context, x *rillreach.Exchange, try func(m *membership.Member, attempt int) error) error {
	var tried []rillreach.InstanceID
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		m, err := f.choose(x, tried, attempt)
		if err != nil && mayHaveRun {
			m, err = f.awaitNewAgent(ctx, x, tried, attempt)
		}
		if err != nil {
			if attempt > 1 {
				f.Budget.Return()
			}
			return overallRefusal(asRefusal(err), mayHaveRun)
		}
		if err = try(m, attempt); err == nil {
			return nil
		}
		tried = append(tried, m.ID)
		refusal := asRefusal(err)
		f.applyRefusal(m, refusal)
		mayHaveRun = mayHaveRun || refusal.Outcome == rillreach.OutcomeUnknown
		verdict := f.decideRetry(ctx, x, refusal, attempt)
		f.recordFailedAttempt(x, m, attempt, refusal, verdict)
		if verdict != retry.VerdictRetry {
			return overallRefusal(refusal, mayHaveRun)
		}
	}
}

// overallRefusal returns the refusal of the request, given that of its last attempt and whether any attempt may have
// run. If one may have run, the outcome is unknown even if the last attempt was not run.
func overallRefusal(last *rillreach.Refusal, mayHaveRun bool) *rillreach.Refusal {
	if !mayHaveRun || last.Outcome == rillreach.OutcomeUnknown {
		return last
	}
	return rillreach.MayHaveRun(last.Reason, last.Message).WithRetryAfter(last.RetryAfter)
}

func (f *Filter) decideRetry(ctx context.Context, x *rillreach.Exchange, refusal *rillreach.Refusal, attempt int) retry.Verdict {
	if ctx.Err() != nil {
		return retry.VerdictDeadlineExceeded
	}
	return f.Budget.Decide(f.Node.Clock.Now(), retry.Failure{
		Refusal:         refusal,
		Attempt:         attempt,
		ResponseStarted: x.ResponseStarted,
		NonIdempotent:   x.Request.AtMostOnce,
		Deadline:        x.Request.Deadline,
	})
}

func (f *Filter) recordFailedAttempt(x *rillreach.Exchange, m *membership.Member, attempt int, refusal *rillreach.Refusal, verdict retry.Verdict) {
	f.Node.Metrics.CountFailedAttempt(string(verdict))
	f.Log.Info("attempt failed", "decision", verdict, "reason", refusal.Reason, "outcome", refusal.Outcome,
		"request", x.Request.ID, "account", x.Request.Account, "chosen", m.ID, "attempt", attempt, "cause", refusal.Message)
}

func asRefusal(err error) *rillreach.Refusal {
	var refusal *rillreach.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return rillreach.MayHaveRun(rillreach.ReasonInterrupted, err.Error())
}
