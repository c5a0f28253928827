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
	// TicketLifetime is how long a ticket may be used.
	TicketLifetime = 15 * time.Minute

	sameOwnerPause = 100 * time.Millisecond
)

// runOnce has a request answered that must not run twice.
func (f *Filter) runOnce(ctx context.Context, x *rillreach.Exchange) error {
	if x.Request.IdempotencyKey == "" && x.Request.Ticket == "" {
		return f.runFresh(ctx, x)
	}
	m, err := f.owner(x)
	if err != nil {
		return err
	}
	return f.runAtOwner(ctx, x, m, false)
}

// runFresh mints a ticket for a request without an identity and hands it to the caller with whatever the answer is. As
// long as nobody has been sent the ticket's request, another ticket may take its place.
func (f *Filter) runFresh(ctx context.Context, x *rillreach.Exchange) error {
	return f.tryAgents(ctx, x, func(m *membership.Member, _ int) error {
		ticket, err := f.IssueTicket(x.Request.Account, x.Request.Service, m)
		if err != nil {
			return err
		}
		return f.runWithTicket(ctx, x, m, ticket)
	})
}

// runWithTicket sends a request with a ticket that nobody else has been sent yet.
func (f *Filter) runWithTicket(ctx context.Context, x *rillreach.Exchange, m *membership.Member, ticket string) error {
	x.Writer.Header().Set(rillreach.HeaderTicket, ticket)
	x.Request.Ticket = ticket
	defer func() { x.Request.Ticket = "" }()
	refusal := f.tryOwner(ctx, x, m, 1)
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

// runAtOwner asks the one agent that may run the request, more than once if need be: it runs the request just once,
// and gives the outcome to everyone who asks. That a later attempt was not run says nothing of an earlier one whose
// outcome is unknown, unless it is the owner's own word.
func (f *Filter) runAtOwner(ctx context.Context, x *rillreach.Exchange, m *membership.Member, unknownBefore bool) error {
	refusal, unknown := f.askOwner(ctx, x, m)
	if refusal == nil {
		return nil
	}
	return ofAll(refusal, (unknown || unknownBefore) && !refusal.FromOwner)
}

// askOwner makes the attempts, and reports whether any of them ended with an unknown outcome.
func (f *Filter) askOwner(ctx context.Context, x *rillreach.Exchange, m *membership.Member) (refusal *rillreach.Refusal, unknown bool) {
	for attempt := 1; attempt <= retry.MaxAttempts; attempt++ {
		if refusal = f.tryOwner(ctx, x, m, attempt); refusal == nil {
			return nil, false
		}
		f.believe(m, refusal)
		unknown = unknown || refusal.Outcome == rillreach.OutcomeUnknown
		if refusal.FromOwner || refusal.Reason != rillreach.ReasonInterrupted || x.ResponseStarted || ctx.Err() != nil || !f.Budget.TrySpend() {
			break
		}
		pause.For(ctx, sameOwnerPause)
	}
	return refusal, unknown
}

func (f *Filter) tryOwner(ctx context.Context, x *rillreach.Exchange, m *membership.Member, attempt int) *rillreach.Refusal {
	err := f.attempt(ctx, x, m, f.message(x, attempt), nil)
	if err == nil {
		f.Budget.RecordSuccess()
		return nil
	}
	refusal := asRefusal(err)
	f.logAttempt(x, m, attempt, refusal, "ask-owner")
	return refusal
}

// owner finds the one agent that may run a request with an identity.
func (f *Filter) owner(x *rillreach.Exchange) (*membership.Member, error) {
	owner, err := f.ownerOf(x)
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

func (f *Filter) ownerOf(x *rillreach.Exchange) (once.Owner, error) {
	req := &x.Request
	if req.Ticket != "" {
		return f.ownerByTicket(req)
	}
	minted, err := once.ParseKey(req.IdempotencyKey)
	if err != nil {
		return once.Owner{}, rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	owner, verdict := f.Node.Owners.FindOwner(req.Service, minted, once.KeyHash(req.Account, req.IdempotencyKey))
	if verdict != once.VerdictOwned {
		return once.Owner{}, rillreach.MayHaveRun(rillreach.ReasonStaleView, "owner of the key is not certain now: "+string(verdict)).
			WithRetryAfter(comeBackAfter)
	}
	return owner, nil
}

func (f *Filter) ownerByTicket(req *rillreach.Request) (once.Owner, error) {
	ticket, err := f.Signer.Verify(req.Ticket)
	if err != nil {
		return once.Owner{}, rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	if ticket.Account != req.Account || ticket.Service != req.Service {
		return once.Owner{}, rillreach.NotRun(rillreach.ReasonBadRequest, "ticket is for another account or service")
	}
	return ticket.Owner, nil
}

// IssueTicket makes a ticket for a member.
func (f *Filter) IssueTicket(account rillreach.AccountID, service rillreach.ServiceID, m *membership.Member) (string, error) {
	return f.Signer.Sign(once.Ticket{
		ID:      uuid.NewString(),
		Account: account,
		Service: service,
		Owner:   once.Owner{ID: m.ID, Incarnation: m.Incarnation},
		Expires: f.Node.Clock.Now().Add(TicketLifetime),
	})
}

// ChooseAgent decides on the agent that a ticket is minted for.
func (f *Filter) ChooseAgent(x *rillreach.Exchange) (*membership.Member, error) {
	return f.choose(x, nil, 1)
}
