package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/controller/subscribe"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/platform"
)

const wait = 10 * time.Second

// order is an order as a runner gets it.
type order struct {
	Op       string `json:"op"`
	Version  uint64 `json:"version"`
	Mode     string `json:"mode"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fencing_token"`
	Expected uint64 `json:"expected_revision"`
	instance string
}

// engine is a runner's control calls; it loses the answers of the first orders.
type engine struct {
	mu      sync.Mutex
	version uint64
	taken   uint64
	lose    int
	orders  []order
}

// ServeHTTP answers one control call.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/kv-events" {
		tell(w, r)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.URL.Path {
	case "/report":
		_, _ = fmt.Fprintf(w, `{"models":[{"name":"m","version":%d}],"sequence":%d,"running":2,"queued":1,"kv_used":10,"kv_total":100,
			"state":"ready","clock_ms":5000,"runs":[["b",10,2,5]]}`, e.version, e.taken)
	case "/order":
		e.order(w, r)
	}
}

// tell has one event, and then none until the caller gives up.
func tell(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("since") != "0" {
		<-r.Context().Done()
		return
	}
	_, _ = fmt.Fprint(w, `{"boot_epoch":1,"next_page_token":1,"lost":false,"events":[[1,"+","1/m","part",800,"m"]]}`)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.instance = r.Header.Get("X-Rillreach-Target-Instance")
	e.orders = append(e.orders, o)
	if e.lose > 0 {
		e.lose--
		panic(http.ErrAbortHandler)
	}
	if o.Expected != e.taken {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.taken++
	e.version = o.Version
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) given() []order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]order(nil), e.orders...)
}

type fixture struct {
	store  *site.Store
	engine *engine
	agent  *Sidecar
}

func addressOf(url string) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
}

func begin(t *testing.T, e *engine) *fixture {
	t.Helper()
	f := &fixture{store: site.NewStore(), engine: e}
	runner := httptest.NewServer(e)
	t.Cleanup(runner.Close)
	f.store.Put("config", "main", map[string]any{
		"version": 1, "routes": []any{}, "services": []any{map[string]any{"name": "s"}}, "limits": map[string]any{},
	})
	f.store.Put("servers", "r1", map[string]any{
		"service": "s", "address": addressOf(runner.URL).String(), "zone": "z", "slots": 64, "state": "ready",
		"version": "1.7.3", "cold_remaining_ms": 0, "sequence": 1, "models": []map[string]any{{"name": "m", "version": e.version}},
	})
	f.agent = beginAgent(t, f.store, addressOf(runner.URL))
	return f
}

// beginAgent starts an agent beside the runner at the address.
func beginAgent(t *testing.T, store http.Handler, runner netip.AddrPort) *Sidecar {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	own := netip.MustParseAddrPort(listener.Addr().String())
	client := platform.NewStore(addressOf(server.URL))
	agent := &Sidecar{
		Settings: &deployment.Settings{
			Name: "side-1", Zone: "z", Host: own.Addr(), FirstPort: own.Port(), LastPort: own.Port(), RunnerAddress: runner,
			Bounds: deployment.Bounds{WeightsRollout: 10 * time.Second},
		},
		Configs: platform.Configs(client), Runners: platform.Runners(client), Weights: platform.Weights(client),
		Runner: platform.NewRunner(runner), Listener: listener, Log: testr.New(t),
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NoError(t, <-ended)
	})
	return agent
}

func (f *fixture) name(version uint64) uint64 {
	return f.store.Put("versions", "m", map[string]any{"model": "m", "version": version})
}

func (f *fixture) eventually(t *testing.T, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, wait, 5*time.Millisecond)
}

func TestOrders(t *testing.T) {
	t.Run("one order brings the runner to the version, and names run, fence and orders before", func(t *testing.T) {
		f := begin(t, &engine{version: 1, taken: 4})
		revision := f.name(2)
		f.eventually(t, func() bool { return len(f.engine.given()) > 0 })
		assert.Equal(t, order{Op: "version", Version: 2, Mode: "queue", Holder: "side-1", Fence: revision, Expected: 4, instance: "r1"}, f.engine.given()[0])
	})
	t.Run("an order without an answer is given again under the same number", func(t *testing.T) {
		f := begin(t, &engine{version: 1, lose: 1})
		f.name(2)
		f.eventually(t, func() bool { return len(f.engine.given()) == 2 })
		given := f.engine.given()
		assert.Equal(t, given[0], given[1])
	})
	t.Run("of two names in a row the newest is loaded, and fences only grow", func(t *testing.T) {
		f := begin(t, &engine{version: 1})
		f.name(2)
		f.name(3)
		f.eventually(t, func() bool {
			given := f.engine.given()
			return len(given) > 0 && given[len(given)-1].Version == 3
		})
		fence := uint64(0)
		for _, o := range f.engine.given() {
			assert.Greater(t, o.Fence, fence)
			fence = o.Fence
		}
	})
	t.Run("a runner that has the version gets no order", func(t *testing.T) {
		f := begin(t, &engine{version: 2})
		f.name(2)
		f.eventually(t, func() bool { named, _ := f.agent.state.NamedWeights("m"); return named.Version == 2 })
		calls := f.store.Calls()
		f.name(2)
		f.eventually(t, func() bool { return f.store.Calls() > calls })
		assert.Empty(t, f.engine.given())
	})
}

// TestStopIsNotTheRunnersSilence has an agent stop while it asks its runner: entries would turn away from a runner that is well.
func TestStopIsNotTheRunnersSilence(t *testing.T) {
	runner := httptest.NewServer(&engine{version: 1})
	t.Cleanup(runner.Close)
	s := &Sidecar{
		Settings: &deployment.Settings{RunnerAddress: addressOf(runner.URL)}, Runner: platform.NewRunner(addressOf(runner.URL)), Log: testr.New(t),
	}
	s.publisher = &publisher{sidecar: s}
	s.state.Roster.Put(deployment.Runner{ID: "r1", Service: "s", Address: addressOf(runner.URL)})
	ctx, stop := context.WithCancel(context.Background())
	stop()
	(&loader{sidecar: s}).look(ctx)
	load, _, _ := s.publisher.get()
	assert.False(t, load.Unresponsive)
}

func TestBulletins(t *testing.T) {
	f := begin(t, &engine{version: 1})
	f.name(1)
	self, err := fleet.NewInstance(rillreach.RoleEntry, &deployment.Settings{Name: "entry-1", Host: netip.MustParseAddr("127.0.0.1"), FirstPort: 1, Zone: "z"})
	require.NoError(t, err)
	pool := &peer.Pool{Self: self, Mux: &peer.Mux{Log: testr.New(t)}, Log: testr.New(t)}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	pool.Start(ctx)
	bulletins := make(chan bulletin.Bulletin, 100)
	s := &subscribe.Subscription{
		Pool: pool, Agent: netip.AddrPortFrom(f.agent.Settings.Host, f.agent.Settings.FirstPort), Log: testr.New(t),
		Request:    bulletin.FollowRequest{Name: "entry-1"},
		OnBulletin: func(b *bulletin.Bulletin, _ time.Time) { bulletins <- *b },
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	held := map[string]int{}
	for held["part"] == 0 {
		select {
		case b := <-bulletins:
			assert.Equal(t, rillreach.InstanceID("r1"), b.Runner)
			assert.Equal(t, 1, b.Load.AwaitingFirstEvent)
			assert.Equal(t, 1, b.Followers)
			assert.GreaterOrEqual(t, b.Clock, int64(5000))
			for _, h := range b.CacheUpdates {
				for _, c := range h.Changes {
					held[c.Key.Part] = c.Tokens
				}
			}
		case <-time.After(wait):
			t.Fatal("no bulletin tells what the runner holds")
		}
	}
	assert.Equal(t, map[string]int{"part": 800}, held)
	stop()
	wg.Wait()
}
