package agent

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/route"
)

// delegateTicketLifetime is how long a ticket for a delegated request is valid.
const delegateTicketLifetime = 5 * time.Minute

// delegate sends the request to another agent, on a side that may run it, with a ticket for that agent alone. The
// owner of the key still stores the outcome, so that the ownership does not change with the weights.
func (a *Agent) delegate(ctx context.Context, d fleet.Dispatch) once.Outcome {
	for _, side := range d.Sides {
		m := a.chooseAgent(side, d)
		if m == nil {
			continue
		}
		outcome := a.delegateTo(ctx, m, d)
		a.Node.Log.Info("delegate", "request", d.ID, "account", d.Account, "chosen", m.ID, "side", side)
		if r := outcome.Refusal; r != nil && r.CanRetryElsewhere() {
			continue
		}
		return outcome
	}
	return errorOutcome(rillreach.NotRun(rillreach.ReasonNoBackend, "no agent on the row's sides took the request"))
}

// chooseAgent returns the first usable agent on a side in the rendezvous ranking of the request, or nil.
func (a *Agent) chooseAgent(side rillreach.Side, d fleet.Dispatch) *membership.Member {
	var usable []*membership.Member
	for _, m := range a.Node.Members.Group(membership.Group{Role: rillreach.RoleAgent, Side: side, Service: d.Service}) {
		if !m.IsLeaving() && !m.Failing() {
			usable = append(usable, m)
		}
	}
	keyHash := once.KeyHash(d.Account, string(d.ID))
	ranked := route.Rank(keyHash, len(usable), 1, func(i int) uint64 { return usable[i].PlacementHash })
	if ranked.Len() == 0 {
		return nil
	}
	return usable[ranked.At(0)]
}

// delegateTo issues a ticket for the agent, sends it the request and returns the outcome.
func (a *Agent) delegateTo(ctx context.Context, m *membership.Member, d fleet.Dispatch) once.Outcome {
	ticket, err := a.signer.Sign(once.Ticket{
		ID:      uuid.NewString(),
		Account: d.Account,
		Service: d.Service,
		Owner:   once.Owner{ID: m.ID, Incarnation: m.Incarnation},
		Expires: a.Node.Clock.Now().Add(delegateTicketLifetime),
	})
	if err != nil {
		return errorOutcome(rillreach.NotRun(rillreach.ReasonNoBackend, err.Error()))
	}
	d.Ticket, d.Key = ticket, ""
	conn, err := a.Node.Pool.Get(ctx, m.Address)
	if err != nil {
		m.Suspect(a.Node.Clock.Now())
		return errorOutcome(rillreach.NotRun(rillreach.ReasonNoBackend, "agent is out of reach"))
	}
	return ownerGoneToNotRun(requestOutcome(ctx, conn, d))
}

// ownerGoneToNotRun converts an owner-gone refusal to not-run. This is safe only if the ticket was sent to no other
// agent, since its owner alone could have run the request.
func ownerGoneToNotRun(o once.Outcome) once.Outcome {
	if r := o.Refusal; r != nil && r.Reason == rillreach.ReasonOwnerGone {
		return errorOutcome(rillreach.NotRun(rillreach.ReasonNoBackend, r.Message))
	}
	return o
}

// requestOutcome sends a request to an agent and reads its complete outcome.
func requestOutcome(ctx context.Context, conn *peer.Conn, d fleet.Dispatch) once.Outcome {
	body, err := peer.Encode(d)
	if err != nil {
		return errorOutcome(rillreach.NotRun(rillreach.ReasonBadRequest, err.Error()))
	}
	stream, err := conn.Open(ctx, peer.MethodDispatch, body)
	if err != nil {
		return errorOutcome(err)
	}
	defer stream.Close()
	var outcome once.Outcome
	for {
		part, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return outcome
		}
		if err != nil {
			return errorOutcome(err)
		}
		if err := appendPart(&outcome, part); err != nil {
			return errorOutcome(err)
		}
	}
}

// appendPart adds a part of the response to the outcome.
func appendPart(o *once.Outcome, part []byte) error {
	kind, data, err := fleet.SplitPart(part)
	if err != nil {
		return err
	}
	switch kind {
	case fleet.PartHead:
		head, err := peer.Decode[fleet.Head](data)
		if err != nil {
			return err
		}
		o.Status, o.Header = head.Status, head.Header
	case fleet.PartBody:
		o.Body = append(o.Body, data...)
	case fleet.PartAck:
	}
	if len(o.Body) > maxOutcomeBytes {
		return rillreach.MayHaveRun(rillreach.ReasonTooLarge, "request was run, but its answer is too large to keep")
	}
	return nil
}
