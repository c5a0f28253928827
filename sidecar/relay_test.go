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

// rosterInTwoZones returns a roster of runners that alternate between zones z0 and z1.
func rosterInTwoZones(runners int) *roster.Roster {
	var r roster.Roster
	for i := range runners {
		r.Put(deployment.Runner{
			ID: rillreach.InstanceID(fmt.Sprint("r", i)), Service: "s", Zone: rillreach.ZoneID(fmt.Sprint("z", i%2)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return &r
}

// rosterOfSix returns a roster of six runners in two zones, of which those with the given numbers are leaving.
func rosterOfSix(leaving ...int) *roster.Roster {
	r := rosterInTwoZones(6)
	for _, i := range leaving {
		info := r.Find(rillreach.InstanceID(fmt.Sprint("r", i))).Info()
		info.Leaving = true
		r.Put(info)
	}
	return r
}

func TestRelays(t *testing.T) {
	relays := relaysOf(rosterOfSix().ByService("s"), "z0")
	t.Run("the relays of a zone are among its own runners", func(t *testing.T) {
		require.Len(t, relays, relaysPerZone)
		assert.Subset(t, []rillreach.InstanceID{"r0", "r2", "r4"}, relays)
	})
	t.Run("another runner replaces a relay that is leaving", func(t *testing.T) {
		var i int
		_, err := fmt.Sscanf(string(relays[0]), "r%d", &i)
		require.NoError(t, err)
		remaining := relaysOf(rosterOfSix(i).ByService("s"), "z0")
		assert.Len(t, remaining, relaysPerZone)
		assert.NotContains(t, remaining, relays[0])
		assert.Contains(t, remaining, relays[1])
	})
	t.Run("a zone without runners has no relays", func(t *testing.T) {
		assert.Empty(t, relaysOf(rosterOfSix().ByService("s"), "z9"))
	})
	t.Run("there are relays only if the service has enough runners", func(t *testing.T) {
		for _, c := range []struct{ runners, relays int }{{minRunnersForRelays - 1, 0}, {minRunnersForRelays, 2 * relaysPerZone}} {
			all := rosterInTwoZones(c.runners)
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
