package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// maxPart is the largest part of an answer that travels in one frame.
const maxPart = 16 << 10

// ServerStream is the answerer's end of a stream.
type ServerStream struct {
	// Conn is the connection that the stream came on.
	Conn *Conn
	// Body is what was asked.
	Body []byte

	id     uint64
	seq    uint64
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	window int64
	more   chan struct{}
}

// Send sends one part of the answer, and waits while the opener's window is full.
func (c *ServerStream) Send(ctx context.Context, part []byte) error {
	for len(part) > maxPart {
		if err := c.sendPart(ctx, part[:maxPart]); err != nil {
			return err
		}
		part = part[maxPart:]
	}
	return c.sendPart(ctx, part)
}

func (c *ServerStream) sendPart(ctx context.Context, part []byte) error {
	if err := c.waitWindow(ctx, int64(len(part))); err != nil {
		return err
	}
	f := &Frame{Type: TypeData, Stream: c.id, Seq: c.seq, Body: part}
	c.seq++
	return c.Conn.send(ctx, f)
}

func (c *ServerStream) waitWindow(ctx context.Context, size int64) error {
	for {
		if c.takeWindow(size) {
			return nil
		}
		select {
		case <-c.more:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (c *ServerStream) takeWindow(size int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.window <= 0 {
		return false
	}
	c.window -= size
	return true
}

func (c *ServerStream) grant(size int64) {
	c.mu.Lock()
	c.window += size
	c.mu.Unlock()
	select {
	case c.more <- struct{}{}:
	default:
	}
}

// accept starts the handler for a stream that the other side has opened.
func (c *Conn) accept(ctx context.Context, f Frame) {
	c.used.Store(time.Now().UnixNano())
	ctx, cancel := context.WithCancelCause(ctx)
	call := &ServerStream{Conn: c, Body: f.Body, id: f.Stream, cancel: cancel, window: streamWindow, more: make(chan struct{}, 1)}
	c.mu.Lock()
	full := len(c.served) >= maxOpenStreams
	if !full {
		c.served[f.Stream] = call
	}
	c.mu.Unlock()
	if full {
		cancel(nil)
		c.finish(ctx, call, rillreach.NotRun(rillreach.ReasonOverload, "too many streams on one connection"))
		return
	}
	go c.serve(ctx, call, f.Method)
}

func (c *Conn) serve(ctx context.Context, call *ServerStream, method Method) {
	defer call.cancel(nil)
	c.finish(ctx, call, c.mux.serve(ctx, method, call))
	c.mu.Lock()
	delete(c.served, call.id)
	c.mu.Unlock()
}

// finish tells the opener how the stream ended.
func (c *Conn) finish(ctx context.Context, call *ServerStream, err error) {
	f := &Frame{Type: TypeEnd, Stream: call.id, Seq: call.seq}
	if err != nil {
		f.Type = TypeError
		f.Body = encodeFailure(err)
	}
	if sendErr := c.send(context.WithoutCancel(ctx), f); sendErr != nil && err == nil {
		c.mux.Log.V(1).Info("end of stream not sent", "cause", sendErr.Error())
	}
}

func encodeFailure(err error) []byte {
	var refusal *rillreach.Refusal
	if !errors.As(err, &refusal) {
		refusal = rillreach.MayHaveRun(rillreach.ReasonInterrupted, err.Error())
	}
	body, err := Encode(failure(*refusal))
	if err != nil {
		return nil
	}
	return body
}
