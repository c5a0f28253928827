package sidecar

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

// zoneOf lists six runners in two zones, some of which leave.
func zoneOf(leaving ...int) *roster.Roster {
	var r roster.Roster
	for i := range 6 {
		r.Put(deployment.Runner{
			ID: rillreach.InstanceID(fmt.Sprint("r", i)), Service: "s", Zone: rillreach.ZoneID(fmt.Sprint("z", i%2)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	for _, i := range leaving {
		info := r.Find(rillreach.InstanceID(fmt.Sprint("r", i))).Info()
		info.Leaving = true
		r.Put(info)
	}
	return &r
}

func TestRelays(t *testing.T) {
	all := relaysOf(zoneOf().Group("s"), "z0")
	t.Run("a zone has a few, all its own", func(t *testing.T) {
		require.Len(t, all, relaysPerZone)
		assert.Subset(t, []rillreach.InstanceID{"r0", "r2", "r4"}, all)
	})
	t.Run("one that leaves is none, and another takes its place", func(t *testing.T) {
		var i int
		_, err := fmt.Sscanf(string(all[0]), "r%d", &i)
		require.NoError(t, err)
		rest := relaysOf(zoneOf(i).Group("s"), "z0")
		assert.Len(t, rest, relaysPerZone)
		assert.NotContains(t, rest, all[0])
		assert.Contains(t, rest, all[1])
	})
	t.Run("a zone without runners has none", func(t *testing.T) {
		assert.Empty(t, relaysOf(zoneOf().Group("s"), "z9"))
	})
	t.Run("an agent is one only before many entries", func(t *testing.T) {
		self := zoneOf().Find(all[0]).Info()
		for _, c := range []struct {
			followers int64
			relay     bool
		}{{leastFollowers - 1, false}, {leastFollowers, true}} {
			s := &Sidecar{Settings: &deployment.Settings{Runner: self.Address}}
			p := &publisher{sidecar: s}
			for _, r := range zoneOf().All() {
				s.state.Roster.Put(r.Info())
			}
			p.followers.Store(c.followers)
			assert.Equal(t, c.relay, p.isRelay())
		}
	})
}
