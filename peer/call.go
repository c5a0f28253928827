package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// maxDataSize is the maximum size of a data frame's body. Longer parts are split.
const maxDataSize = 16 << 10

// ServerStream is the responder's end of a stream.
type ServerStream struct {
	// Conn is the connection of the stream.
	Conn *Conn
	// Body is the request.
	Body []byte

	id     uint64
	seq    uint64
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	window      int64
	windowGrown chan struct{}
}

// Send sends one part of the response. It blocks while the opener's window is exhausted.
func (s *ServerStream) Send(ctx context.Context, part []byte) error {
	for len(part) > maxDataSize {
		if err := s.sendPart(ctx, part[:maxDataSize]); err != nil {
			return err
		}
		part = part[maxDataSize:]
	}
	return s.sendPart(ctx, part)
}

func (s *ServerStream) sendPart(ctx context.Context, part []byte) error {
	if err := s.waitWindow(ctx, int64(len(part))); err != nil {
		return err
	}
	f := &Frame{Type: TypeData, Stream: s.id, Seq: s.seq, Body: part}
	s.seq++
	return s.Conn.send(ctx, f)
}

func (s *ServerStream) waitWindow(ctx context.Context, size int64) error {
	for {
		if s.takeWindow(size) {
			return nil
		}
		select {
		case <-s.windowGrown:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (s *ServerStream) takeWindow(size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.window <= 0 {
		return false
	}
	s.window -= size
	return true
}

func (s *ServerStream) addWindow(size int64) {
	s.mu.Lock()
	s.window += size
	s.mu.Unlock()
	select {
	case s.windowGrown <- struct{}{}:
	default:
	}
}

// accept starts the handler of a stream that the peer has opened.
func (c *Conn) accept(ctx context.Context, f Frame) {
	c.lastUsed.Store(time.Now().UnixNano())
	ctx, cancel := context.WithCancelCause(ctx)
	s := &ServerStream{Conn: c, Body: f.Body, id: f.Stream, cancel: cancel, window: streamWindow, windowGrown: make(chan struct{}, 1)}
	c.mu.Lock()
	full := len(c.serverStreams) >= maxOpenStreams
	if !full {
		c.serverStreams[f.Stream] = s
	}
	c.mu.Unlock()
	if full {
		cancel(nil)
		c.sendEnd(ctx, s, rillreach.NotRun(rillreach.ReasonOverload, "too many streams on one connection"))
		return
	}
	go c.serve(ctx, s, f.Method)
}

func (c *Conn) serve(ctx context.Context, s *ServerStream, method Method) {
	defer s.cancel(nil)
	c.sendEnd(ctx, s, c.mux.serve(ctx, method, s))
	c.mu.Lock()
	delete(c.serverStreams, s.id)
	c.mu.Unlock()
}

// sendEnd tells the opener how the stream ended.
func (c *Conn) sendEnd(ctx context.Context, s *ServerStream, err error) {
	f := &Frame{Type: TypeEnd, Stream: s.id, Seq: s.seq}
	if err != nil {
		f.Type = TypeError
		f.Body = encodeError(err)
	}
	if sendErr := c.send(context.WithoutCancel(ctx), f); sendErr != nil && err == nil {
		c.mux.Log.V(1).Info("end of stream not sent", "cause", sendErr.Error())
	}
}

func encodeError(err error) []byte {
	var refusal *rillreach.Refusal
	if !errors.As(err, &refusal) {
		refusal = rillreach.MayHaveRun(rillreach.ReasonInterrupted, err.Error())
	}
	body, err := Encode(wireRefusal(*refusal))
	if err != nil {
		return nil
	}
	return body
}
