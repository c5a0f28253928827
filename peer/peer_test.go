package peer

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rillreach/rillreach"
)

const testTimeout = 10 * time.Second

func testInstance(role rillreach.Role) rillreach.Instance {
	return rillreach.Instance{
		ID: "one", Role: role, Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Side: rillreach.SideOld,
	}
}

// connectPair connects a client pool to a server pool with the given handler of MethodDispatch.
func connectPair(t *testing.T, handler Handler) (context.Context, *Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	serverPool := &Pool{Self: testInstance(rillreach.RoleAgent), Mux: &Mux{Log: logr.Discard()}, Log: logr.Discard()}
	serverPool.Mux.Handle(MethodDispatch, handler)
	serverPool.Start(ctx)
	server := httptest.NewServer(serverPool)
	t.Cleanup(server.Close)
	clientPool := &Pool{Self: testInstance(rillreach.RoleEntry), Mux: &Mux{Log: logr.Discard()}, Log: logr.Discard()}
	clientPool.Start(ctx)
	conn, err := clientPool.Get(ctx, netip.MustParseAddrPort(server.Listener.Addr().String()))
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	return ctx, conn
}

func TestStreams(t *testing.T) {
	t.Run("a response much larger than the window arrives complete", func(t *testing.T) {
		want := bytes.Repeat([]byte("part of an answer "), 100_000)
		ctx, conn := connectPair(t, func(ctx context.Context, s *ServerStream) error { return s.Send(ctx, want) })
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		defer s.Close()
		got, err := s.readAll(ctx)
		require.NoError(t, err)
		assert.True(t, bytes.Equal(want, got))
	})
	t.Run("a stream that is not read blocks its sender but no other stream", func(t *testing.T) {
		blocked := make(chan struct{})
		ctx, conn := connectPair(t, func(ctx context.Context, s *ServerStream) error {
			if string(s.Body) == "fast" {
				return s.Send(ctx, []byte("answer"))
			}
			err := s.Send(ctx, make([]byte, 10*streamWindow))
			close(blocked)
			return err
		})
		slow, err := conn.Open(ctx, MethodDispatch, []byte("slow"))
		require.NoError(t, err)
		fast, err := conn.Open(ctx, MethodDispatch, []byte("fast"))
		require.NoError(t, err)
		got, err := fast.readAll(ctx)
		require.NoError(t, err)
		assert.Equal(t, "answer", string(got))
		select {
		case <-blocked:
			assert.Fail(t, "sender exceeded the window")
		default:
		}
		slow.Close()
		<-blocked
	})
	t.Run("a refusal arrives unchanged", func(t *testing.T) {
		refusal := rillreach.NotRun(rillreach.ReasonOverload, "full").WithRetryAfter(3 * time.Second)
		ctx, conn := connectPair(t, func(context.Context, *ServerStream) error { return refusal })
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		_, err = s.Next(ctx)
		var got *rillreach.Refusal
		require.ErrorAs(t, err, &got)
		assert.Equal(t, refusal, got)
	})
	t.Run("closing a stream cancels its handler", func(t *testing.T) {
		cancelled := make(chan error, 1)
		ctx, conn := connectPair(t, func(ctx context.Context, _ *ServerStream) error {
			<-ctx.Done()
			cancelled <- context.Cause(ctx)
			return nil
		})
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		s.Close()
		assert.ErrorIs(t, <-cancelled, ErrCancelled)
	})
	t.Run("closing a connection fails its streams with an error other than EOF", func(t *testing.T) {
		ctx, conn := connectPair(t, func(ctx context.Context, _ *ServerStream) error { <-ctx.Done(); return nil })
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		conn.Close()
		_, err = s.Next(ctx)
		require.Error(t, err)
		assert.NotErrorIs(t, err, io.EOF)
	})
	t.Run("a closed connection accepts no stream, so that the request is certain not to have run", func(t *testing.T) {
		ctx, conn := connectPair(t, nil)
		conn.Close()
		for range 100 {
			_, err := conn.Open(ctx, MethodDispatch, nil)
			require.ErrorIs(t, err, ErrClosed)
		}
	})
	t.Run("a method without a handler is refused as not run", func(t *testing.T) {
		ctx, conn := connectPair(t, nil)
		s, err := conn.Open(ctx, MethodLease, nil)
		require.NoError(t, err)
		_, err = s.Next(ctx)
		var got *rillreach.Refusal
		require.ErrorAs(t, err, &got)
		assert.Equal(t, rillreach.OutcomeNotRun, got.Outcome)
	})
}

// TestSweepClosesActiveConnection guards against an accepted connection that counts as idle although the peer has
// just used it. Closing it would interrupt a request that is already on its way. The last use must include streams
// that the peer opens.
func TestSweepClosesActiveConnection(t *testing.T) {
	accepted := make(chan *Conn, 1)
	ctx, conn := connectPair(t, func(_ context.Context, s *ServerStream) error {
		accepted <- s.Conn
		return nil
	})
	call := func() *Conn {
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		defer s.Close()
		_, err = s.readAll(ctx)
		require.NoError(t, err)
		return <-accepted
	}
	acceptedConn := call()
	acceptedConn.lastUsed.Store(0)
	assert.Same(t, acceptedConn, call())
	assert.NotZero(t, acceptedConn.lastUsed.Load(), "a stream that the peer opens counts as use")
}

func TestConnectionLeaksGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithCancel(context.Background())
	serverPool := &Pool{Self: testInstance(rillreach.RoleAgent), Mux: &Mux{Log: logr.Discard()}, Log: logr.Discard()}
	serverPool.Start(ctx)
	server := httptest.NewServer(serverPool)
	clientPool := &Pool{Self: testInstance(rillreach.RoleEntry), Mux: &Mux{Log: logr.Discard()}, Log: logr.Discard()}
	clientPool.Start(ctx)
	conn, err := clientPool.Get(ctx, netip.MustParseAddrPort(server.Listener.Addr().String()))
	require.NoError(t, err)
	cancel()
	<-conn.Done()
	clientPool.client.CloseIdleConnections()
	server.Close()
}

func encodeFrames(t require.TestingT, list ...Frame) []byte {
	var message bytes.Buffer
	for i := range list {
		require.NoError(t, appendFrame(&message, &list[i]))
	}
	return message.Bytes()
}

func FuzzSplitFrames(f *testing.F) {
	f.Add(encodeFrames(f, Frame{Type: TypeOpen, Method: MethodDispatch, Stream: 1, Body: []byte("x")}, Frame{Type: TypeEnd, Stream: 1}))
	f.Add([]byte{0x85})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, message []byte) {
		_ = splitFrames(message, func(f Frame) { assert.NoError(t, f.Check()) })
	})
}

func FuzzDecodeHello(f *testing.F) {
	hello, err := encodeHello(testInstance(rillreach.RoleEntry))
	require.NoError(f, err)
	f.Add(hello)
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if got, err := decodeHello(text); err == nil {
			assert.NoError(t, got.Check())
		}
	})
}
