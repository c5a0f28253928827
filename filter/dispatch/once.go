package dispatch

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/retry"
)

const (
	// TicketLifetime is how long a ticket is valid.
	TicketLifetime = 15 * time.Minute

	ownerRetryDelay = 100 * time.Millisecond
)

// runAtMostOnce processes a request that must not run twice.
func (f *Filter) runAtMostOnce(ctx context.Context, x *rillreach.Exchange) error {
	if x.Request.IdempotencyKey == "" && x.Request.Ticket == "" {
		return f.runWithNewTicket(ctx, x)
	}
	m, err := f.ownerMember(x)
	if err != nil {
		return err
	}
	return f.runAtOwner(ctx, x, m, false)
}

// runWithNewTicket issues a ticket for a request that has neither a key nor a ticket. The caller receives the ticket
// with the response or refusal. If the request was certainly not run with the ticket, it is retried with a new one.
func (f *Filter) runWithNewTicket(ctx context.Context, x *rillreach.Exchange) error {
	return f.tryAgents(ctx, x, func(m *membership.Member, _ int) error {
		ticket, err := f.IssueTicket(x.Request.Account, x.Request.Service, m)
		if err != nil {
			return err
		}
		return f.sendWithNewTicket(ctx, x, m, ticket)
	})
}

// sendWithNewTicket sends a request with a ticket that has not been used before.
func (f *Filter) sendWithNewTicket(ctx context.Context, x *rillreach.Exchange, m *membership.Member, ticket string) error {
	x.Writer.Header().Set(rillreach.HeaderTicket, ticket)
	x.Request.Ticket = ticket
	defer func() { x.Request.Ticket = "" }()
	refusal := f.attemptAtOwner(ctx, x, m, 1)
	switch {
	case refusal == nil:
		return nil
	case refusal.Reason == rillreach.ReasonOwnerGone:
		return rillreach.NotRun(rillreach.ReasonNoBackend, refusal.Message)
	case refusal.Outcome == rillreach.OutcomeNotRun:
		return refusal
	default:
		return f.runAtOwner(ctx, x, m, true)
	}
}

// runAtOwner sends the request to its owner, the only agent that may run it, and retries if necessary. The owner runs
// it once and returns the same outcome to every attempt. If an earlier attempt may have run, a refusal of a later one
// as not run counts only if it comes from the owner.
func (f *Filter) runAtOwner(ctx context.Context, x *rillreach.Exchange, m *membership.Member, mayHaveRunBefore bool) error {
	refusal, mayHaveRun := f.tryOwner(ctx, x, m)
	if refusal == nil {
		return nil
	}
	return overallRefusal(refusal, (mayHaveRun || mayHaveRunBefore) && !refusal.FromOwner)
}

// tryOwner makes the attempts, and reports whether the outcome of any of them is unknown.
func (f *Filter) tryOwner(ctx context.Context, x *rillreach.Exchange, m *membership.Member) (refusal *rillreach.Refusal, mayHaveRun bool) {
	for attempt := 1; attempt <= retry.MaxAttempts; attempt++ {
		if refusal = f.attemptAtOwner(ctx, x, m, attempt); refusal == nil {
			return nil, false
		}
		f.applyRefusal(m, refusal)
		mayHaveRun = mayHaveRun || refusal.Outcome == rillreach.OutcomeUnknown
		if refusal.FromOwner || refusal.Reason != rillreach.ReasonInterrupted || x.ResponseStarted || ctx.Err() != nil || !f.Budget.TrySpend() {
			break
		}
		pause.For(ctx, ownerRetryDelay)
	}
	return refusal, mayHaveRun
}

func (f *Filter) attemptAtOwner(ctx context.Context, x *rillreach.Exchange, m *membership.Member, attempt int) *rillreach.Refusal {
	err := f.attempt(ctx, x, m, f.newDispatch(x, attempt), nil)
	if err == nil {
		f.Budget.RecordSuccess()
		return nil
	}
	refusal := asRefusal(err)
	f.recordFailedAttempt(x, m, attempt, refusal, "ask-owner")
	return refusal
}

// ownerMember returns the only agent that may run a request with a key or a ticket.
func (f *Filter) ownerMember(x *rillreach.Exchange) (*membership.Member, error) {
	owner, err := f.findOwner(x)
	if err != nil {
		return nil, err
	}
	m := f.Node.Members.Find(owner.ID)
	if m == nil || m.Incarnation != owner.Incarnation {
		return nil, rillreach.MayHaveRun(rillreach.ReasonOwnerGone, "the agent that owns the request is gone; the request may have been run")
	}
	f.Log.Info("route", "decision", "owner", "request", x.Request.ID, "account", x.Request.Account,
		"service", x.Request.Service, "chosen", m.ID)
	return m, nil
}

func (f *Filter) findOwner(x *rillreach.Exchange) (once.Owner, error) {
	req := &x.Request
	if req.Ticket != "" {
		return f.ownerFromTicket(req)
	}
	issuedAt, err := once.ParseKey(req.IdempotencyKey)
	if err != nil {
		return once.Owner{}, rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	owner, verdict := f.Node.Owners.FindOwner(req.Service, issuedAt, once.KeyHash(req.Account, req.IdempotencyKey))
	if verdict != once.VerdictOwned {
		return once.Owner{}, rillreach.MayHaveRun(rillreach.ReasonStaleView, "owner of the key is not certain now: "+string(verdict)).
			WithRetryAfter(defaultRetryAfter)
	}
	return owner, nil
}

func (f *Filter) ownerFromTicket(req *rillreach.Request) (once.Owner, error) {
	ticket, err := f.Signer.Verify(req.Ticket)
	if err != nil {
		return once.Owner{}, rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	if ticket.Account != req.Account || ticket.Service != req.Service {
		return once.Owner{}, rillreach.NotRun(rillreach.ReasonBadRequest, "ticket is for another account or service")
	}
	return ticket.Owner, nil
}

// IssueTicket returns a new signed ticket whose owner is the given agent.
func (f *Filter) IssueTicket(account rillreach.AccountID, service rillreach.ServiceID, m *membership.Member) (string, error) {
	return f.Signer.Sign(once.Ticket{
		ID:      uuid.NewString(),
		Account: account,
		Service: service,
		Owner:   once.Owner{ID: m.ID, Incarnation: m.Incarnation},
		Expires: f.Node.Clock.Now().Add(TicketLifetime),
	})
}

// ChooseAgent chooses the agent to issue a ticket for.
func (f *Filter) ChooseAgent(x *rillreach.Exchange) (*membership.Member, error) {
	return f.choose(x, nil, 1)
}
