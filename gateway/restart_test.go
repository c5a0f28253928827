package gateway

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	earlier = 1_790_000_000_000
	later   = earlier + 5000
)

var (
	enginePlace = netip.MustParseAddrPort("10.0.0.1:80")
	storePlace  = netip.MustParseAddrPort("10.0.0.9:80")
	partKey     = holdings.Key{Salt: "1/m", Part: "p"}
)

// told is a bulletin of a run of the runner "r", with a load and a part that it holds.
func told(generation rillreach.Generation, waiting, tokens int, whole bool) *bulletin.Bulletin {
	return &bulletin.Bulletin{
		Runner: "r", Generation: generation, Clock: later + 100, Load: bulletin.Load{Waiting: waiting},
		CacheUpdates: []bulletin.CacheUpdate{{Address: enginePlace, Snapshot: whole, Changes: []holdings.Change{{Key: partKey, Tokens: tokens}}}},
	}
}

// hearing is an entry that has heard of an earlier run of the runner "r", and left it alone since.
func hearing(t *testing.T) *Gateway {
	t.Helper()
	g, _ := beforeEngines(0)
	g.state.RunnerRestarted = g.runnerRestarted
	g.state.Roster.Put(deployment.Runner{ID: "r", Service: "s", Address: enginePlace, Generation: earlier})
	g.applyBulletin(told(earlier, 7, 800, true), time.Now())
	g.state.Roster.Find("r").Eject(time.Now())
	require.Equal(t, map[netip.AddrPort]int{enginePlace: 800}, g.cache.index.Holders(partKey))
	return g
}

// assertForgotten asserts that nothing of the earlier run is believed.
func assertForgotten(t *testing.T, g *Gateway) {
	t.Helper()
	v := g.state.Roster.Find("r").View(time.Now())
	assert.Equal(t, rillreach.Generation(later), v.Generation)
	assert.Zero(t, v.Load.Waiting)
	assert.False(t, v.Ejected)
	assert.Empty(t, g.cache.index.Holders(partKey))
	assert.Zero(t, g.cache.index.TotalTokens(enginePlace))
}

func TestRunnerStartsAgain(t *testing.T) {
	record := deployment.Runner{ID: "r", Service: "s", Address: enginePlace, Generation: later}
	empty := &bulletin.Bulletin{Runner: "r", Generation: later, Clock: later + 100}
	t.Run("the word of its agent is enough", func(t *testing.T) {
		g := hearing(t)
		over := g.state.Roster.Find("r").Ended()
		g.applyBulletin(empty, time.Now())
		assertForgotten(t, g)
		<-over
	})
	t.Run("a new start that is heard of twice does nothing the second time", func(t *testing.T) {
		g := hearing(t)
		g.applyBulletin(told(later, 3, 500, true), time.Now())
		one := g.state.Roster.Find("r")
		g.applyBulletin(&bulletin.Bulletin{Runner: "r", Generation: later, Load: bulletin.Load{Waiting: 3}}, time.Now())
		assert.Same(t, one, g.state.Roster.Find("r"))
		assert.Equal(t, map[netip.AddrPort]int{enginePlace: 500}, g.cache.index.Holders(partKey))
	})
	t.Run("what its agent still says of the earlier run is late", func(t *testing.T) {
		for name, whole := range map[string]bool{"everything": true, "a change": false} {
			t.Run(name, func(t *testing.T) {
				g := hearing(t)
				g.applyBulletin(empty, time.Now())
				g.applyBulletin(told(earlier, 9, 900, whole), time.Now())
				assertForgotten(t, g)
			})
		}
	})
	t.Run("what it says of a store counts all the same", func(t *testing.T) {
		g := hearing(t)
		g.applyBulletin(empty, time.Now())
		late := told(earlier, 9, 900, true)
		late.CacheUpdates[0].Address, late.CacheUpdates[0].Store = storePlace, true
		g.applyBulletin(late, time.Now())
		assert.Equal(t, map[netip.AddrPort]int{storePlace: 900}, g.cache.index.Holders(partKey))
	})
	t.Run("the list may come after the agent's word, and leaves what the later run holds", func(t *testing.T) {
		g := hearing(t)
		g.applyBulletin(told(later, 3, 500, true), time.Now())
		g.state.Roster.Put(record)
		g.runnerRestarted(record) // as though the list had been the first to tell, and were only now done with
		assert.Equal(t, map[netip.AddrPort]int{enginePlace: 500}, g.cache.index.Holders(partKey))
	})
	t.Run("an unknown start is no new one", func(t *testing.T) {
		g := hearing(t)
		g.applyBulletin(&bulletin.Bulletin{Runner: "r", Load: bulletin.Load{Waiting: 4}}, time.Now())
		v := g.state.Roster.Find("r").View(time.Now())
		assert.Equal(t, 4, v.Load.Waiting)
		assert.True(t, v.Ejected)
		assert.Equal(t, 800, g.cache.index.TotalTokens(enginePlace))
	})
}

func TestRestartDelay(t *testing.T) {
	now := time.Now()
	delayAt := func(clock int64) (time.Duration, bool) {
		var g Gateway
		g.cache.clock.observe(clock, now)
		return g.restartDelay(later, now)
	}
	t.Run("it is told by the runners' clock", func(t *testing.T) {
		delay, known := delayAt(later + 250)
		assert.True(t, known)
		assert.Equal(t, 250*time.Millisecond, delay)
	})
	for name, clock := range map[string]int64{"before that clock is known": 0, "where the start lies ahead": later - 1, "where it lies far back": later + 3_600_000} {
		t.Run("it is not told "+name, func(t *testing.T) {
			_, known := delayAt(clock)
			assert.False(t, known)
		})
	}
}

// TestStoreTellsOfNewStart has an entry at work hear of an engine's new start from the store alone.
func TestStoreTellsOfNewStart(t *testing.T) {
	e := &site.Engine{Model: site.Model, Version: 1, Born: earlier}
	e.ID = "e1"
	w := startWithEngines(t)
	e.Start()
	t.Cleanup(e.Stop)
	w.store.Put("servers", e.ID, e.Record("ready"))
	w.eventually(t, func() bool { return w.gateway.state.Roster.Find("e1") != nil })
	g := w.gateway
	first := g.state.Roster.Find("e1")
	g.cache.applyRunnerUpdate(first.Info().Run(), &bulletin.CacheUpdate{Address: e.Address(), Snapshot: true, Changes: []holdings.Change{{Key: partKey, Tokens: 800}}})
	require.Equal(t, 800, g.cache.index.TotalTokens(e.Address()))
	e.Restart(later)
	w.store.Put("servers", e.ID, e.Record("ready"))
	w.eventually(t, func() bool { return g.cache.index.TotalTokens(e.Address()) == 0 })
	assert.NotSame(t, first, g.state.Roster.Find("e1"))
	<-first.Ended()
}

// TestStreamOfRunThatIsOver: a runner starts again behind a cut, so that its callers' connections are not reset, and nothing comes on them.
func TestStreamOfRunThatIsOver(t *testing.T) {
	hangs := func(w http.ResponseWriter, r *http.Request) {
		site.Events(w, r, 4, 0)
		<-r.Context().Done()
	}
	a, b := &site.Runner{ID: "a", Handle: hangs}, &site.Runner{ID: "b", Handle: cutAfterEvents(0)}
	patient := routeConfig("stream", "streaming", "plain", jsonMap{"resumable": true, "gap_aim_ms": 60000})
	w := startWorld(t, configWithRoutes(1, patient), a)
	defer w.stop()
	startedAt := func(start int) jsonMap {
		entry := runnerRecord(a, "ready")
		entry["born"] = start
		return entry
	}
	w.store.Put("servers", "a", startedAt(earlier))
	w.eventually(t, func() bool { return w.gateway.state.Roster.Find("a").Info().Generation == earlier })
	conn := w.dial(t)
	w.sendGet(t, conn, "/stream/x")
	w.eventually(t, func() bool { return len(a.Runs()) == 1 })
	b.Start()
	t.Cleanup(b.Stop)
	w.store.Put("servers", "b", runnerRecord(b, "ready"))
	w.eventually(t, func() bool { return w.gateway.state.Roster.Find("b") != nil })
	w.store.Put("servers", "a", startedAt(later))
	got := readAnswer(t, conn, "GET")
	require.NoError(t, got.err)
	assert.Equal(t, eventsUpTo(9), got.body)
	assert.Len(t, b.Runs(), 1)
}
