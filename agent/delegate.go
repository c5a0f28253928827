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

const delegateTicket = 5 * time.Minute

// delegate has an agent on a side that may run the request do so, by a ticket made for that agent alone. The owner
// still remembers the outcome, so that the key's identity does not move with the weights.
func (a *Agent) delegate(ctx context.Context, d fleet.Dispatch) once.Outcome {
	for _, side := range d.Sides {
		m := a.runnerOn(side, d)
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
	return refused(rillreach.NotRun(rillreach.ReasonNoBackend, "no agent on the row's sides took the request"))
}

func (a *Agent) runnerOn(side rillreach.Side, d fleet.Dispatch) *membership.Member {
	var usable []*membership.Member
	for _, m := range a.Node.Members.Group(membership.Group{Role: rillreach.RoleAgent, Side: side, Service: d.Service}) {
		if !m.IsLeaving() && !m.Failing() {
			usable = append(usable, m)
		}
	}
	key := once.KeyHash(d.Account, string(d.ID))
	ranked := route.Rank(key, len(usable), 1, func(i int) uint64 { return usable[i].PlacementHash })
	if ranked.Len() == 0 {
		return nil
	}
	return usable[ranked.At(0)]
}

func (a *Agent) delegateTo(ctx context.Context, m *membership.Member, d fleet.Dispatch) once.Outcome {
	ticket, err := a.signer.Sign(once.Ticket{
		ID:      uuid.NewString(),
		Account: d.Account,
		Service: d.Service,
		Owner:   once.Owner{ID: m.ID, Incarnation: m.Incarnation},
		Expires: a.Node.Clock.Now().Add(delegateTicket),
	})
	if err != nil {
		return refused(rillreach.NotRun(rillreach.ReasonNoBackend, err.Error()))
	}
	d.Ticket, d.Key = ticket, ""
	conn, err := a.Node.Pool.Get(ctx, m.Address)
	if err != nil {
		m.Suspect(a.Node.Clock.Now())
		return refused(rillreach.NotRun(rillreach.ReasonNoBackend, "agent is out of reach"))
	}
	return freshTicket(askOnce(ctx, conn, d))
}

// freshTicket reads the outcome of a ticket that was sent nowhere else before: if its owner is gone, nobody ran it.
func freshTicket(o once.Outcome) once.Outcome {
	if r := o.Refusal; r != nil && r.Reason == rillreach.ReasonOwnerGone {
		return refused(rillreach.NotRun(rillreach.ReasonNoBackend, r.Message))
	}
	return o
}

// askOnce sends a request on and reads its whole outcome.
func askOnce(ctx context.Context, conn *peer.Conn, d fleet.Dispatch) once.Outcome {
	body, err := peer.Encode(d)
	if err != nil {
		return refused(rillreach.NotRun(rillreach.ReasonBadRequest, err.Error()))
	}
	stream, err := conn.Open(ctx, peer.MethodDispatch, body)
	if err != nil {
		return refused(err)
	}
	defer stream.Close()
	var outcome once.Outcome
	for {
		part, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return outcome
		}
		if err != nil {
			return refused(err)
		}
		if err := addPart(&outcome, part); err != nil {
			return refused(err)
		}
	}
}

func addPart(o *once.Outcome, part []byte) error {
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
	if len(o.Body) > maxOutcome {
		return rillreach.MayHaveRun(rillreach.ReasonTooLarge, "request was run, but its answer is too large to keep")
	}
	return nil
}
