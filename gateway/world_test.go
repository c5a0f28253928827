package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/internal/testlog"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	host        = "shop.example"
	key         = "key-of-shop"
	testTimeout = 10 * time.Second
)

// world is a test environment: an object store and an entry that follows it.
type world struct {
	store            *site.Store
	gateway          *Gateway
	callerAddress    string
	readinessAddress string
	stop             context.CancelFunc
	ended            chan error
}

type jsonMap = map[string]any

func routeConfig(name, kind, service string, more jsonMap) jsonMap {
	r := jsonMap{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 5000, "target_latency_ms": 300,
		"service": service, "max_attempts": 2, "gap_aim_ms": 300,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func configWithRoutes(version int, routes ...jsonMap) jsonMap {
	return jsonMap{
		"version": version, "routes": routes,
		"services": []jsonMap{{"name": "plain", "max_connections": 100}},
		"limits":   jsonMap{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []jsonMap{{"name": "shop", "api_keys": []string{key}}},
	}
}

func defaultConfig() jsonMap {
	return configWithRoutes(
		1,
		routeConfig("repeat", "idempotent", "plain", nil),
		routeConfig("once", "non_idempotent", "plain", nil),
		routeConfig("short", "idempotent", "plain", jsonMap{"timeout_ms": 300, "max_attempts": 1}),
		routeConfig("stream", "streaming", "plain", jsonMap{"resumable": true}),
		routeConfig("flow", "streaming", "plain", nil),
	)
}

func runnerRecord(r *site.Runner, state string) jsonMap {
	return runnerRecordAt(r.Address().String(), state)
}

func runnerRecordAt(address, state string) jsonMap {
	return jsonMap{
		"service": "plain", "address": address, "zone": "z1", "slots": 6, "state": state,
		"version": "1.7.3", "cold_remaining_ms": 0, "sequence": 1,
	}
}

// startWorld starts the runners and an entry, and waits until the entry is ready if there is a configuration.
func startWorld(t *testing.T, config jsonMap, runners ...*site.Runner) *world {
	t.Helper()
	store := site.NewStore()
	if config != nil {
		store.Put("config", "main", config)
	}
	for _, r := range runners {
		r.Start()
		t.Cleanup(r.Stop)
		store.Put("servers", r.ID, runnerRecord(r, "ready"))
	}
	w := startWithWeightsBound(t, store, weightsBound)
	if config != nil {
		w.awaitReady(t)
	}
	return w
}

// weightsBound is the default bound on how long replaced weights may be used.
const weightsBound = 10 * time.Second

// startWithWeightsBound starts an entry that follows the store, with a bound on how long requests may start on
// replaced weights.
func startWithWeightsBound(t *testing.T, store *site.Store, bound time.Duration) *world {
	t.Helper()
	return startWithSettings(t, store, func(s *deployment.Settings) { s.Bounds.WeightsRollout = bound })
}

// startWithSettings starts an entry that follows the store, with modified settings.
func startWithSettings(t *testing.T, store *site.Store, change func(*deployment.Settings)) *world {
	t.Helper()
	return startGateway(t, store, func(g *Gateway) { change(g.Settings) })
}

// startGateway starts an entry that follows the store, after the function has modified it.
func startGateway(t *testing.T, store *site.Store, change func(*Gateway)) *world {
	t.Helper()
	w := &world{store: store, ended: make(chan error, 1)}
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	metrics, err := telemetry.New()
	require.NoError(t, err)
	callers, readiness := listener(t), listener(t)
	client := platform.NewObjectStoreClient(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	w.gateway = &Gateway{
		Settings: &deployment.Settings{
			Name: "entry-1", Zone: "z1", Host: netip.MustParseAddr("127.0.0.1"), FirstPort: 1, LastPort: 1,
			Bounds: deployment.Bounds{GracePeriod: 8 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100},
		},
		Configs: platform.Configs(client), Runners: platform.Runners(client), Weights: platform.DesiredWeights(client),
		Evacuations: platform.Evacuations(client), Rollouts: platform.Rollouts(client), RolloutRecorder: client,
		Callers: callers, Readiness: readiness, Log: testlog.New(t), Metrics: metrics,
	}
	change(w.gateway)
	w.callerAddress, w.readinessAddress = callers.Addr().String(), readiness.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go func() { w.ended <- w.gateway.Run(ctx) }()
	return w
}

func listener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (w *world) eventually(t *testing.T, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, testTimeout, 5*time.Millisecond)
}

func (w *world) awaitReady(t *testing.T) {
	t.Helper()
	w.eventually(t, func() bool { return w.readiness(t) == http.StatusOK })
	w.recordPastRequests()
}

// pastRequests is the number of earlier requests to each service of an entry that is ready. A process that has just
// started, and has served no requests, may repeat none.
const pastRequests = 1000

// recordPastRequests makes the entry one that has served requests.
func (w *world) recordPastRequests() {
	for service := range w.gateway.state.Config().Services {
		for range pastRequests {
			w.gateway.budgets.RecordRequest(w.gateway.Clock.Now(), service)
		}
	}
}

func (w *world) readiness(t *testing.T) int {
	t.Helper()
	resp, err := http.Get("http://" + w.readinessAddress + "/ready")
	if err != nil {
		return 0
	}
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

type answer struct {
	status int
	header http.Header
	body   string
	// closes reports whether the entry has asked to close the connection, and framed whether a length or chunks mark the end
	// of the body.
	closes bool
	framed bool
	err    error
}

// send sends a request on a new connection and reads the answer.
func (w *world) send(t *testing.T, method, target string, body string, header ...string) answer {
	t.Helper()
	conn, err := net.Dial("tcp", w.callerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Rillreach-Attempt-Id: a1\r\nAuthorization: Bearer %s\r\n", method, target, host, key)
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text += strings.Join(append(header, ""), "\r\n") + "\r\n" + body
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return readAnswer(t, conn, method)
}

func readAnswer(t *testing.T, conn net.Conn, method string) answer {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), closes: resp.Close, framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, err: err}
}

func assertGatewayAnswer(t *testing.T, got answer, status int) {
	t.Helper()
	require.NoError(t, got.err)
	assert.Equal(t, status, got.status)
	assert.Empty(t, got.header.Get("X-Rillreach-Response-Seal"))
}
