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

// zonesOf lists so many runners in two zones.
func zonesOf(runners int) *roster.Roster {
	var r roster.Roster
	for i := range runners {
		r.Put(deployment.Runner{
			ID: rillreach.InstanceID(fmt.Sprint("r", i)), Service: "s", Zone: rillreach.ZoneID(fmt.Sprint("z", i%2)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return &r
}

// sixRunners lists six, some of which leave.
func sixRunners(leaving ...int) *roster.Roster {
	r := zonesOf(6)
	for _, i := range leaving {
		info := r.Find(rillreach.InstanceID(fmt.Sprint("r", i))).Info()
		info.Leaving = true
		r.Put(info)
	}
	return r
}

func TestRelays(t *testing.T) {
	all := relaysOf(sixRunners().ByService("s"), "z0")
	t.Run("a zone has a few, all its own", func(t *testing.T) {
		require.Len(t, all, relaysPerZone)
		assert.Subset(t, []rillreach.InstanceID{"r0", "r2", "r4"}, all)
	})
	t.Run("one that leaves is none, and another takes its place", func(t *testing.T) {
		var i int
		_, err := fmt.Sscanf(string(all[0]), "r%d", &i)
		require.NoError(t, err)
		rest := relaysOf(sixRunners(i).ByService("s"), "z0")
		assert.Len(t, rest, relaysPerZone)
		assert.NotContains(t, rest, all[0])
		assert.Contains(t, rest, all[1])
	})
	t.Run("a zone without runners has none", func(t *testing.T) {
		assert.Empty(t, relaysOf(sixRunners().ByService("s"), "z9"))
	})
	t.Run("an agent is one only where there are many", func(t *testing.T) {
		for _, c := range []struct{ runners, relays int }{{relaysFrom - 1, 0}, {relaysFrom, 2 * relaysPerZone}} {
			all := zonesOf(c.runners)
			relays := 0
			for _, r := range all.All() {
				s := &Sidecar{Settings: &deployment.Settings{RunnerAddress: r.Info().Address}}
				for _, other := range all.All() {
					s.state.Roster.Put(other.Info())
				}
				if (&publisher{sidecar: s}).isRelay() {
					relays++
				}
			}
			assert.Equal(t, c.relays, relays, "%d runners", c.runners)
		}
	})
}
