package peer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
)

// Handler serves the streams of one method. If it returns an error, the stream fails with that error; nil means that
// the response is complete.
type Handler func(ctx context.Context, s *ServerStream) error

// Mux dispatches streams to the handlers of their methods.
type Mux struct {
	// Log receives failures on connections.
	Log logr.Logger

	handlers [maxMethod + 1]Handler
}

// Handle sets the handler of a method. It must be called before connections are served.
func (m *Mux) Handle(method Method, handler Handler) {
	m.handlers[method] = handler
}

func (m *Mux) serve(ctx context.Context, method Method, s *ServerStream) error {
	handler := m.handlers[method]
	if handler == nil {
		return rillreach.NotRun(rillreach.ReasonBadRequest, "method is not offered here")
	}
	return handler(ctx, s)
}

// HandleUnary sets a handler that receives one request message and returns one response message.
func HandleUnary[Req Checker, Resp any](m *Mux, method Method, handle func(ctx context.Context, from *Conn, req Req) (Resp, error)) {
	m.Handle(method, func(ctx context.Context, s *ServerStream) error {
		req, err := Decode[Req](s.Body)
		if err != nil {
			return rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
		}
		resp, err := handle(ctx, s.Conn, req)
		if err != nil {
			return err
		}
		body, err := Encode(resp)
		if err != nil {
			return err
		}
		return s.Send(ctx, body)
	})
}

// Invoke sends a request message on a connection and waits for the response message.
func Invoke[Req any, Resp Checker](ctx context.Context, c *Conn, method Method, req Req) (Resp, error) {
	var zero Resp
	body, err := Encode(req)
	if err != nil {
		return zero, err
	}
	s, err := c.Open(ctx, method, body)
	if err != nil {
		return zero, errors.Wrap(err, "open stream")
	}
	defer s.Close()
	response, err := s.readAll(ctx)
	if err != nil {
		return zero, err
	}
	return Decode[Resp](response)
}

// maxResponseSize is the maximum size, in bytes, of a response that Invoke reads.
const maxResponseSize = 64 << 20

// readAll returns the complete response.
func (s *ClientStream) readAll(ctx context.Context) ([]byte, error) {
	var data []byte
	for {
		part, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data)+len(part) > maxResponseSize {
			return nil, errors.Newf("answer is longer than %d bytes", maxResponseSize)
		}
		data = append(data, part...)
	}
}
