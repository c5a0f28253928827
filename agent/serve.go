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

const readSize = 16 << 10

// hopHeaders are those of one connection, which are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Date",
}

// serve answers one request of an entry.
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
	ctx, unbind := a.running.Bind(ctx)
	defer unbind()
	if d.Once {
		return a.serveOnce(ctx, call, d)
	}
	if err := a.admit(d); err != nil {
		return err
	}
	return a.serveNow(ctx, call, d)
}

// admit refuses what must not run here.
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
		return a.inTime(d)
	}
}

// inTime refuses a request whose caller has given up; it is asked again just before the backend server is called,
// since the process may have been frozen in between.
func (a *Agent) inTime(d fleet.Dispatch) error {
	if !d.Deadline.IsZero() && !a.Node.Clock.Now().Before(d.Deadline) {
		return rillreach.NotRun(rillreach.ReasonDeadline, "deadline has passed")
	}
	return nil
}

// serveNow runs a request in its turn and passes the answer on as it comes.
func (a *Agent) serveNow(ctx context.Context, call *peer.ServerStream, d fleet.Dispatch) error {
	place, refusal := a.slots.enter(d.Account, cost(d), d.Deadline)
	if refusal != nil {
		return refusal
	}
	if err := a.acknowledge(ctx, call); err != nil {
		place.abandon()
		return err
	}
	prepared := a.prepare(ctx, d, place.wait)
	if err := place.await(ctx); err != nil {
		return err
	}
	defer place.leave()
	<-prepared
	if err := a.inTime(d); err != nil {
		return err
	}
	answer, err := a.Backend.Do(ctx, a.callOf(d))
	if err != nil {
		return backendFailure(ctx, err)
	}
	defer answer.Body.Close()
	if err := passOn(ctx, call, answer); err != nil {
		return err
	}
	if a.keeper != nil && answer.Status == http.StatusOK {
		a.keeper.Answered(d)
	}
	return nil
}

// prepare reads kept state while the request waits for its turn, and closes the channel once that is done.
func (a *Agent) prepare(ctx context.Context, d fleet.Dispatch, wait time.Duration) <-chan struct{} {
	done := make(chan struct{})
	if a.keeper == nil {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		a.keeper.Prepare(ctx, d, wait, float64(a.load.prefill.Load()))
	}()
	return done
}

func (a *Agent) acknowledge(ctx context.Context, call *peer.ServerStream) error {
	ack, err := fleet.EncodePart(fleet.PartAck, fleet.Ack{Hint: a.hint(), RowVersion: a.Node.Copy.Watermark(rillreach.KindRow).Version})
	if err != nil {
		return err
	}
	return call.Send(ctx, ack)
}

func (a *Agent) callOf(d fleet.Dispatch) rillreach.BackendRequest {
	return rillreach.BackendRequest{Method: d.Method, Path: d.Path, Query: d.Query, Header: d.Header, Body: d.Body}
}

// cost is the work of a request in tokens, as far as it can be told beforehand.
func cost(d fleet.Dispatch) float64 {
	return float64(max(d.Tokens, 1))
}

func backendFailure(ctx context.Context, err error) error {
	if errors.Is(err, backend.ErrNotSent) {
		return rillreach.NotRun(rillreach.ReasonNoBackend, "backend server is out of reach")
	}
	if ctx.Err() != nil {
		return rillreach.MayHaveRun(rillreach.ReasonInterrupted, "call of the backend server was broken off: "+context.Cause(ctx).Error())
	}
	return rillreach.MayHaveRun(rillreach.ReasonInterrupted, "backend server broke off: "+err.Error())
}

// passOn sends an answer's head and then its body, part by part, as the backend server gives it.
func passOn(ctx context.Context, call *peer.ServerStream, answer rillreach.BackendResponse) error {
	head, err := fleet.EncodePart(fleet.PartHead, fleet.Head{Status: answer.Status, Header: endToEnd(answer.Header)})
	if err != nil {
		return err
	}
	if err := call.Send(ctx, head); err != nil {
		return err
	}
	buffer := make([]byte, readSize-1)
	for {
		count, err := answer.Body.Read(buffer)
		if count > 0 {
			if err := call.Send(ctx, fleet.BodyPart(buffer[:count])); err != nil {
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

// endToEnd returns the headers that are passed on.
func endToEnd(header http.Header) map[string][]string {
	passed := header.Clone()
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}
