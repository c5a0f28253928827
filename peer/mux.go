package peer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
)

// Handler answers the streams of one method; its error ends the stream, nil says that the answer is whole.
type Handler func(ctx context.Context, call *ServerStream) error

// Mux finds the handler of a method.
type Mux struct {
	// Log takes what goes wrong on connections.
	Log logr.Logger

	handlers [maxMethod + 1]Handler
}

// Handle sets the handler of a method; it must be called before connections are served.
func (m *Mux) Handle(method Method, handler Handler) {
	m.handlers[method] = handler
}

func (m *Mux) serve(ctx context.Context, method Method, call *ServerStream) error {
	handler := m.handlers[method]
	if handler == nil {
		return rillreach.NotRun(rillreach.ReasonBadRequest, "method is not offered here")
	}
	return handler(ctx, call)
}

// HandleUnary sets a handler that takes one message and answers with one message.
func HandleUnary[Req Checker, Resp any](m *Mux, method Method, answer func(ctx context.Context, from *Conn, req Req) (Resp, error)) {
	m.Handle(method, func(ctx context.Context, call *ServerStream) error {
		req, err := Decode[Req](call.Body)
		if err != nil {
			return rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
		}
		resp, err := answer(ctx, call.Conn, req)
		if err != nil {
			return err
		}
		body, err := Encode(resp)
		if err != nil {
			return err
		}
		return call.Send(ctx, body)
	})
}

// Invoke sends one message on a connection and waits for the one that answers it.
func Invoke[Req any, Resp Checker](ctx context.Context, c *Conn, method Method, req Req) (Resp, error) {
	var none Resp
	body, err := Encode(req)
	if err != nil {
		return none, err
	}
	s, err := c.Open(ctx, method, body)
	if err != nil {
		return none, errors.Wrap(err, "open stream")
	}
	defer s.Close()
	answer, err := s.readWhole(ctx)
	if err != nil {
		return none, err
	}
	return Decode[Resp](answer)
}

const maxWhole = 64 << 20

// readWhole collects the parts of an answer until it is whole.
func (s *ClientStream) readWhole(ctx context.Context) ([]byte, error) {
	var whole []byte
	for {
		part, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return whole, nil
		}
		if err != nil {
			return nil, err
		}
		if len(whole)+len(part) > maxWhole {
			return nil, errors.Newf("answer is longer than %d bytes", maxWhole)
		}
		whole = append(whole, part...)
	}
}
