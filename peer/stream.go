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

	mu      sync.Mutex
	arrived chan struct{}
	inbox   []Frame
	size    int
	taken   int
	next    uint64
	err     error
	closed  bool
}

// Open opens a stream for a method; the caller has to Close it.
func (c *Conn) Open(ctx context.Context, method Method, body []byte) (*ClientStream, error) {
	s := &ClientStream{conn: c, id: c.next.Add(1), arrived: make(chan struct{}, 1)}
	c.mu.Lock()
	c.opened[s.id] = s
	c.mu.Unlock()
	c.used.Store(time.Now().UnixNano())
	if err := c.send(ctx, &Frame{Type: TypeOpen, Method: method, Stream: s.id, Body: body}); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Next returns the next part of the answer, io.EOF once it is whole, a *rillreach.Refusal where the other side
// refused, or another error when the stream broke.
func (s *ClientStream) Next(ctx context.Context) ([]byte, error) {
	for {
		f, ok, err := s.pop()
		if err != nil {
			return nil, err
		}
		if ok {
			return s.read(f)
		}
		select {
		case <-s.arrived:
		case <-s.conn.ended:
			s.fail(ErrClosed)
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// Close gives the stream up; the other side is told if the answer was not whole yet.
func (s *ClientStream) Close() {
	s.mu.Lock()
	open := !s.closed && s.err == nil
	s.closed = true
	s.mu.Unlock()
	s.conn.mu.Lock()
	delete(s.conn.opened, s.id)
	s.conn.mu.Unlock()
	if open {
		s.conn.sendNow(&Frame{Type: TypeCancel, Stream: s.id})
	}
}

func (s *ClientStream) pop() (Frame, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inbox) > 0 {
		f := s.inbox[0]
		s.inbox[0] = Frame{}
		s.inbox = s.inbox[1:]
		s.size -= len(f.Body)
		return f, true, nil
	}
	return Frame{}, false, s.err
}

func (s *ClientStream) read(f Frame) ([]byte, error) {
	switch f.Type {
	case TypeEnd:
		s.fail(io.EOF)
		if f.Seq != s.next {
			return nil, errors.Newf("answer has %d parts where %d were sent", s.next, f.Seq)
		}
		return nil, io.EOF
	case TypeError:
		err := decodeFailure(f.Body)
		s.fail(err)
		return nil, err
	default:
		if f.Seq != s.next {
			return nil, errors.Newf("part %d of the answer arrived where %d was due", f.Seq, s.next)
		}
		s.next++
		s.credit(len(f.Body))
		return f.Body, nil
	}
}

// credit returns the window to the answerer in steps of half its size.
func (s *ClientStream) credit(size int) {
	s.taken += size
	if s.taken < streamWindow/2 {
		return
	}
	s.conn.sendNow(&Frame{Type: TypeCredit, Stream: s.id, Seq: uint64(s.taken)})
	s.taken = 0
}

func (s *ClientStream) arrive(f Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.err != nil {
		return
	}
	if s.size > 2*streamWindow+maxPart {
		s.err = errors.New("peer sent more than its window")
	} else {
		s.inbox = append(s.inbox, f)
		s.size += len(f.Body)
	}
	s.wake()
}

func (s *ClientStream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.wake()
}

func (s *ClientStream) wake() {
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

func decodeFailure(body []byte) error {
	refusal, err := Decode[failure](body)
	if err != nil {
		return err
	}
	decoded := rillreach.Refusal(refusal)
	return &decoded
}

// failure is a refusal on the wire.
type failure rillreach.Refusal

// Check reports an outcome that is not one of the two.
func (f failure) Check() error {
	if f.Outcome != rillreach.OutcomeNotRun && f.Outcome != rillreach.OutcomeUnknown {
		return errors.Newf("outcome %q is unknown", f.Outcome)
	}
	return nil
}
