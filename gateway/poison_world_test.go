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

// crashLog records the crashes of runners caused by fatal requests.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

// runners returns runners that crash when they get a fatal request.
func (l *crashLog) runners(n int) []*site.Runner {
	var runners []*site.Runner
	for i := range n {
		r := &site.Runner{ID: fmt.Sprint("r", i)}
		r.Handle = func(w http.ResponseWriter, req *http.Request) {
			if !strings.Contains(req.RequestURI, fatalPath) {
				site.WriteResponse(w, req, "sound")
				return
			}
			l.add()
			r.Crash()
			panic(http.ErrAbortHandler)
		}
		runners = append(runners, r)
	}
	return runners
}

func (l *crashLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

// times returns the times of the crashes.
func (l *crashLog) times() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.at...)
}

// countLate returns the number of crashes later than propagationTime after the last permitted one.
func (l *crashLog) countLate() int {
	all, n := l.times(), 0
	for _, at := range all {
		if len(all) > maxCrashes && at.Sub(all[maxCrashes-1]) > propagationTime {
			n++
		}
	}
	return n
}

// sharedSite is a test environment for several entries. They follow the agent of one engine, and forward requests to
// other runners.
type sharedSite struct {
	store  *site.Store
	server *httptest.Server
	engine *site.Engine
	agent  netip.AddrPort
	stop   func()
}

// startSharedSite starts the site without entries.
func startSharedSite(t *testing.T, runners ...*site.Runner) *sharedSite {
	t.Helper()
	s := &sharedSite{store: site.NewStore(), engine: &site.Engine{Model: site.Model, Version: 1}}
	config := defaultConfig()
	config["services"] = append(config["services"].([]jsonMap), engineServiceConfig())
	s.store.Put("config", "main", config)
	for _, r := range runners {
		r.Start()
		t.Cleanup(r.Stop)
		s.store.Put("servers", r.ID, runnerRecord(r, "ready"))
	}
	s.server = httptest.NewServer(s.store)
	t.Cleanup(s.server.Close)
	s.engine.ID = "engine"
	s.engine.Start()
	t.Cleanup(s.engine.Stop)
	s.store.Put("servers", s.engine.ID, site.NewEngineRecord(s.engine.Address(), "ready", 1))
	l := listener(t)
	s.agent = netip.MustParseAddrPort(l.Addr().String())
	s.startAgent(t, l)
	t.Cleanup(func() { s.stop() })
	return s
}

// engineServiceConfig returns the configuration of the engine's service.
func engineServiceConfig() jsonMap {
	return jsonMap{
		"name": "e", "engine": jsonMap{"slots": 64, "kv_capacity_tokens": 40000, "kv_token_bytes": 18432, "link_mbps": 130000, "models": []jsonMap{{"name": site.Model}}},
	}
}

// startEntry starts an entry, and waits until it is ready and has a report of the agent.
func (s *sharedSite) startEntry(t *testing.T, name string) *world {
	t.Helper()
	w := startWithSettings(t, s.store, func(settings *deployment.Settings) {
		settings.Name, settings.FirstPort, settings.LastPort = name, s.agent.Port(), s.agent.Port()
	})
	t.Cleanup(w.stop)
	w.awaitReady(t)
	w.eventually(t, func() bool {
		r := w.gateway.state.Roster.Find("engine")
		return r != nil && r.View(time.Now()).ReportFresh
	})
	return w
}

// startAgent starts the agent beside the engine.
func (s *sharedSite) startAgent(t *testing.T, l net.Listener) {
	t.Helper()
	client := platform.NewObjectStoreClient(netip.MustParseAddrPort(strings.TrimPrefix(s.server.URL, "http://")))
	agent := &sidecar.Sidecar{
		Settings: &deployment.Settings{
			Name: "side-1", Zone: "z1", Host: s.agent.Addr(), FirstPort: s.agent.Port(), LastPort: s.agent.Port(), RunnerAddress: s.engine.Address(), Service: "e",
			Bounds: deployment.Bounds{WeightsRollout: weightsBound, SlowStartFactor: coldLimits.Factor, SlowStartSlack: coldLimits.Slack},
		},
		Configs: platform.Configs(client), Runners: platform.Runners(client), Weights: platform.DesiredWeights(client),
		Runner: platform.NewRunnerClient(s.engine.Address()), Listener: l, Log: logr.Discard(),
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(ctx) }()
	s.stop = sync.OnceFunc(func() {
		stop()
		assert.NoError(t, <-ended)
	})
}

// restartAgent replaces the agent by a new one at the same address, which has no state.
func (s *sharedSite) restartAgent(t *testing.T) {
	t.Helper()
	s.stop()
	l, err := net.Listen("tcp", s.agent.String())
	require.NoError(t, err)
	s.startAgent(t, l)
}

// otherKey is the API key of a second client account.
const otherKey = "key-of-other"

// configWithTwoAccounts returns the default configuration with a second client account.
func configWithTwoAccounts() jsonMap {
	config := defaultConfig()
	config["tenants"] = append(config["tenants"].([]jsonMap), jsonMap{"name": "other", "api_keys": []string{otherKey}})
	return config
}

// sendWithKey sends a request with the given API key and reads the answer.
func (w *world) sendWithKey(t *testing.T, key, method, target, body string, header ...string) answer {
	t.Helper()
	conn, err := net.Dial("tcp", w.callerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n%s", method, target, host, key, len(body), strings.Join(append(header, ""), "\r\n"), body)
	require.NoError(t, err)
	return readAnswer(t, conn, method)
}
