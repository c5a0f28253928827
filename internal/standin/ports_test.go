package standin

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against ports that another process takes between their choice and the start of the process that they are for.
func TestPorts(t *testing.T) {
	host := netip.MustParseAddr("127.0.0.1")
	free := func(t *testing.T, p *Ports) netip.AddrPort {
		t.Helper()
		address, err := p.Free(host)
		require.NoError(t, err)
		return address
	}
	t.Run("a port is given out once", func(t *testing.T) {
		p := &Ports{}
		first := free(t, p)
		assert.NotEqual(t, first, free(t, p))
	})
	t.Run("a port in use is left out", func(t *testing.T) {
		used := free(t, &Ports{})
		l, err := net.Listen("tcp", used.String())
		require.NoError(t, err)
		defer func() { assert.NoError(t, l.Close()) }()
		assert.NotEqual(t, used, free(t, &Ports{}))
	})
	t.Run("no port is given to listeners that choose none", func(t *testing.T) {
		for range 200 {
			l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
			require.NoError(t, err)
			defer func() { assert.NoError(t, l.Close()) }()
			address, err := netip.ParseAddrPort(l.Addr().String())
			require.NoError(t, err)
			assert.GreaterOrEqual(t, address.Port(), uint16(FirstPort+PortCount))
		}
	})
}
