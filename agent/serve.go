package agent

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backend"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/peer"
)

// bodyPartSize is the maximum size of a part of a response body, including the byte for its kind.
const bodyPartSize = 16 << 10

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Date",
}

// serve handles a request from an entry or from another agent.
func (a *Agent) serve(ctx context.Context, call *peer.ServerStream) error {
	d, err := peer.Decode[fleet.Dispatch](call.Body)
	if err != nil {
		return rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	if role := call.Conn.Peer.Role; role != rillreach.RoleEntry && role != rillreach.RoleAgent {
		return rillreach.NotRun(rillreach.ReasonUnauthorized, "only entries and agents may send requests")
	}
	a.Node.Spread.CatchUp(call.Conn, d.RowVersion)
	a.running.Add()
	defer a.running.Done()
	ctx, done := a.running.DeriveContext(ctx)
	defer done()
	if d.Once {
		return a.serveAtMostOnce(ctx, call, d)
	}
	if err := a.admit(d); err != nil {
		return err
	}
	return a.serveIdempotent(ctx, call, d)
}

// admit refuses requests that must not run on this agent.
func (a *Agent) admit(d fleet.Dispatch) error {
	self := a.Node.Self
	switch {
	case a.Node.Leaving():
		return rillreach.NotRun(rillreach.ReasonLeaving, "agent is leaving")
	case d.Service != self.Service:
		return rillreach.NotRun(rillreach.ReasonNoBackend, "agent is beside another service")
	case d.Model != "" && !self.Serves(d.Model, d.Version):
		return rillreach.NotRun(rillreach.ReasonNoBackend, "engine does not have the model version")
	case len(d.Sides) > 0 && !slices.Contains(d.Sides, self.Side):
		return rillreach.NotRun(rillreach.ReasonNoBackend, "side takes nothing of this account")
	default:
		return a.checkDeadline(d)
	}
}

// checkDeadline refuses a request whose deadline has passed. It is called again immediately before the call to the
// backend server, because the process may have been suspended in between.
func (a *Agent) checkDeadline(d fleet.Dispatch) error {
	if !d.Deadline.IsZero() && !a.Node.Clock.Now().Before(d.Deadline) {
		return rillreach.NotRun(rillreach.ReasonDeadline, "deadline has passed")
	}
	return nil
}

// serveIdempotent runs a request when it is its turn, and streams the response.
func (a *Agent) serveIdempotent(ctx context.Context, call *peer.ServerStream, d fleet.Dispatch) error {
	reservation, refusal := a.scheduler.enqueue(d.Account, cost(d), d.Deadline)
	if refusal != nil {
		return refusal
	}
	if err := a.acknowledge(ctx, call); err != nil {
		reservation.cancel()
		return err
	}
	imported := a.importState(ctx, d, reservation.estimatedWait)
	if err := reservation.await(ctx); err != nil {
		return err
	}
	defer reservation.release()
	<-imported
	if err := a.checkDeadline(d); err != nil {
		return err
	}
	response, err := a.Backend.Do(ctx, a.backendRequest(d))
	if err != nil {
		return backendError(ctx, err)
	}
	defer response.Body.Close()
	if err := relay(ctx, call, response); err != nil {
		return err
	}
	if a.keeper != nil && response.Status == http.StatusOK {
		a.keeper.RecordAnswer(d)
	}
	return nil
}

// importState imports stored KV cache state while the request waits for its turn. It closes the channel when done.
func (a *Agent) importState(ctx context.Context, d fleet.Dispatch, wait time.Duration) <-chan struct{} {
	done := make(chan struct{})
	if a.keeper == nil {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		a.keeper.ImportState(ctx, d, wait, float64(a.load.prefillRate.Load()))
	}()
	return done
}

// acknowledge tells the sender that the agent has the request, together with the load hint and the version of the
// rows.
func (a *Agent) acknowledge(ctx context.Context, call *peer.ServerStream) error {
	ack, err := fleet.EncodePart(fleet.PartAck, fleet.Ack{Hint: a.loadHint(), RowVersion: a.Node.Replica.Watermark(rillreach.KindRow).Version})
	if err != nil {
		return err
	}
	return call.Send(ctx, ack)
}

func (a *Agent) backendRequest(d fleet.Dispatch) rillreach.BackendRequest {
	return rillreach.BackendRequest{Method: d.Method, Path: d.Path, Query: d.Query, Header: d.Header, Body: d.Body}
}

// cost estimates the work of a request, in tokens.
func cost(d fleet.Dispatch) float64 {
	return float64(max(d.Tokens, 1))
}

// backendError converts a failed call to the backend server to a refusal.
func backendError(ctx context.Context, err error) error {
	if errors.Is(err, backend.ErrNotSent) {
		return rillreach.NotRun(rillreach.ReasonNoBackend, "backend server is out of reach")
	}
	if ctx.Err() != nil {
		return rillreach.MayHaveRun(rillreach.ReasonInterrupted, "call of the backend server was broken off: "+context.Cause(ctx).Error())
	}
	return rillreach.MayHaveRun(rillreach.ReasonInterrupted, "backend server broke off: "+err.Error())
}

// relay sends the head of a response and then its body in parts, as the backend server produces it.
func relay(ctx context.Context, call *peer.ServerStream, response rillreach.BackendResponse) error {
	head, err := fleet.EncodePart(fleet.PartHead, fleet.Head{Status: response.Status, Header: endToEndHeader(response.Header)})
	if err != nil {
		return err
	}
	if err := call.Send(ctx, head); err != nil {
		return err
	}
	buffer := make([]byte, bodyPartSize-1)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := call.Send(ctx, fleet.BodyPart(buffer[:n])); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return rillreach.MayHaveRun(rillreach.ReasonInterrupted, "backend server broke off its answer")
		}
	}
}

// endToEndHeader returns the headers to forward.
func endToEndHeader(header http.Header) map[string][]string {
	forwarded := header.Clone()
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
