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

const patience = 10 * time.Second

func instance(role rillreach.Role) rillreach.Instance {
	return rillreach.Instance{
		ID: "one", Role: role, Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Side: rillreach.SideOld,
	}
}

// pair connects two processes, the second of which answers one method.
func pair(t *testing.T, handler Handler) (context.Context, *Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	far := &Pool{Self: instance(rillreach.RoleAgent), Mux: &Mux{Log: logr.Discard()}, Log: logr.Discard()}
	far.Mux.Handle(MethodDispatch, handler)
	far.Start(ctx)
	server := httptest.NewServer(far)
	t.Cleanup(server.Close)
	near := &Pool{Self: instance(rillreach.RoleEntry), Mux: &Mux{Log: logr.Discard()}, Log: logr.Discard()}
	near.Start(ctx)
	conn, err := near.Get(ctx, netip.MustParseAddrPort(server.Listener.Addr().String()))
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	return ctx, conn
}

func TestStreams(t *testing.T) {
	t.Run("an answer far larger than the window arrives whole", func(t *testing.T) {
		want := bytes.Repeat([]byte("part of an answer "), 100_000)
		ctx, conn := pair(t, func(ctx context.Context, call *ServerStream) error { return call.Send(ctx, want) })
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		defer s.Close()
		got, err := s.readWhole(ctx)
		require.NoError(t, err)
		assert.True(t, bytes.Equal(want, got))
	})
	t.Run("a stream that nobody reads stops its sender and no other stream", func(t *testing.T) {
		blocked := make(chan struct{})
		ctx, conn := pair(t, func(ctx context.Context, call *ServerStream) error {
			if string(call.Body) == "fast" {
				return call.Send(ctx, []byte("answer"))
			}
			err := call.Send(ctx, make([]byte, 10*streamWindow))
			close(blocked)
			return err
		})
		slow, err := conn.Open(ctx, MethodDispatch, []byte("slow"))
		require.NoError(t, err)
		fast, err := conn.Open(ctx, MethodDispatch, []byte("fast"))
		require.NoError(t, err)
		got, err := fast.readWhole(ctx)
		require.NoError(t, err)
		assert.Equal(t, "answer", string(got))
		select {
		case <-blocked:
			assert.Fail(t, "sender passed the window")
		default:
		}
		slow.Close()
		<-blocked
	})
	t.Run("a refusal arrives as it was given", func(t *testing.T) {
		refusal := rillreach.NotRun(rillreach.ReasonOverload, "full").WithRetryAfter(3 * time.Second)
		ctx, conn := pair(t, func(context.Context, *ServerStream) error { return refusal })
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		_, err = s.Next(ctx)
		var got *rillreach.Refusal
		require.ErrorAs(t, err, &got)
		assert.Equal(t, refusal, got)
	})
	t.Run("a stream that is closed cancels its handler", func(t *testing.T) {
		cancelled := make(chan error, 1)
		ctx, conn := pair(t, func(ctx context.Context, _ *ServerStream) error {
			<-ctx.Done()
			cancelled <- context.Cause(ctx)
			return nil
		})
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		s.Close()
		assert.ErrorIs(t, <-cancelled, ErrCancelled)
	})
	t.Run("a connection that ends ends its streams with an error that is not an end", func(t *testing.T) {
		ctx, conn := pair(t, func(ctx context.Context, _ *ServerStream) error { <-ctx.Done(); return nil })
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		conn.Close()
		_, err = s.Next(ctx)
		require.Error(t, err)
		assert.NotErrorIs(t, err, io.EOF)
	})
	t.Run("a connection that has ended takes nothing more, so that what was to be sent is certain not to have run", func(t *testing.T) {
		ctx, conn := pair(t, nil)
		conn.Close()
		for range 100 {
			_, err := conn.Open(ctx, MethodDispatch, nil)
			require.ErrorIs(t, err, ErrClosed)
		}
	})
	t.Run("a method that is not offered is refused as not run", func(t *testing.T) {
		ctx, conn := pair(t, nil)
		s, err := conn.Open(ctx, MethodLease, nil)
		require.NoError(t, err)
		_, err = s.Next(ctx)
		var got *rillreach.Refusal
		require.ErrorAs(t, err, &got)
		assert.Equal(t, rillreach.OutcomeNotRun, got.Outcome)
	})
}

// TestSweepKeepsWhatIsInUse has a connection that is old at the side that accepted it, and on which a stream has just ended:
// were it closed then, the next request on its way would be cut.
func TestSweepKeepsWhatIsInUse(t *testing.T) {
	accepted := make(chan *Conn, 1)
	ctx, conn := pair(t, func(_ context.Context, call *ServerStream) error {
		accepted <- call.Conn
		return nil
	})
	ask := func() *Conn {
		s, err := conn.Open(ctx, MethodDispatch, nil)
		require.NoError(t, err)
		defer s.Close()
		_, err = s.readWhole(ctx)
		require.NoError(t, err)
		return <-accepted
	}
	far := ask()
	far.used.Store(0)
	assert.Same(t, far, ask())
	assert.NotZero(t, far.used.Load(), "a stream that a peer opens is use too")
}

func TestConnectionsLeaveNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithCancel(context.Background())
	far := &Pool{Self: instance(rillreach.RoleAgent), Mux: &Mux{Log: logr.Discard()}, Log: logr.Discard()}
	far.Start(ctx)
	server := httptest.NewServer(far)
	near := &Pool{Self: instance(rillreach.RoleEntry), Mux: &Mux{Log: logr.Discard()}, Log: logr.Discard()}
	near.Start(ctx)
	conn, err := near.Get(ctx, netip.MustParseAddrPort(server.Listener.Addr().String()))
	require.NoError(t, err)
	cancel()
	<-conn.Done()
	near.client.CloseIdleConnections()
	server.Close()
}

func frames(t require.TestingT, list ...Frame) []byte {
	var message bytes.Buffer
	for i := range list {
		require.NoError(t, appendFrame(&message, &list[i]))
	}
	return message.Bytes()
}

func FuzzSplitFrames(f *testing.F) {
	f.Add(frames(f, Frame{Type: TypeOpen, Method: MethodDispatch, Stream: 1, Body: []byte("x")}, Frame{Type: TypeEnd, Stream: 1}))
	f.Add([]byte{0x85})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, message []byte) {
		_ = splitFrames(message, func(f Frame) { assert.NoError(t, f.Check()) })
	})
}

func FuzzDecodeHello(f *testing.F) {
	hello, err := encodeHello(instance(rillreach.RoleEntry))
	require.NoError(f, err)
	f.Add(hello)
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if got, err := decodeHello(text); err == nil {
			assert.NoError(t, got.Check())
		}
	})
}
