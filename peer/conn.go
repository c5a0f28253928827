package peer

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
)

const (
	sendQueue     = 256
	messageTarget = 32 << 10
	writeTimeout  = 10 * time.Second
	// pingEvery is for connections with open streams; idlePings as many times are let pass on the others, of which an
	// entry has hundreds.
	pingEvery   = 3 * time.Second
	idlePings   = 10
	pingTimeout = 6 * time.Second
	// settlePoll is how often it is looked at whether a peer still has something coming.
	settlePoll     = 5 * time.Millisecond
	streamWindow   = 64 << 10
	maxOpenStreams = 4096
)

var (
	// ErrClosed says that the connection has ended; what its streams had asked may or may not have been done.
	ErrClosed = errors.New("connection to peer has ended")
	// ErrCancelled says that the opener wants no more of a stream.
	ErrCancelled = errors.New("stream was cancelled by its opener")
)

// Conn is one connection between two processes; both sides may open streams on it.
type Conn struct {
	// Peer is what the other process has said of itself.
	Peer rillreach.Instance

	socket  *websocket.Conn
	mux     *Mux
	traffic *Traffic
	out     chan *Frame
	ended   chan struct{}
	endOnce sync.Once
	next    atomic.Uint64
	used    atomic.Int64
	// unsent counts the frames that are not written yet.
	unsent atomic.Int64

	mu     sync.Mutex
	opened map[uint64]*ClientStream
	served map[uint64]*ServerStream
}

func newConn(socket *websocket.Conn, pool *Pool, peer rillreach.Instance) *Conn {
	socket.SetReadLimit(pool.MessageLimit)
	c := &Conn{
		Peer:    peer,
		socket:  socket,
		mux:     pool.Mux,
		traffic: &pool.Traffic,
		out:     make(chan *Frame, sendQueue),
		ended:   make(chan struct{}),
		opened:  map[uint64]*ClientStream{},
		served:  map[uint64]*ServerStream{},
	}
	c.used.Store(time.Now().UnixNano())
	return c
}

// run carries the connection until it ends.
func (c *Conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { c.end(c.readAll(ctx)) })
	wg.Go(func() { c.end(c.writeAll(ctx)) })
	wg.Go(func() { c.end(c.pingAll(ctx)) })
	wg.Go(func() {
		<-c.ended
		cancel()
	})
	wg.Wait()
}

// Close ends the connection and every stream on it.
func (c *Conn) Close() {
	c.end(nil)
}

// Done is closed once the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.ended
}

// Busy reports whether a stream is open on the connection.
func (c *Conn) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.opened)+len(c.served) > 0
}

// settle waits until the peer has read the answer to all that it asked, or the context ends. A peer answers a ping once it
// has read what came before.
func (c *Conn) settle(ctx context.Context) error {
	for c.answering() {
		select {
		case <-c.ended:
			return ErrClosed
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(settlePoll):
		}
	}
	return errors.Wrap(c.socket.Ping(ctx), "ping peer")
}

// answering reports whether a stream of the peer has no answer yet, or one that is not written yet.
func (c *Conn) answering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.served) > 0 || c.unsent.Load() > 0
}

// LastUsed is when either side last opened a stream on the connection.
func (c *Conn) LastUsed() time.Time {
	return time.Unix(0, c.used.Load())
}

func (c *Conn) end(error) {
	c.endOnce.Do(func() {
		close(c.ended)
		_ = c.socket.CloseNow()
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range c.opened {
			s.fail(ErrClosed)
		}
		for _, call := range c.served {
			call.cancel(ErrClosed)
		}
	})
}

// send queues a frame. An error says that it certainly does not go out: where the queue has room and the connection has
// ended, select alone would choose either.
func (c *Conn) send(ctx context.Context, f *Frame) error {
	select {
	case <-c.ended:
		return ErrClosed
	default:
	}
	c.unsent.Add(1)
	select {
	case c.out <- f:
		return nil
	case <-c.ended:
		c.unsent.Add(-1)
		return ErrClosed
	case <-ctx.Done():
		c.unsent.Add(-1)
		return context.Cause(ctx)
	}
}

// sendNow queues a frame whose sender must not wait; a full queue ends the connection.
func (c *Conn) sendNow(f *Frame) {
	c.unsent.Add(1)
	select {
	case c.out <- f:
	case <-c.ended:
		c.unsent.Add(-1)
	default:
		c.unsent.Add(-1)
		go c.end(ErrClosed)
	}
}

func (c *Conn) writeAll(ctx context.Context) error {
	var message bytes.Buffer
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-c.out:
			frames, err := c.fill(&message, f)
			if err != nil {
				return err
			}
			if err := c.flush(ctx, &message); err != nil {
				return err
			}
			c.unsent.Add(-frames)
		}
	}
}

// fill puts the first frame and those that wait behind it into one message, and counts them.
func (c *Conn) fill(message *bytes.Buffer, first *Frame) (frames int64, err error) {
	message.Reset()
	defer func() { c.traffic.Frames.Add(frames) }()
	for f := first; ; {
		frames++
		if err := appendFrame(message, f); err != nil {
			return frames, err
		}
		if message.Len() >= messageTarget {
			return frames, nil
		}
		select {
		case f = <-c.out:
		default:
			return frames, nil
		}
	}
}

func (c *Conn) flush(ctx context.Context, message *bytes.Buffer) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.traffic.Messages.Add(1)
	c.traffic.Bytes.Add(int64(message.Len()))
	return errors.Wrap(c.socket.Write(ctx, websocket.MessageBinary, message.Bytes()), "write to peer")
}

func (c *Conn) readAll(ctx context.Context) error {
	for {
		_, message, err := c.socket.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read from peer")
		}
		if err := splitFrames(message, func(f Frame) { c.take(ctx, f) }); err != nil {
			return err
		}
	}
}

func (c *Conn) pingAll(ctx context.Context) error {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if turn%idlePings != 0 && !c.Busy() {
				continue
			}
			if err := c.ping(ctx); err != nil {
				return err
			}
		}
	}
}

func (c *Conn) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return errors.Wrap(c.socket.Ping(ctx), "ping peer")
}

// take hands a frame that has arrived to the stream it belongs to; frames of ended streams are dropped.
func (c *Conn) take(ctx context.Context, f Frame) {
	switch f.Type {
	case TypeOpen:
		c.accept(ctx, f)
	case TypeCancel:
		if call := c.callOf(f.Stream); call != nil {
			call.cancel(ErrCancelled)
		}
	case TypeCredit:
		if call := c.callOf(f.Stream); call != nil {
			call.grant(int64(f.Seq))
		}
	case TypeData, TypeEnd, TypeError:
		if s := c.streamOf(f.Stream); s != nil {
			s.arrive(f)
		}
	}
}

func (c *Conn) callOf(id uint64) *ServerStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served[id]
}

func (c *Conn) streamOf(id uint64) *ClientStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened[id]
}
