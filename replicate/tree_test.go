package replicate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

func nodes(count, zones, entries int) []Node {
	list := make([]Node, count)
	for i := range list {
		list[i] = Node{
			ID:     rillreach.InstanceID(fmt.Sprintf("n%04d", i)),
			Zone:   rillreach.ZoneID(fmt.Sprintf("z%d", i%zones)),
			Entry:  i < entries,
			Usable: true,
		}
	}
	return list
}

// deliveries follows the plans from the root down and returns how often each process receives a change.
func deliveries(list []Node, root rillreach.InstanceID) map[rillreach.InstanceID]int {
	times := map[rillreach.InstanceID]int{}
	next := []rillreach.InstanceID{root}
	for len(next) > 0 {
		id := next[0]
		next = next[1:]
		times[id]++
		if times[id] == 1 {
			next = append(next, MakePlan(id, list, 1).Children...)
		}
	}
	return times
}

func watchersOf(list []Node, zone rillreach.ZoneID) []rillreach.InstanceID {
	var watchers []rillreach.InstanceID
	for _, n := range list {
		if n.Zone == zone && MakePlan(n.ID, list, 1).IsWatcher {
			watchers = append(watchers, n.ID)
		}
	}
	return watchers
}

func TestPlan(t *testing.T) {
	t.Run("a zone has WatchersPerZone watchers, all of them entries", func(t *testing.T) {
		list := nodes(60, 3, 9)
		for _, zone := range []rillreach.ZoneID{"z0", "z1", "z2"} {
			watchers := watchersOf(list, zone)
			assert.Len(t, watchers, WatchersPerZone)
			for _, w := range watchers {
				assert.True(t, list[indexOf(list, w)].Entry)
			}
		}
	})
	t.Run("agents watch a zone without entries", func(t *testing.T) {
		assert.Len(t, watchersOf(nodes(9, 3, 0), "z2"), WatchersPerZone)
	})
	t.Run("a process that is not listed watches the platform", func(t *testing.T) {
		assert.True(t, MakePlan("alone", nodes(4, 1, 1), 1).IsWatcher)
	})
	t.Run("a process has at most Fanout children per tree", func(t *testing.T) {
		list := nodes(300, 1, 50)
		for _, n := range list {
			assert.LessOrEqual(t, len(MakePlan(n.ID, list, 1).Children), Fanout*WatchersPerZone)
		}
	})
	t.Run("another round selects other partners", func(t *testing.T) {
		list := nodes(300, 3, 50)
		assert.NotEqual(t, MakePlan("n0007", list, 1).Partners, MakePlan("n0007", list, 2).Partners)
	})
}

// TestChangeReachesEveryUsableProcess checks that a change gets from each watcher to every usable process of the zone.
func TestChangeReachesEveryUsableProcess(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := nodes(rapid.IntRange(1, 120).Draw(rt, "count"), rapid.IntRange(1, 4).Draw(rt, "zones"), rapid.IntRange(0, 20).Draw(rt, "entries"))
		for i := range list {
			list[i].Usable = rapid.IntRange(0, 9).Draw(rt, "usable") > 0
		}
		list[0].Usable = true
		watchers := watchersOf(list, "z0")
		require.NotEmpty(rt, watchers)
		for _, w := range watchers {
			times := deliveries(list, w)
			for _, n := range list {
				if n.Zone == "z0" && n.Usable {
					require.Positive(rt, times[n.ID], "%s is not reached from %s", n.ID, w)
				}
			}
		}
	})
}

func BenchmarkMakePlan(b *testing.B) {
	for _, count := range []int{100, 1000, 5030} {
		list := nodes(count, 17, count/6)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				MakePlan("n0007", list, 1)
			}
		})
	}
}
