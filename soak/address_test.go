package main

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against clusters that run at the same time and share addresses or request IDs, so that an entry of one reaches
// the runners of the other.
func TestClustersShareAddresses(t *testing.T) {
	const clusters = 20
	seconds, tags := map[byte]bool{}, map[string]bool{}
	for range clusters {
		n, err := claimNetwork()
		require.NoError(t, err)
		defer func() { assert.NoError(t, n.release()) }()
		seconds[n.second], tags[n.tag] = true, true
	}
	assert.Len(t, seconds, clusters)
	assert.Len(t, tags, clusters)
}

func TestNetwork(t *testing.T) {
	n, err := claimNetwork()
	require.NoError(t, err)
	t.Run("a port is given out once", func(t *testing.T) {
		first, err := n.ports.Free(n.host())
		require.NoError(t, err)
		second, err := n.ports.Free(n.host())
		require.NoError(t, err)
		assert.NotEqual(t, first, second)
	})
	t.Run("the servers behind proxies have addresses of their own", func(t *testing.T) {
		hosts := map[netip.Addr]bool{n.host(): true}
		for i := range 3 {
			for _, proxy := range []netip.Addr{n.engineHost(i), n.runnerHost(i)} {
				hosts[proxy], hosts[serverHost(netip.AddrPortFrom(proxy, 1))] = true, true
			}
		}
		assert.Len(t, hosts, 1+3*4)
	})
	t.Run("a released network can be claimed again", func(t *testing.T) {
		require.NoError(t, n.release())
		for range maxNetwork - minNetwork + 1 {
			again, err := claimNetwork()
			require.NoError(t, err)
			require.NoError(t, again.release())
		}
	})
}
