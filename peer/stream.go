package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// ClientStream is the opener's end of a stream.
type ClientStream struct {
	conn *Conn
	id   uint64

	mu         sync.Mutex
	notify     chan struct{}
	inbox      []Frame
	inboxBytes int
	uncredited int
	nextSeq    uint64
	err        error
	closed     bool
}

// Open opens a stream to a method's handler. The caller must close it.
func (c *Conn) Open(ctx context.Context, method Method, body []byte) (*ClientStream, error) {
	s := &ClientStream{conn: c, id: c.lastStreamID.Add(1), notify: make(chan struct{}, 1)}
	c.mu.Lock()
	c.clientStreams[s.id] = s
	c.mu.Unlock()
	c.lastUsed.Store(time.Now().UnixNano())
	if err := c.send(ctx, &Frame{Type: TypeOpen, Method: method, Stream: s.id, Body: body}); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Next returns the next part of the response. It returns io.EOF after a complete response, a *rillreach.Refusal if the
// responder refused the request, and another error if the stream broke.
func (s *ClientStream) Next(ctx context.Context) ([]byte, error) {
	for {
		f, ok, err := s.pop()
		if err != nil {
			return nil, err
		}
		if ok {
			return s.consume(f)
		}
		select {
		case <-s.notify:
		case <-s.conn.done:
			s.fail(ErrClosed)
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// Close closes the stream, and cancels it at the responder if the response is not complete.
func (s *ClientStream) Close() {
	s.mu.Lock()
	open := !s.closed && s.err == nil
	s.closed = true
	s.mu.Unlock()
	s.conn.mu.Lock()
	delete(s.conn.clientStreams, s.id)
	s.conn.mu.Unlock()
	if open {
		s.conn.sendOrClose(&Frame{Type: TypeCancel, Stream: s.id})
	}
}

func (s *ClientStream) pop() (Frame, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inbox) > 0 {
		f := s.inbox[0]
		s.inbox[0] = Frame{}
		s.inbox = s.inbox[1:]
		s.inboxBytes -= len(f.Body)
		return f, true, nil
	}
	return Frame{}, false, s.err
}

func (s *ClientStream) consume(f Frame) ([]byte, error) {
	switch f.Type {
	case TypeEnd:
		s.fail(io.EOF)
		if f.Seq != s.nextSeq {
			return nil, errors.Newf("answer has %d parts where %d were sent", s.nextSeq, f.Seq)
		}
		return nil, io.EOF
	case TypeError:
		err := decodeError(f.Body)
		s.fail(err)
		return nil, err
	default:
		if f.Seq != s.nextSeq {
			return nil, errors.Newf("part %d of the answer arrived where %d was due", f.Seq, s.nextSeq)
		}
		s.nextSeq++
		s.credit(len(f.Body))
		return f.Body, nil
	}
}

// credit returns window to the responder once half of it has been used.
func (s *ClientStream) credit(size int) {
	s.uncredited += size
	if s.uncredited < streamWindow/2 {
		return
	}
	s.conn.sendOrClose(&Frame{Type: TypeCredit, Stream: s.id, Seq: uint64(s.uncredited)})
	s.uncredited = 0
}

func (s *ClientStream) receive(f Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.err != nil {
		return
	}
	if s.inboxBytes > 2*streamWindow+maxDataSize {
		s.err = errors.New("peer sent more than its window")
	} else {
		s.inbox = append(s.inbox, f)
		s.inboxBytes += len(f.Body)
	}
	s.signal()
}

func (s *ClientStream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.signal()
}

func (s *ClientStream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func decodeError(body []byte) error {
	refusal, err := Decode[wireRefusal](body)
	if err != nil {
		return err
	}
	decoded := rillreach.Refusal(refusal)
	return &decoded
}

// wireRefusal is the wire type of a refusal.
type wireRefusal rillreach.Refusal

// Check returns an error if the outcome is unknown.
func (r wireRefusal) Check() error {
	if r.Outcome != rillreach.OutcomeNotRun && r.Outcome != rillreach.OutcomeUnknown {
		return errors.Newf("outcome %q is unknown", r.Outcome)
	}
	return nil
}
