package dispatch

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/peer"
)

var errAckTimeout = errors.New("agent did not say in time that it has the request")

// newDispatch returns the message that asks an agent to run the request.
func (f *Filter) newDispatch(x *rillreach.Exchange, attempt int) fleet.Dispatch {
	req := &x.Request
	d := fleet.Dispatch{
		ID:           req.ID,
		Attempt:      attempt,
		Account:      req.Account,
		Objective:    req.Row.Objective,
		Service:      req.Service,
		Method:       req.Method,
		Path:         req.Path,
		Query:        req.Query,
		Header:       req.Header,
		Body:         req.Body,
		Deadline:     req.Deadline,
		Conversation: req.Conversation,
		Blocks:       req.Blocks,
		Tokens:       req.Tokens,
		Salt:         req.Salt,
		Once:         req.AtMostOnce,
		Key:          req.IdempotencyKey,
		Ticket:       req.Ticket,
		Sides:        allowedSides(req.Row.Weights),
		RowVersion:   f.Node.Replica.Watermark(rillreach.KindRow).Version,
	}
	if req.Service == "" {
		d.Model, d.Version = req.Row.Model, req.Row.Version
	}
	return d
}

func allowedSides(w rillreach.Weights) []rillreach.Side {
	var sides []rillreach.Side
	for _, side := range []rillreach.Side{rillreach.SideNew, rillreach.SideOld} {
		if w.Of(side) > 0 {
			sides = append(sides, side)
		}
	}
	return sides
}

// attempt sends the request to an agent and relays its response to the caller. If the agent does not acknowledge the
// request in time, the stream is added to unacked, or closed if unacked is nil.
func (f *Filter) attempt(ctx context.Context, x *rillreach.Exchange, m *membership.Member, d fleet.Dispatch, unacked *unackedStreams) error {
	conn, err := f.Node.Pool.Get(ctx, m.Address)
	if err != nil {
		if ctx.Err() == nil {
			m.Suspect(f.Node.Clock.Now())
		}
		return rillreach.NotRun(rillreach.ReasonNoBackend, "agent is out of reach: "+err.Error())
	}
	if conn.Peer.ID != m.ID {
		return rillreach.NotRun(rillreach.ReasonNoBackend, "another instance answers at the agent's address")
	}
	body, err := peer.Encode(d)
	if err != nil {
		return err
	}
	stream, err := conn.Open(ctx, peer.MethodDispatch, body)
	if err != nil {
		return rillreach.NotRun(rillreach.ReasonNoBackend, "request could not be sent: "+err.Error())
	}
	if err := f.awaitAck(ctx, stream, conn, m); err != nil {
		if !unacked.add(stream, err) {
			stream.Close()
		}
		return err
	}
	defer stream.Close()
	return f.relayResponse(ctx, x, stream)
}

// awaitAck waits for the agent to acknowledge the request. It marks the agent as suspected if it does not do so in
// time or the connection closes.
func (f *Filter) awaitAck(ctx context.Context, stream *peer.ClientStream, conn *peer.Conn, m *membership.Member) error {
	timeout := f.AckTimeout
	if timeout == 0 {
		timeout = DefaultAckTimeout
	}
	ackCtx, cancel := context.WithTimeoutCause(ctx, timeout, errAckTimeout)
	defer cancel()
	ack, err := readAck(ackCtx, stream)
	if errors.Is(err, errAckTimeout) || errors.Is(err, peer.ErrClosed) {
		m.Suspect(f.Node.Clock.Now())
	}
	if err != nil {
		return err
	}
	f.applyAck(conn, m, ack)
	return nil
}

// readAck reads an agent's acknowledgement of the request.
func readAck(ctx context.Context, stream *peer.ClientStream) (fleet.Ack, error) {
	part, err := stream.Next(ctx)
	if err != nil {
		return fleet.Ack{}, err
	}
	kind, data, err := fleet.SplitPart(part)
	if err != nil {
		return fleet.Ack{}, err
	}
	if kind != fleet.PartAck {
		return fleet.Ack{}, errors.New("agent's answer does not begin with an acknowledgement")
	}
	return peer.Decode[fleet.Ack](data)
}

// applyAck stores the load hint in the acknowledgement, and requests missing changes if the agent's copy of the rows
// is newer.
func (f *Filter) applyAck(conn *peer.Conn, m *membership.Member, ack fleet.Ack) {
	hint := ack.Hint
	hint.ReceivedAt = f.Node.Clock.Now()
	m.SetLoadHint(hint)
	f.Node.Spread.CatchUp(conn, ack.RowVersion)
}

// relayResponse relays the response to the caller. A streamed response is relayed as it arrives, any other one once
// it is complete, so that the request can be retried until then.
func (f *Filter) relayResponse(ctx context.Context, x *rillreach.Exchange, stream *peer.ClientStream) error {
	w := responseWriter{x: x, now: f.Node.Clock.Now}
	for {
		part, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return w.finish()
		}
		if err != nil {
			return err
		}
		if err := w.writePart(part); err != nil {
			return err
		}
	}
}
