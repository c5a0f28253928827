// Package dispatch is the filter that chooses an agent for a request, sends it there, passes the answer back, and
// tries again where that is allowed.
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

// DefaultAckTimeout is how long an agent may take to say that it has a request.
const DefaultAckTimeout = 2 * time.Second

// Filter sends requests to agents.
type Filter struct {
	// Node is the entry's common part.
	Node *node.Node
	// Budget bounds the retries.
	Budget *retry.Budget
	// Signer signs and verifies tickets.
	Signer once.Signer
	// AckTimeout is how long an agent may take to say that it has a request; zero means the default.
	AckTimeout time.Duration
	// Log takes one line for each decision.
	Log logr.Logger
}

// Name is the step's name.
func (*Filter) Name() string { return "dispatch" }

// Run has the request answered, or gives the refusal that is final.
func (f *Filter) Run(ctx context.Context, x *rillreach.Exchange) error {
	ctx, cancel := context.WithDeadlineCause(ctx, f.wallDeadline(x), errLate)
	defer cancel()
	if x.Request.AtMostOnce {
		return f.runOnce(ctx, x)
	}
	return f.runRepeatable(ctx, x)
}

var errLate = rillreach.MayHaveRun(rillreach.ReasonDeadline, "deadline passed before the answer was whole")

// wallDeadline is the request's deadline on the clock that contexts use.
func (f *Filter) wallDeadline(x *rillreach.Exchange) time.Time {
	return time.Now().Add(x.Request.Deadline.Sub(f.Node.Clock.Now()))
}

// runRepeatable has a request answered that may run more than once.
func (f *Filter) runRepeatable(ctx context.Context, x *rillreach.Exchange) error {
	silent := &silentAgents{}
	defer silent.close()
	err := f.tryAgents(ctx, x, func(m *membership.Member, attempt int) error {
		return f.attempt(ctx, x, m, f.message(x, attempt), silent)
	})
	if err != nil {
		err = f.awaitSilent(ctx, x, silent, err)
	}
	if err == nil {
		f.Budget.RecordSuccess()
	}
	return err
}

// tryAgents tries one agent after another until one has answered or no further attempt is allowed. A request that may have
// run and that no other known agent can take waits a little for one that is not known yet: entries learn of an agent some
// time after it is listed. One that certainly was not run is refused at once, so that its caller can come back.
func (f *Filter) tryAgents(ctx context.Context, x *rillreach.Exchange, try func(m *membership.Member, attempt int) error) error {
	var tried []rillreach.InstanceID
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		m, err := f.choose(x, tried, attempt)
		if err != nil && mayHaveRun {
			m, err = f.awaitNewcomer(ctx, x, tried, attempt)
		}
		if err != nil {
			return ofAll(asRefusal(err), mayHaveRun)
		}
		if err = try(m, attempt); err == nil {
			return nil
		}
		tried = append(tried, m.ID)
		refusal := asRefusal(err)
		f.believe(m, refusal)
		mayHaveRun = mayHaveRun || refusal.Outcome == rillreach.OutcomeUnknown
		verdict := f.decide(ctx, x, refusal, attempt)
		f.logAttempt(x, m, attempt, refusal, verdict)
		if verdict != retry.VerdictRetry {
			return ofAll(refusal, mayHaveRun)
		}
	}
}

// ofAll is the refusal of a request whose last attempt was refused: that this attempt has not run says nothing of an earlier
// one whose outcome is unknown.
func ofAll(last *rillreach.Refusal, mayHaveRun bool) *rillreach.Refusal {
	if !mayHaveRun || last.Outcome == rillreach.OutcomeUnknown {
		return last
	}
	return rillreach.MayHaveRun(last.Reason, last.Message).WithRetryAfter(last.RetryAfter)
}

func (f *Filter) decide(ctx context.Context, x *rillreach.Exchange, refusal *rillreach.Refusal, attempt int) retry.Verdict {
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

func (f *Filter) logAttempt(x *rillreach.Exchange, m *membership.Member, attempt int, refusal *rillreach.Refusal, verdict retry.Verdict) {
	f.Node.Metrics.Attempt(string(verdict))
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
