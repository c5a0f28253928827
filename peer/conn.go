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
	sendQueueLength   = 256
	targetMessageSize = 32 << 10
	writeTimeout      = 10 * time.Second
	// pingInterval is the time between pings on connections with open streams. Other connections, of which an entry has
	// hundreds, are pinged only at every idlePingTicks-th interval.
	pingInterval  = 3 * time.Second
	idlePingTicks = 10
	pingTimeout   = 6 * time.Second
	// drainPollInterval is how often drain checks for pending responses.
	drainPollInterval = 5 * time.Millisecond
	streamWindow      = 64 << 10
	maxOpenStreams    = 4096
)

var (
	// ErrClosed means that the connection is closed. The requests of its open streams may or may not have run.
	ErrClosed = errors.New("connection to peer has ended")
	// ErrCancelled means that the opener has cancelled the stream.
	ErrCancelled = errors.New("stream was cancelled by its opener")
)

// Conn is a connection between two processes. Both sides can open streams on it.
type Conn struct {
	// Peer is the other process's instance, received when the connection was opened.
	Peer rillreach.Instance

	socket       *websocket.Conn
	mux          *Mux
	traffic      *Traffic
	sendQueue    chan *Frame
	done         chan struct{}
	closeOnce    sync.Once
	lastStreamID atomic.Uint64
	lastUsed     atomic.Int64
	// unsentFrames is the number of queued frames that have not been written.
	unsentFrames atomic.Int64

	mu            sync.Mutex
	clientStreams map[uint64]*ClientStream
	serverStreams map[uint64]*ServerStream
}

func newConn(socket *websocket.Conn, pool *Pool, peer rillreach.Instance) *Conn {
	socket.SetReadLimit(pool.MessageLimit)
	c := &Conn{
		Peer:          peer,
		socket:        socket,
		mux:           pool.Mux,
		traffic:       &pool.Traffic,
		sendQueue:     make(chan *Frame, sendQueueLength),
		done:          make(chan struct{}),
		clientStreams: map[uint64]*ClientStream{},
		serverStreams: map[uint64]*ServerStream{},
	}
	c.lastUsed.Store(time.Now().UnixNano())
	return c
}

// run serves the connection until it is closed.
func (c *Conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { c.shutdown(c.readLoop(ctx)) })
	wg.Go(func() { c.shutdown(c.writeLoop(ctx)) })
	wg.Go(func() { c.shutdown(c.pingLoop(ctx)) })
	wg.Go(func() {
		<-c.done
		cancel()
	})
	wg.Wait()
}

// Close closes the connection and all its streams.
func (c *Conn) Close() {
	c.shutdown(nil)
}

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} {
	return c.done
}

// Busy reports whether the connection has open streams.
func (c *Conn) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.clientStreams)+len(c.serverStreams) > 0
}

// drain waits until the peer has read the responses to all its requests, or the context ends. The final ping confirms
// this, because a peer responds to a ping only after it has read the messages before it.
func (c *Conn) drain(ctx context.Context) error {
	for c.hasPendingResponses() {
		select {
		case <-c.done:
			return ErrClosed
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(drainPollInterval):
		}
	}
	return errors.Wrap(c.socket.Ping(ctx), "ping peer")
}

// hasPendingResponses reports whether the peer has an unanswered stream or a response that is not fully written.
func (c *Conn) hasPendingResponses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.serverStreams) > 0 || c.unsentFrames.Load() > 0
}

// LastUsed returns when either side last opened a stream on the connection.
func (c *Conn) LastUsed() time.Time {
	return time.Unix(0, c.lastUsed.Load())
}

func (c *Conn) shutdown(error) {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.socket.CloseNow()
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range c.clientStreams {
			s.fail(ErrClosed)
		}
		for _, s := range c.serverStreams {
			s.cancel(ErrClosed)
		}
	})
}

// send queues a frame. If it returns an error, the frame is certain not to be sent. The first check is needed because
// select chooses at random if the connection is closed and the queue has room.
func (c *Conn) send(ctx context.Context, f *Frame) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	c.unsentFrames.Add(1)
	select {
	case c.sendQueue <- f:
		return nil
	case <-c.done:
		c.unsentFrames.Add(-1)
		return ErrClosed
	case <-ctx.Done():
		c.unsentFrames.Add(-1)
		return context.Cause(ctx)
	}
}

// sendOrClose queues a frame without blocking. If the queue is full, it closes the connection.
func (c *Conn) sendOrClose(f *Frame) {
	c.unsentFrames.Add(1)
	select {
	case c.sendQueue <- f:
	case <-c.done:
		c.unsentFrames.Add(-1)
	default:
		c.unsentFrames.Add(-1)
		go c.shutdown(ErrClosed)
	}
}

func (c *Conn) writeLoop(ctx context.Context) error {
	var message bytes.Buffer
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-c.sendQueue:
			frames, err := c.fillMessage(&message, f)
			if err != nil {
				return err
			}
			if err := c.writeMessage(ctx, &message); err != nil {
				return err
			}
			c.unsentFrames.Add(-frames)
		}
	}
}

// fillMessage encodes the first frame and those queued behind it into one message, up to about targetMessageSize, and
// returns their number.
func (c *Conn) fillMessage(message *bytes.Buffer, first *Frame) (frames int64, err error) {
	message.Reset()
	defer func() { c.traffic.Frames.Add(frames) }()
	for f := first; ; {
		frames++
		if err := appendFrame(message, f); err != nil {
			return frames, err
		}
		if message.Len() >= targetMessageSize {
			return frames, nil
		}
		select {
		case f = <-c.sendQueue:
		default:
			return frames, nil
		}
	}
}

func (c *Conn) writeMessage(ctx context.Context, message *bytes.Buffer) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.traffic.Messages.Add(1)
	c.traffic.Bytes.Add(int64(message.Len()))
	return errors.Wrap(c.socket.Write(ctx, websocket.MessageBinary, message.Bytes()), "write to peer")
}

func (c *Conn) readLoop(ctx context.Context) error {
	for {
		_, message, err := c.socket.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read from peer")
		}
		if err := splitFrames(message, func(f Frame) { c.handleFrame(ctx, f) }); err != nil {
			return err
		}
	}
}

func (c *Conn) pingLoop(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if tick%idlePingTicks != 0 && !c.Busy() {
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

// handleFrame passes a received frame to its stream. Frames of ended streams are dropped.
func (c *Conn) handleFrame(ctx context.Context, f Frame) {
	switch f.Type {
	case TypeOpen:
		c.accept(ctx, f)
	case TypeCancel:
		if s := c.findServerStream(f.Stream); s != nil {
			s.cancel(ErrCancelled)
		}
	case TypeCredit:
		if s := c.findServerStream(f.Stream); s != nil {
			s.addWindow(int64(f.Seq))
		}
	case TypeData, TypeEnd, TypeError:
		if s := c.findClientStream(f.Stream); s != nil {
			s.receive(f)
		}
	}
}

func (c *Conn) findServerStream(id uint64) *ServerStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serverStreams[id]
}

func (c *Conn) findClientStream(id uint64) *ClientStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clientStreams[id]
}
