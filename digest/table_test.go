package digest

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/cacheindex"
	"github.com/rillreach/rillreach/entrycount"
	"github.com/rillreach/rillreach/peer"
)

var (
	start    = time.Unix(1000, 0)
	storeOne = netip.MustParseAddrPort("10.0.0.1:1")
)

func loadBulletin(runner string, running int) *bulletin.Bulletin {
	return &bulletin.Bulletin{Runner: rillreach.InstanceID(runner), Clock: 1, Load: bulletin.Load{Running: running}}
}

// runnersIn returns the runners in a digest.
func runnersIn(d Digest) []string {
	var names []string
	for _, r := range d.Reports {
		names = append(names, string(r.Runner))
	}
	return names
}

func TestTable(t *testing.T) {
	t.Run("a new report is passed on at the next tick", func(t *testing.T) {
		table := &Table{Zone: "z"}
		table.ApplyBulletin(loadBulletin("a", 1), start)
		assert.Empty(t, table.Since(0, false).Reports)
		table.Tick(start)
		assert.Equal(t, []string{"a"}, runnersIn(table.Since(0, false)))
	})
	t.Run("a state that forbids requests is passed on at once, a load with the next loads", func(t *testing.T) {
		table := &Table{Zone: "z"}
		table.ApplyBulletin(loadBulletin("a", 1), start)
		known := table.Tick(start)
		table.ApplyBulletin(loadBulletin("a", 2), start)
		loading := loadBulletin("b", 0)
		loading.Load.LoadingWeights = true
		table.ApplyBulletin(loading, start)
		ticks := 0
		for len(runnersIn(table.Since(known, false))) < 2 {
			table.Tick(start)
			ticks++
			assert.Contains(t, runnersIn(table.Since(known, false)), "b")
		}
		assert.LessOrEqual(t, ticks, ownZoneLoadTicks)
	})
	t.Run("an agent that falls silent is reported as lost once", func(t *testing.T) {
		table := &Table{Zone: "z"}
		table.ApplyBulletin(loadBulletin("a", 1), start)
		known := table.Tick(start)
		next := table.Tick(start.Add(AgentTimeout + 1))
		d := table.Since(known, false)
		require.Len(t, d.Reports, 1)
		assert.True(t, d.Reports[0].Lost)
		table.Tick(start.Add(AgentTimeout + 2))
		assert.Empty(t, table.Since(next, false).Reports)
	})
	t.Run("a report of an earlier run does not replace a later one", func(t *testing.T) {
		table := &Table{Zone: "z"}
		later, earlier := loadBulletin("a", 1), loadBulletin("a", 7)
		later.Generation, earlier.Generation = 2, 1
		table.ApplyBulletin(later, start)
		table.ApplyBulletin(earlier, start)
		table.Tick(start)
		assert.Equal(t, 1, table.Since(0, false).Reports[0].Load.Running)
	})
	t.Run("a relay speaks for its own zone only", func(t *testing.T) {
		table := &Table{Zone: "z"}
		forged := &Digest{
			Reports: []Report{{Runner: "a", Zone: "z"}, {Runner: "b", Zone: "y"}, {Runner: "c", Zone: "x"}},
			Stores:  []StoreReport{{Agent: "a", Zone: "z", Update: bulletin.CacheUpdate{Address: storeOne, Store: true, Snapshot: true}}},
			Entries: []ZoneEntries{{Zone: "z", Count: 9}, {Zone: "y", Count: 2}},
		}
		assert.Equal(t, 3, table.ApplyDigest("y", forged, start))
		table.Tick(start)
		d := table.Since(0, false)
		assert.Equal(t, []string{"b"}, runnersIn(d))
		assert.Empty(t, d.Stores)
		assert.Equal(t, []ZoneEntries{{Zone: "y", Count: 2}}, d.Entries)
	})
	t.Run("a relay of another zone gets the own zone only", func(t *testing.T) {
		table := &Table{Zone: "z"}
		table.ApplyBulletin(loadBulletin("a", 1), start)
		table.ApplyDigest("y", &Digest{Reports: []Report{{Runner: "b", Zone: "y"}}}, start)
		table.Tick(start)
		assert.Equal(t, []string{"a"}, runnersIn(table.Since(0, true)))
		assert.Equal(t, []string{"a", "b"}, runnersIn(table.Since(0, false)))
	})
	t.Run("the runners of another zone are lost with its relay", func(t *testing.T) {
		table := &Table{Zone: "z"}
		table.ApplyDigest("y", &Digest{Reports: []Report{{Runner: "b", Zone: "y"}}}, start)
		known := table.Tick(start)
		table.ApplyDigest("y", &Digest{}, start.Add(AgentTimeout))
		table.Tick(start.Add(AgentTimeout + 1))
		assert.Empty(t, table.Since(known, false).Reports, "the relay still reports")
		table.Tick(start.Add(3 * AgentTimeout))
		assert.Len(t, table.Since(known, false).Reports, 1)
	})
	t.Run("entries that move to another relay are counted in full", func(t *testing.T) {
		table := &Table{Zone: "z"}
		count := func(n int, after time.Duration) int {
			table.CountEntries(n, start.Add(after))
			return table.Since(0, false).Entries[0].Count
		}
		assert.Equal(t, 70, count(70, 0))
		assert.Equal(t, 70, count(3, time.Second))
		assert.Equal(t, 3, count(3, 2*entrycount.TTL))
	})
}

// TestStoreContentsDiverge guards against a subscriber whose knowledge of a store differs from the agent's, for any
// changes, snapshots, takeovers and times at which it reads.
func TestStoreContentsDiverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, held := &Table{Zone: "z"}, map[cacheindex.Key]int{}
		var index cacheindex.Index
		agent, known := "a", uint64(0)
		report := func(snapshot bool, changes ...cacheindex.Change) {
			b := loadBulletin(agent, 0)
			b.CacheUpdates = []bulletin.CacheUpdate{{Address: storeOne, Store: true, Snapshot: snapshot, Changes: changes}}
			table.ApplyBulletin(b, start)
		}
		read := func() {
			tick := table.tick
			body, err := peer.Encode(table.Since(known, false))
			require.NoError(t, err)
			d, err := peer.Decode[Digest](body)
			require.NoError(t, err)
			for _, s := range d.Stores {
				if s.Update.Snapshot {
					index.Replace(storeOne, s.Update.Changes)
				} else {
					index.Apply(storeOne, s.Update.Changes)
				}
			}
			known = tick
		}
		report(true)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				agent = fmt.Sprint("agent-", rapid.IntRange(0, 2).Draw(t, "agent"))
				var all []cacheindex.Change
				for key, tokens := range held {
					all = append(all, cacheindex.Change{Key: key, Tokens: tokens})
				}
				report(true, all...)
			case 1, 2:
				read()
			case 3, 4, 5:
				table.Tick(start)
			default:
				key := cacheindex.Key{Salt: "1/m", Part: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "part"))}
				tokens := rapid.IntRange(0, 2).Draw(t, "tokens")
				if tokens == 0 {
					delete(held, key)
				} else {
					held[key] = tokens
				}
				report(false, cacheindex.Change{Key: key, Tokens: tokens})
			}
		}
		table.Tick(start)
		table.Tick(start)
		read()
		got := map[cacheindex.Key]int{}
		for part := range 5 {
			key := cacheindex.Key{Salt: "1/m", Part: fmt.Sprint(part)}
			if tokens := index.Holders(key)[storeOne]; tokens > 0 {
				got[key] = tokens
			}
		}
		assert.True(t, maps.Equal(held, got), "%v held, %v known", held, got)
	})
}

// TestDigestGrowsWithRunners guards against digests that repeat what has not changed, so that they grow with the
// deployment.
func TestDigestGrowsWithRunners(t *testing.T) {
	size := func(runners int) int {
		table := &Table{Zone: "z"}
		for i := range runners {
			table.ApplyBulletin(loadBulletin(fmt.Sprint("i-", i), 1), start)
		}
		known := table.Tick(start)
		for i := range 10 { // the same work, however many runners there are
			table.ApplyBulletin(loadBulletin(fmt.Sprint("i-", i), 2), start)
		}
		for range otherZoneLoadTicks {
			table.Tick(start)
		}
		body, err := peer.Encode(table.Since(known, false))
		require.NoError(t, err)
		return len(body)
	}
	few, some, many := size(10), size(30), size(100)
	assert.Equal(t, few, some)
	assert.Equal(t, few, many)
}

func FuzzDecodeDigest(f *testing.F) {
	body, err := peer.Encode(Digest{Reports: []Report{{Runner: "a", Zone: "y"}}, Entries: []ZoneEntries{{Zone: "y", Count: 1}}})
	require.NoError(f, err)
	f.Add(body)
	f.Fuzz(func(_ *testing.T, data []byte) {
		d, err := peer.Decode[Digest](data)
		if err != nil {
			return
		}
		table := &Table{Zone: "z"}
		table.ApplyDigest("y", &d, start)
		table.Tick(start)
		table.Since(0, false)
	})
}
