package forward

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRefuses(t *testing.T) {
	t.Run("an address where nobody listens does", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := netip.MustParseAddrPort(l.Addr().String())
		require.NoError(t, l.Close())
		p := &Pool{}
		assert.True(t, p.RefusesConnections(context.Background(), address))
		assert.Empty(t, p.open)
	})
	t.Run("one that listens does not, and the connection serves the next request", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, id string) { say(c, whole(id, "yes")) })
		p := &Pool{}
		assert.False(t, p.RefusesConnections(context.Background(), s.address))
		got, err := ask(context.Background(), p, s.address, "1", "")
		require.NoError(t, err)
		assert.Equal(t, "yes", got)
		conns, _ := s.counts()
		assert.Equal(t, 1, conns)
	})
}

func TestClosedByRunner(t *testing.T) {
	t.Run("a connection that is closed without an answer is", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, _ string) { _ = c.Close() })
		_, err := ask(context.Background(), &Pool{}, s.address, "1", "")
		assert.True(t, ClosedByRunner(err), "%v", err)
	})
	t.Run("one that is closed inside an answer is", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, id string) {
			text := whole(id, "yes")
			say(c, text[:len(text)-1])
			_ = c.Close()
		})
		_, err := ask(context.Background(), &Pool{}, s.address, "1", "")
		assert.True(t, ClosedByRunner(err), "%v", err)
	})
	t.Run("one that this side closes is not", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := serve(t, func(int, net.Conn, string) { cancel() })
		_, err := ask(ctx, &Pool{}, s.address, "1", "")
		require.Error(t, err)
		assert.False(t, ClosedByRunner(err), "%v", err)
	})
}
