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
	"github.com/rillreach/rillreach/internal/bounded"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/peer"
)

const (
	// KeyLifetime is how long after its timestamp an idempotency key is stored.
	KeyLifetime = 24 * time.Hour

	// maxOutcomeBytes is the maximum size of a response that can be stored.
	maxOutcomeBytes   = 1 << 20
	atMostOnceTimeout = 2 * time.Minute
)

// serveAtMostOnce runs a request at most once. Repeated requests get the outcome of the first one.
func (a *Agent) serveAtMostOnce(ctx context.Context, call *peer.ServerStream, d fleet.Dispatch) error {
	claim, err := a.claim(d)
	if err != nil {
		return err
	}
	if err := a.acknowledge(ctx, call); err != nil {
		return err
	}
	result := a.ledger.Claim(a.Node.Clock.Now(), claim)
	a.Node.Log.Info("once", "decision", claimDecision(result), "request", d.ID, "account", d.Account, "service", d.Service)
	if result.Refusal != nil {
		return markFromOwner(result.Refusal)
	}
	if result.Run {
		outcome := a.runAtMostOnce(ctx, d)
		a.ledger.Settle(claim.Name, outcome)
		return sendOutcome(ctx, call, outcome)
	}
	select {
	case <-result.Settled:
		return sendOutcome(ctx, call, result.Outcome())
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// claimDecision returns the logged name of a claim's result.
func claimDecision(result once.ClaimResult) string {
	switch {
	case result.Run:
		return "run"
	case result.Refusal != nil:
		return string(result.Refusal.Reason)
	default:
		return "replay"
	}
}

// markFromOwner marks a refusal as coming from the only agent that may run the request.
func markFromOwner(r *rillreach.Refusal) *rillreach.Refusal {
	r.FromOwner = true
	return r
}

// claim returns the claim for a request, or a refusal if this incarnation is not certain to be its owner.
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
	createdAt, err := once.ParseKey(d.Key)
	if err != nil {
		return once.Claim{}, rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	owner, verdict := a.Node.Owners.FindOwner(d.Service, createdAt, once.KeyHash(d.Account, d.Key))
	if verdict != once.VerdictOwned {
		return once.Claim{}, rillreach.MayHaveRun(rillreach.ReasonStaleView, "owner of the key is not certain: "+string(verdict))
	}
	if owner.Incarnation != a.Node.Self.Incarnation {
		return once.Claim{}, rillreach.MayHaveRun(rillreach.ReasonOwnerGone, "key is owned by another agent")
	}
	name := "key/" + string(d.Account) + "/" + string(d.Service) + "/" + d.Key
	return once.Claim{Name: name, Fingerprint: fingerprint(d), Expires: createdAt.Add(KeyLifetime)}, nil
}

func fingerprint(d fleet.Dispatch) [32]byte {
	return hash.Keyed(hash.Key{}, []byte(d.Method), []byte(d.Path), []byte(d.Query), d.Body)
}

// runAtMostOnce runs a request to completion even if its caller is gone. It stops early only if the grace period or
// atMostOnceTimeout expires.
func (a *Agent) runAtMostOnce(ctx context.Context, d fleet.Dispatch) once.Outcome {
	ctx, done := a.running.DeriveContext(context.WithoutCancel(ctx))
	defer done()
	ctx, cancel := context.WithTimeout(ctx, atMostOnceTimeout)
	defer cancel()
	if d.Key != "" && (a.Node.Leaving() || !slices.Contains(d.Sides, a.Node.Self.Side)) {
		return a.delegate(ctx, d)
	}
	if err := a.admit(d); err != nil {
		return errorOutcome(err)
	}
	reservation, refusal := a.scheduler.enqueue(d.Account, cost(d), d.Deadline)
	if refusal != nil {
		return errorOutcome(refusal)
	}
	if err := reservation.await(ctx); err != nil {
		return errorOutcome(err)
	}
	defer reservation.release()
	if err := a.checkDeadline(d); err != nil {
		return errorOutcome(err)
	}
	return a.callBackend(ctx, d)
}

// callBackend calls the backend server and reads the complete response.
func (a *Agent) callBackend(ctx context.Context, d fleet.Dispatch) once.Outcome {
	response, err := a.Backend.Do(ctx, a.backendRequest(d))
	if err != nil {
		return errorOutcome(backendError(ctx, err))
	}
	defer response.Body.Close()
	body, err := bounded.ReadAll(response.Body, maxOutcomeBytes)
	switch {
	case errors.Is(err, bounded.ErrTooLarge):
		return errorOutcome(rillreach.MayHaveRun(rillreach.ReasonTooLarge, "request was run, but its answer is too large to keep"))
	case err != nil:
		return errorOutcome(backendError(ctx, err))
	}
	return once.Outcome{Status: response.Status, Header: endToEndHeader(response.Header), Body: body}
}

// errorOutcome converts an error to an outcome. Unless the error is a refusal that says otherwise, the request may
// have run.
func errorOutcome(err error) once.Outcome {
	var refusal *rillreach.Refusal
	if !errors.As(err, &refusal) {
		refusal = rillreach.MayHaveRun(rillreach.ReasonInterrupted, err.Error())
	}
	return once.Outcome{Refusal: refusal}
}

func sendOutcome(ctx context.Context, call *peer.ServerStream, o once.Outcome) error {
	if o.Refusal != nil {
		return markFromOwner(o.Refusal)
	}
	return relay(ctx, call, rillreach.BackendResponse{Status: o.Status, Header: o.Header, Body: io.NopCloser(bytes.NewReader(o.Body))})
}
