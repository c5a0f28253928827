package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	earlier = 1_790_000_000_000
	later   = earlier + 5000
)

// beside is an agent beside an engine that may start again.
type beside struct {
	store  *site.Store
	engine *site.Engine
	agent  *Sidecar

	mu     sync.Mutex
	orders []site.Order
}

// beginBeside starts an engine with weights of version 1 and an agent beside it.
func beginBeside(t *testing.T) *beside {
	t.Helper()
	b := &beside{store: site.NewStore()}
	b.engine = &site.Engine{Model: site.Model, Version: 1, LoadTime: time.Hour, Born: earlier}
	b.engine.ID = "r1"
	b.engine.Ordered = func(o site.Order) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.orders = append(b.orders, o)
		return false
	}
	b.engine.Start()
	t.Cleanup(b.engine.Stop)
	b.store.Put("config", "main", map[string]any{"version": 1})
	b.store.Put("servers", "r1", b.engine.Record("ready"))
	b.agent = beginAgent(t, b.store, b.engine.Address())
	return b
}

func (b *beside) given() []site.Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]site.Order(nil), b.orders...)
}

// busy reports whether the agent believes that its runner carries out an order.
func (b *beside) busy() bool {
	load, _, _ := b.agent.publisher.get()
	return load.LoadingWeights
}

// known is the run that the agent believes to be beside it.
func (b *beside) known() rillreach.Generation {
	self := b.agent.state.Roster.Find("r1")
	if self == nil {
		return 0
	}
	return self.Info().Generation
}

func unknownIn(l *startLog, source telemetry.StartSource) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unknown[source]
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, wait, 5*time.Millisecond)
}

func TestRunnerStartsAgainDuringLoad(t *testing.T) {
	b := beginBeside(t)
	b.store.Put("versions", site.Model, site.WeightsOf(2))
	eventually(t, func() bool { return len(b.given()) == 1 && b.busy() })
	b.store.Fail(http.StatusServiceUnavailable) // the store cannot tell of the new start
	b.engine.Restart(later)
	eventually(t, func() bool { return len(b.given()) == 2 })
	given := b.given()
	assert.Zero(t, given[1].Expected, "the orders of the earlier run are forgotten")
	assert.Equal(t, uint64(2), given[1].Version)
	assert.Equal(t, given[0].Fence, given[1].Fence)
	assert.Equal(t, rillreach.Generation(later), b.known())
	eventually(t, b.busy)
	assert.Len(t, b.given(), 2, "one order is enough")
}

// TestOrderOfAnEarlierRun: the order went with the run that had it, and is not waited for.
func TestOrderOfAnEarlierRun(t *testing.T) {
	ordered := func(t *testing.T, runs ...rillreach.Generation) []order {
		t.Helper()
		e := &engine{version: 1}
		runner := httptest.NewServer(e)
		t.Cleanup(runner.Close)
		s := &Sidecar{Settings: &deployment.Settings{RunnerAddress: addressOf(runner.URL)}, Runner: platform.NewRunnerClient(addressOf(runner.URL)), Log: testr.New(t)}
		l := &loader{sidecar: s}
		for i, generation := range runs {
			self := deployment.Runner{ID: "r1", Service: "s", Address: addressOf(runner.URL), Generation: generation}
			l.decide(t.Context(), self, deployment.Load{OrdersTaken: uint64(i)}, deployment.DesiredWeights{Model: "m", Version: 2, Revision: rillreach.Revision{Number: 5}}, 1, time.Hour)
		}
		return e.given()
	}
	t.Run("a later run is ordered at once, by its own count of orders", func(t *testing.T) {
		given := ordered(t, earlier, later)
		if assert.Len(t, given, 2) {
			assert.Equal(t, uint64(1), given[1].Expected)
		}
	})
}

// TestAnswerToAnOrder has a runner answer an order with a later start than is known.
func TestAnswerToAnOrder(t *testing.T) {
	known := func(t *testing.T, status int) rillreach.Generation {
		t.Helper()
		runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = fmt.Fprintf(w, `{"born":%d}`, later)
		}))
		t.Cleanup(runner.Close)
		s := &Sidecar{Settings: &deployment.Settings{RunnerAddress: addressOf(runner.URL)}, Runner: platform.NewRunnerClient(addressOf(runner.URL)), Log: testr.New(t)}
		self := deployment.Runner{ID: "r1", Service: "s", Address: addressOf(runner.URL), Generation: earlier}
		s.state.Roster.Put(self)
		(&loader{sidecar: s}).order(t.Context(), self, deployment.Load{}, deployment.DesiredWeights{Model: "m", Version: 2})
		return s.state.Roster.Find("r1").Info().Generation
	}
	for _, status := range []int{http.StatusOK, http.StatusAccepted, http.StatusConflict} {
		t.Run("it tells the new start: "+http.StatusText(status), func(t *testing.T) {
			assert.Equal(t, rillreach.Generation(later), known(t, status))
		})
	}
	t.Run("a refusal may be another runner's and tells none", func(t *testing.T) {
		assert.Equal(t, rillreach.Generation(earlier), known(t, http.StatusMisdirectedRequest))
	})
}

func TestRunnerWithoutAStart(t *testing.T) {
	b := beginBeside(t)
	eventually(t, func() bool { return b.known() == earlier })
	self := b.agent.state.Roster.Find("r1")
	b.engine.Restart(0)
	eventually(t, func() bool { return unknownIn(&b.agent.starts, telemetry.StartInReport) })
	assert.Same(t, self, b.agent.state.Roster.Find("r1"), "it is not known to have started anew")
	assert.Equal(t, rillreach.Generation(earlier), b.known())
}

// TestHoldingsOfAnEarlierRun has a runner that holds a part start again: entries must not hear of the part any more, whoever was
// the first to tell the agent of the new start.
func TestHoldingsOfAnEarlierRun(t *testing.T) {
	b := beginBeside(t)
	eventually(t, func() bool { return b.known() == earlier })
	b.engine.Keep("1/m", "old", 800)
	b.engine.Keep("1/m", "older", 400)
	eventually(t, func() bool { return b.agent.own.tracker.TotalTokens() == 1200 })
	b.engine.Restart(later)
	b.engine.Keep("1/m", "fresh", 300)
	eventually(t, func() bool { return b.agent.own.tracker.TotalTokens() == 300 })
	assert.Equal(t, rillreach.Generation(later), b.known())
}

// TestBulletinIsOfOneRun has an agent hear of a new start when the last report and the followed parts are still the earlier run's.
func TestBulletinIsOfOneRun(t *testing.T) {
	place := netip.MustParseAddrPort("10.0.0.1:1")
	s := &Sidecar{Settings: &deployment.Settings{RunnerAddress: place}, Log: testr.New(t)}
	s.publisher, s.stores = &publisher{sidecar: s}, &collector{sidecar: s}
	s.own = &holder{place: place, log: s.Log}
	s.own.listed.Store(true)
	page := func(epoch uint64, generation rillreach.Generation) *platform.CacheEvents {
		return &platform.CacheEvents{Epoch: epoch, Generation: generation}
	}
	s.own.renew(page(1, earlier), []holdings.Change{{Key: holdings.Key{Salt: "1/m", Part: "old"}, Tokens: 800}})
	s.state.Roster.Put(deployment.Runner{ID: "r1", Address: place, Generation: earlier})
	s.publisher.set(deployment.Load{Generation: earlier, Running: 7, Clock: time.UnixMilli(5000)}, rollout{loading: true})
	f := newFollower(s.publisher)
	before, _ := f.next()
	require.Len(t, before.CacheUpdates, 1)
	require.Equal(t, 7, before.Load.Running)

	s.own.tracker.Apply([]holdings.Change{{Key: holdings.Key{Salt: "1/m", Part: "late"}, Tokens: 400}})
	s.state.Roster.Put(deployment.Runner{ID: "r1", Address: place, Generation: later})
	b, worth := f.next()
	t.Run("the new start is told at once", func(t *testing.T) {
		assert.True(t, worth)
		assert.Equal(t, rillreach.InstanceRun{ID: "r1", Generation: later}, b.Run())
	})
	t.Run("nothing of the earlier run is told with it", func(t *testing.T) {
		assert.Equal(t, bulletin.Load{Unresponsive: true}, b.Load)
		assert.Empty(t, b.CacheUpdates)
		assert.GreaterOrEqual(t, b.Clock, int64(5000), "the clock is common to all runners")
	})
	t.Run("what the later run holds is told as everything", func(t *testing.T) {
		s.own.renew(page(2, later), nil)
		s.own.tracker.Apply([]holdings.Change{{Key: holdings.Key{Salt: "1/m", Part: "fresh"}, Tokens: 300}})
		b, _ := f.next()
		if assert.Len(t, b.CacheUpdates, 1) {
			assert.True(t, b.CacheUpdates[0].Snapshot)
			assert.Len(t, b.CacheUpdates[0].Changes, 1)
		}
	})
}

func TestPageOfEvents(t *testing.T) {
	follow := func(t *testing.T, epoch uint64, generation rillreach.Generation) *holder {
		t.Helper()
		h := &holder{}
		h.renew(&platform.CacheEvents{Epoch: epoch, Generation: generation}, nil)
		return h
	}
	for name, c := range map[string]struct {
		epoch      uint64
		generation rillreach.Generation
		want       pageVerdict
	}{
		"of the same run":                            {1, earlier, pagePresent},
		"of the same run that tells no start":        {1, 0, pagePresent},
		"of a later run":                             {2, later, pageOfNewRun},
		"of a later run with the same epoch":         {1, later, pageOfNewRun},
		"of a run of another epoch that tells none":  {2, 0, pageOfNewRun},
		"of an earlier run":                          {2, earlier - 1, pageLate},
		"of an earlier run with the epoch of before": {1, earlier - 1, pageLate},
	} {
		t.Run("a page "+name, func(t *testing.T) {
			h := follow(t, 1, earlier)
			assert.Equal(t, c.want, h.judge(&platform.CacheEvents{Epoch: c.epoch, Generation: c.generation}))
		})
	}
	t.Run("a list of the same run that tells no start is of that run", func(t *testing.T) {
		h := follow(t, 1, earlier)
		h.renew(&platform.CacheEvents{Epoch: 1}, nil)
		_, _, _, ok := h.since(0, later)
		assert.False(t, ok, "a bulletin of the later run does not tell of it")
	})
	t.Run("a start that becomes known is no new one", func(t *testing.T) {
		assert.Equal(t, pagePresent, follow(t, 1, 0).judge(&platform.CacheEvents{Epoch: 1, Generation: later}))
	})
}

// TestReaderThatStartsAgain: the run that was asked to end its fetch is over, and nobody need wait for it.
func TestReaderThatStartsAgain(t *testing.T) {
	still, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = still.Close() })
	at := netip.MustParseAddrPort(still.Addr().String())
	waitFor := func(t *testing.T, before, after rillreach.Generation) int64 {
		t.Helper()
		f := newFreeing(t, at)
		roster := &f.collector.sidecar.state.Roster
		info := roster.ByAddress(at).Info()
		info.Generation = before
		roster.Put(info)
		f.look(t)
		require.Zero(t, f.frees.Load(), "it stands still")
		info.Generation = after
		roster.Put(info)
		f.look(t)
		return f.frees.Load()
	}
	t.Run("an earlier run is waited for no longer once a later one is known", func(t *testing.T) {
		assert.Equal(t, int64(1), waitFor(t, earlier, later))
	})
	t.Run("a run whose start becomes known is still waited for", func(t *testing.T) {
		assert.Zero(t, waitFor(t, 0, later))
	})
	t.Run("so is one whose start is no longer told", func(t *testing.T) {
		assert.Zero(t, waitFor(t, earlier, 0))
	})
}

// TestLateReport has the agent of a runner get the answer of an earlier run, which must not be told as the later one's.
func TestLateReport(t *testing.T) {
	e := &site.Engine{Model: site.Model, Version: 1, Born: earlier}
	runner := httptest.NewServer(e)
	t.Cleanup(runner.Close)
	s := &Sidecar{Settings: &deployment.Settings{RunnerAddress: addressOf(runner.URL)}, Runner: platform.NewRunnerClient(addressOf(runner.URL)), Log: testr.New(t)}
	s.publisher = &publisher{sidecar: s}
	s.state.Roster.Put(deployment.Runner{ID: "r1", Service: "s", Address: addressOf(runner.URL), Generation: later})
	(&loader{sidecar: s}).look(t.Context())
	_, at, _ := s.publisher.get()
	assert.True(t, at.IsZero())
	assert.Equal(t, rillreach.Generation(later), s.state.Roster.Find("r1").Info().Generation)
}
