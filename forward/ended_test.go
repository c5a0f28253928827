package forward

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestProbe(t *testing.T) {
	t.Run("an address without a listener refuses connections", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := netip.MustParseAddrPort(l.Addr().String())
		require.NoError(t, l.Close())
		p := &Pool{}
		assert.Equal(t, Refuses, p.Probe(context.Background(), address))
		assert.Empty(t, p.open)
	})
	t.Run("an address with a listener does not, and the connection serves the next request", func(t *testing.T) {
		s := startServer(t, func(_ int, c net.Conn, id string) { writeText(c, okResponse(id, "yes")) })
		p := &Pool{}
		assert.Equal(t, Accepts, p.Probe(context.Background(), s.address))
		got, err := roundTrip(context.Background(), p, s.address, "1", "")
		require.NoError(t, err)
		assert.Equal(t, "yes", got)
		conns, _ := s.counts()
		assert.Equal(t, 1, conns)
	})
}

func TestClosedByRunner(t *testing.T) {
	t.Run("connection closed without a response", func(t *testing.T) {
		s := startServer(t, func(_ int, c net.Conn, _ string) { _ = c.Close() })
		_, err := roundTrip(context.Background(), &Pool{}, s.address, "1", "")
		assert.True(t, ClosedByRunner(err), "%v", err)
	})
	t.Run("connection closed within a response", func(t *testing.T) {
		s := startServer(t, func(_ int, c net.Conn, id string) {
			text := okResponse(id, "yes")
			writeText(c, text[:len(text)-1])
			_ = c.Close()
		})
		_, err := roundTrip(context.Background(), &Pool{}, s.address, "1", "")
		assert.True(t, ClosedByRunner(err), "%v", err)
	})
	t.Run("connection closed by this side", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := startServer(t, func(int, net.Conn, string) { cancel() })
		_, err := roundTrip(ctx, &Pool{}, s.address, "1", "")
		require.Error(t, err)
		assert.False(t, ClosedByRunner(err), "%v", err)
	})
}
