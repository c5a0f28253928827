package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/sidecar"
)

// One request ended each runner that began it, and its caller sent it again and again, to any entry. Runners were replaced within seconds, and
// 15 of 18 ended in twelve seconds, each with all that it was answering: other callers saw streams cut and answers of 502.
//
// An entry kept nothing of a request once it was answered, and told no other entry of it, so that each repeat was a new request to it. The
// closed connection was held against the runner, which was left alone for 0.3 s, and the repeat was sent to one that was still sound. For each of
// the ended runners an entry logged "runner chosen attempt=1", "attempt failed cause=unexpected EOF avoidedFor=300ms" and "request given up
// sends=1"; before twelve runners of one service, twelve repeats end twelve, at one entry as at two.

const (
	// mostEnded is how many runners a request may end before it is held back.
	mostEnded = 3
	// spreads is within which time all entries know that, and mostLate how many sends of it may reach runners after that.
	spreads  = 3 * time.Second
	mostLate = 3
	// fatal is the path under which a request ends the runner that begins it.
	fatal = "fatal"
)

// graveyard counts the sends of fatal requests, and the runners that they end.
type graveyard struct {
	mu sync.Mutex
	at []time.Time
}

// runners are runners that end with fatal requests.
func (y *graveyard) runners(n int) []*site.Runner {
	var runners []*site.Runner
	for i := range n {
		r := &site.Runner{ID: fmt.Sprint("r", i)}
		r.Handle = func(w http.ResponseWriter, req *http.Request) {
			if !strings.Contains(req.RequestURI, fatal) {
				site.Answer(w, req, "sound")
				return
			}
			y.add()
			r.End()
			panic(http.ErrAbortHandler)
		}
		runners = append(runners, r)
	}
	return runners
}

func (y *graveyard) add() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.at = append(y.at, time.Now())
}

// ended are the moments at which runners ended.
func (y *graveyard) ended() []time.Time {
	y.mu.Lock()
	defer y.mu.Unlock()
	return append([]time.Time(nil), y.at...)
}

// late is how many runners ended later than the bound after the last that may.
func (y *graveyard) late() int {
	all, n := y.ended(), 0
	for _, at := range all {
		if len(all) > mostEnded && at.Sub(all[mostEnded-1]) > spreads {
			n++
		}
	}
	return n
}

// repeats is how often a fatal request comes where there are more runners than it may end.
const repeats = 12

func TestRequestThatEndsRunners(t *testing.T) {
	for _, path := range []string{"/repeat/", "/once/", "/stream/", "/flow/"} {
		t.Run("at one entry, on the route "+path, func(t *testing.T) {
			var y graveyard
			w := begin(t, defaultConfig(), y.runners(repeats)...)
			defer w.stop()
			for range repeats {
				w.call(t, "POST", path+fatal, "body")
				assert.Equal(t, http.StatusOK, w.call(t, "POST", path+"x", "body").status, "others are served")
			}
			assert.LessOrEqual(t, len(y.ended()), mostEnded)
		})
	}
	t.Run("what is held back gets its last answer, which promises nothing", func(t *testing.T) {
		var y graveyard
		w := begin(t, defaultConfig(), y.runners(repeats)...)
		defer w.stop()
		for range repeats {
			w.call(t, "POST", "/once/"+fatal, "body")
		}
		got := w.call(t, "POST", "/once/"+fatal, "body")
		assertOwn(t, got, http.StatusBadGateway)
		assert.Empty(t, got.header.Get("Retry-After"))
	})
	t.Run("at two entries in turn", func(t *testing.T) {
		var y graveyard
		one, two := twoEntries(t, y.runners(5*repeats)...)
		pace := time.NewTicker(spreads / 40)
		defer pace.Stop()
		for begun := time.Now(); time.Since(begun) < spreads+time.Second; <-pace.C {
			one.call(t, "POST", "/once/"+fatal, "body")
			one, two = two, one
		}
		assert.LessOrEqual(t, y.late(), mostLate, "%d ended in all", len(y.ended()))
	})
}

// twoEntries are entries that follow the agent of one engine, and serve requests by other runners.
func twoEntries(t *testing.T, runners ...*site.Runner) (one, two *world) {
	t.Helper()
	store := site.NewStore()
	config := defaultConfig()
	config["services"] = append(config["services"].([]jsonMap), jsonMap{
		"name": "e", "engine": jsonMap{"slots": 64, "kv_capacity_tokens": 40000, "kv_token_bytes": 18432, "link_mbps": 130000, "models": []jsonMap{{"name": site.Model}}},
	})
	store.Put("config", "main", config)
	for _, r := range runners {
		r.Start()
		t.Cleanup(r.Stop)
		store.Put("servers", r.ID, record(r, "ready"))
	}
	port := startAgent(t, store)
	start := func(name string) *world {
		w := beginWith(t, store, func(s *deployment.Settings) { s.Name, s.FirstPort, s.LastPort = name, port, port })
		t.Cleanup(w.stop)
		w.awaitReady(t)
		w.eventually(t, func() bool { return len(w.gateway.engineGroups()) > 0 && hearsAgent(w) })
		return w
	}
	return start("entry-1"), start("entry-2")
}

// hearsAgent reports that the entry has heard of an engine from its agent.
func hearsAgent(w *world) bool {
	r := w.gateway.state.Roster.Find("engine")
	return r != nil && r.View(time.Now()).Reported
}

// startAgent starts an engine and the agent beside it, and returns the agent's port.
func startAgent(t *testing.T, store *site.Store) uint16 {
	t.Helper()
	e := &site.Engine{Model: site.Model, Version: 1}
	e.ID = "engine"
	e.Start()
	t.Cleanup(e.Stop)
	store.Put("servers", e.ID, site.EngineRecordOf(e.Address(), "ready", 1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	at := netip.MustParseAddrPort(l.Addr().String())
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	agent := &sidecar.Sidecar{
		Settings: &deployment.Settings{
			Name: "side-1", Zone: "z1", Host: at.Addr(), FirstPort: at.Port(), LastPort: at.Port(), Runner: e.Address(),
			Bounds: deployment.Bounds{Weights: weightsBound},
		},
		Configs: platform.Configs(client), Runners: platform.Runners(client), Weights: platform.Weights(client),
		Runner: platform.NewRunner(e.Address()), Listener: l, Log: logr.Discard(),
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NoError(t, <-ended)
	})
	return at.Port()
}
