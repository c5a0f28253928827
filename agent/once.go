package agent

import (
	"bytes"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/peer"
)

const (
	// KeyLifetime is how long after its minting a caller's key is remembered.
	KeyLifetime = 24 * time.Hour

	maxOutcome  = 1 << 20
	onceTimeout = 2 * time.Minute
)

// serveOnce runs a request at most once, and gives its outcome to everyone who asks for it.
func (a *Agent) serveOnce(ctx context.Context, call *peer.ServerStream, d fleet.Dispatch) error {
	claim, err := a.claim(d)
	if err != nil {
		return err
	}
	if err := a.acknowledge(ctx, call); err != nil {
		return err
	}
	permit := a.ledger.Claim(a.Node.Clock.Now(), claim)
	a.Node.Log.Info("once", "decision", permitName(permit), "request", d.ID, "account", d.Account, "service", d.Service)
	if permit.Refusal != nil {
		return certain(permit.Refusal)
	}
	if permit.Run {
		outcome := a.runOnce(ctx, d)
		a.ledger.Settle(claim.Name, outcome)
		return sendOutcome(ctx, call, outcome)
	}
	select {
	case <-permit.Settled:
		return sendOutcome(ctx, call, permit.Outcome())
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func permitName(p once.ClaimResult) string {
	switch {
	case p.Run:
		return "run"
	case p.Refusal != nil:
		return string(p.Refusal.Reason)
	default:
		return "replay"
	}
}

// certain marks a refusal as the owner's own word on the request's identity.
func certain(r *rillreach.Refusal) *rillreach.Refusal {
	r.FromOwner = true
	return r
}

// claim makes the claim of a request, once it is sure that this incarnation is its owner.
func (a *Agent) claim(d fleet.Dispatch) (once.Claim, error) {
	if d.Ticket != "" {
		return a.claimByTicket(d)
	}
	return a.claimByKey(d)
}

func (a *Agent) claimByTicket(d fleet.Dispatch) (once.Claim, error) {
	t, err := a.signer.Verify(d.Ticket)
	if err != nil {
		return once.Claim{}, rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	if t.Account != d.Account || t.Service != d.Service {
		return once.Claim{}, rillreach.NotRun(rillreach.ReasonBadRequest, "ticket is for another account or service")
	}
	if t.Owner.Incarnation != a.Node.Self.Incarnation {
		return once.Claim{}, rillreach.MayHaveRun(rillreach.ReasonOwnerGone, "ticket's owner is gone; the request may have been run")
	}
	return once.Claim{Name: "ticket/" + t.ID, Fingerprint: fingerprint(d), Expires: t.Expires}, nil
}

func (a *Agent) claimByKey(d fleet.Dispatch) (once.Claim, error) {
	minted, err := once.ParseKey(d.Key)
	if err != nil {
		return once.Claim{}, rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	owner, verdict := a.Node.Owners.FindOwner(d.Service, minted, once.KeyHash(d.Account, d.Key))
	if verdict != once.VerdictOwned {
		return once.Claim{}, rillreach.MayHaveRun(rillreach.ReasonStaleView, "owner of the key is not certain: "+string(verdict))
	}
	if owner.Incarnation != a.Node.Self.Incarnation {
		return once.Claim{}, rillreach.MayHaveRun(rillreach.ReasonOwnerGone, "key is owned by another agent")
	}
	name := "key/" + string(d.Account) + "/" + string(d.Service) + "/" + d.Key
	return once.Claim{Name: name, Fingerprint: fingerprint(d), Expires: minted.Add(KeyLifetime)}, nil
}

func fingerprint(d fleet.Dispatch) [32]byte {
	return hash.Keyed(hash.Key{}, []byte(d.Method), []byte(d.Path), []byte(d.Query), d.Body)
}

// runOnce runs a request to its end, whether or not its caller still waits, unless the agent ends before.
func (a *Agent) runOnce(ctx context.Context, d fleet.Dispatch) once.Outcome {
	ctx, unbind := a.running.Bind(context.WithoutCancel(ctx))
	defer unbind()
	ctx, cancel := context.WithTimeout(ctx, onceTimeout)
	defer cancel()
	if d.Key != "" && (a.Node.Leaving() || !slices.Contains(d.Sides, a.Node.Self.Side)) {
		return a.delegate(ctx, d)
	}
	if err := a.admit(d); err != nil {
		return refused(err)
	}
	place, refusal := a.slots.enter(d.Account, cost(d), d.Deadline)
	if refusal != nil {
		return refused(refusal)
	}
	if err := place.await(ctx); err != nil {
		return refused(err)
	}
	defer place.leave()
	if err := a.inTime(d); err != nil {
		return refused(err)
	}
	return a.collect(ctx, d)
}

// collect calls the backend server and reads its whole answer.
func (a *Agent) collect(ctx context.Context, d fleet.Dispatch) once.Outcome {
	answer, err := a.Backend.Do(ctx, a.callOf(d))
	if err != nil {
		return refused(backendFailure(ctx, err))
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxOutcome+1))
	if err != nil {
		return refused(backendFailure(ctx, err))
	}
	if len(body) > maxOutcome {
		return refused(rillreach.MayHaveRun(rillreach.ReasonTooLarge, "request was run, but its answer is too large to keep"))
	}
	return once.Outcome{Status: answer.Status, Header: endToEnd(answer.Header), Body: body}
}

// refused makes an outcome of an error; what is not known not to have run may have.
func refused(err error) once.Outcome {
	var refusal *rillreach.Refusal
	if !errors.As(err, &refusal) {
		refusal = rillreach.MayHaveRun(rillreach.ReasonInterrupted, err.Error())
	}
	return once.Outcome{Refusal: refusal}
}

func sendOutcome(ctx context.Context, call *peer.ServerStream, o once.Outcome) error {
	if o.Refusal != nil {
		return certain(o.Refusal)
	}
	return passOn(ctx, call, rillreach.BackendResponse{Status: o.Status, Header: o.Header, Body: io.NopCloser(bytes.NewReader(o.Body))})
}
