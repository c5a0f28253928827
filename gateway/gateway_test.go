package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

func TestRequestForwarding(t *testing.T) {
	runner := &site.Runner{ID: "r1"}
	w := startWorld(t, defaultConfig(), runner)
	defer w.stop()

	t.Run("method, target and body are forwarded unchanged", func(t *testing.T) {
		got := w.send(t, "POST", "/once/a%2Fb//c?q=%20x&&y", "hello")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Equal(t, "sealed", got.header.Get("X-Rillreach-Response-Seal"))
		run := runner.ReceivedRequests()[0]
		assert.Equal(t, "/once/a%2Fb//c?q=%20x&&y", run.Target)
		assert.Equal(t, "POST", run.Method)
		assert.Equal(t, host, run.Host)
		assert.Equal(t, "hello", run.Body)
		assert.Equal(t, "shop", run.Header.Get("X-Rillreach-Tenant"))
		assert.Empty(t, run.Header.Get("Authorization"))
		assert.Empty(t, run.Header.Get("Accept-Encoding"))
		assert.Empty(t, run.Header.Get("User-Agent"))
	})
	t.Run("internal headers are not accepted from callers", func(t *testing.T) {
		w.send(t, "GET", "/repeat/x", "", "X-Rillreach-Tenant: other", "Hold: 7", "Kv-From: 1.2.3.4:1/2", "Pin-Ms: 5", "Kv-Backup: 1.2.3.4:1",
			"Cache-Salt: s", "Connection: X-Rillreach-Model", "X-Rillreach-Model: m", "X-Plain: kept")
		runs := runner.ReceivedRequests()
		run := runs[len(runs)-1]
		assert.Equal(t, "shop", run.Header.Get("X-Rillreach-Tenant"))
		assert.Equal(t, "m", run.Header.Get("X-Rillreach-Model"))
		assert.Equal(t, "kept", run.Header.Get("X-Plain"))
		for _, name := range []string{"Hold", "Kv-From", "Pin-Ms", "Kv-Backup", "Cache-Salt"} {
			assert.Empty(t, run.Header.Get(name), name)
		}
	})
	t.Run("the runner gets the remaining time", func(t *testing.T) {
		w.send(t, "GET", "/repeat/x", "", "X-Rillreach-Deadline-Ms: 90000")
		runs := runner.ReceivedRequests()
		var left int
		_, err := fmt.Sscan(runs[len(runs)-1].Header.Get("X-Rillreach-Deadline-Ms"), &left)
		require.NoError(t, err)
		assert.LessOrEqual(t, left, 5000)
		assert.Positive(t, left)
	})
	t.Run("a chunked body arrives complete", func(t *testing.T) {
		got := w.send(t, "POST", "/once/c", "", "Transfer-Encoding: chunked", "", "5", "hello", "0", "")
		assert.Equal(t, http.StatusOK, got.status)
		runs := runner.ReceivedRequests()
		assert.Equal(t, "hello", runs[len(runs)-1].Body)
	})
	t.Run("a request smuggled in a body is not run", func(t *testing.T) {
		before := len(runner.ReceivedRequests())
		w.send(t, "POST", "/once/s", "GET /once/smuggled HTTP/1.1\r\nHost: x\r\n\r\n")
		runs := runner.ReceivedRequests()
		require.Len(t, runs, before+1)
		assert.Equal(t, "/once/s", runs[before].Target)
	})
}

func TestGatewayAnswers(t *testing.T) {
	runner := &site.Runner{ID: "r1"}
	w := startWorld(t, defaultConfig(), runner)
	defer w.stop()

	t.Run("no matching route: 404", func(t *testing.T) { assertGatewayAnswer(t, w.send(t, "GET", "/nowhere/", ""), http.StatusNotFound) })
	t.Run("unknown key: 401", func(t *testing.T) { assertGatewayAnswer(t, w.getWithKey(t, "other"), http.StatusUnauthorized) })
	t.Run("body over the limit: 413", func(t *testing.T) {
		assertGatewayAnswer(t, w.send(t, "POST", "/once/", strings.Repeat("x", 70000)), http.StatusRequestEntityTooLarge)
	})
	t.Run("a revoked key is refused", func(t *testing.T) {
		config := defaultConfig()
		config["version"] = 2
		config["tenants"] = []jsonMap{{"name": "shop", "api_keys": []string{"another"}}}
		w.store.Put("config", "main", config)
		w.eventually(t, func() bool { return w.send(t, "GET", "/repeat/", "").status == http.StatusUnauthorized })
	})
	t.Run("an invalid configuration leaves the last one in force", func(t *testing.T) {
		calls := w.store.CallCount()
		w.store.Put("config", "main", jsonMap{"version": 3, "routes": []jsonMap{{"name": "broken"}}})
		w.eventually(t, func() bool { return w.store.CallCount() > calls+1 })
		assert.Equal(t, int64(2), w.gateway.state.Config().Version)
	})
}

func (w *world) getWithKey(t *testing.T, key string) answer {
	t.Helper()
	return w.sendWithKey(t, key, "GET", "/repeat/", "")
}

func TestReadiness(t *testing.T) {
	w := startWorld(t, nil)
	defer w.stop()
	w.eventually(t, func() bool { return w.readiness(t) == http.StatusServiceUnavailable })
	got := w.send(t, "GET", "/repeat/", "")
	assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	w.store.Put("config", "main", defaultConfig())
	w.eventually(t, func() bool { return w.readiness(t) == http.StatusOK })
}

func TestRunnerFailures(t *testing.T) {
	t.Run("a request refused by a runner moves to another", func(t *testing.T) {
		good, refusing := &site.Runner{ID: "good"}, &site.Runner{ID: "full", Handle: site.WriteNotExecuted}
		w := startWorld(t, defaultConfig(), good, refusing)
		defer w.stop()
		for range 8 {
			got := w.send(t, "POST", "/once/x", "body")
			assert.Equal(t, http.StatusOK, got.status)
		}
		assert.Len(t, good.ReceivedRequests(), 8)
	})
	t.Run("a non-idempotent request that may have run is not retried, and gets a 502", func(t *testing.T) {
		closeConn := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		a, b := &site.Runner{ID: "a", Handle: closeConn}, &site.Runner{ID: "b", Handle: closeConn}
		w := startWorld(t, defaultConfig(), a, b)
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "body"), http.StatusBadGateway)
		assert.Equal(t, 1, len(a.ReceivedRequests())+len(b.ReceivedRequests()))
	})
	t.Run("an idempotent request is retried up to the max_attempts of the route", func(t *testing.T) {
		closeConn := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		a, b, c := &site.Runner{ID: "a", Handle: closeConn}, &site.Runner{ID: "b", Handle: closeConn}, &site.Runner{ID: "c", Handle: closeConn}
		w := startWorld(t, defaultConfig(), a, b, c)
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "GET", "/repeat/x", ""), http.StatusBadGateway)
		assert.Equal(t, 2, len(a.ReceivedRequests())+len(b.ReceivedRequests())+len(c.ReceivedRequests()))
	})
	t.Run("without runners the request is refused at once", func(t *testing.T) {
		w := startWorld(t, defaultConfig())
		defer w.stop()
		got := w.send(t, "POST", "/once/x", "body")
		assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
		assert.NotEmpty(t, got.header.Get("Retry-After"))
	})
	t.Run("a draining runner gets no new requests", func(t *testing.T) {
		remaining, draining := &site.Runner{ID: "stays"}, &site.Runner{ID: "leaves"}
		w := startWorld(t, defaultConfig(), remaining, draining)
		defer w.stop()
		w.store.Put("servers", "leaves", runnerRecord(draining, "draining"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("leaves").Info().Leaving })
		before := len(draining.ReceivedRequests())
		for range 6 {
			w.send(t, "GET", "/repeat/x", "")
		}
		assert.Len(t, draining.ReceivedRequests(), before)
	})
	t.Run("another runner at the listed address does not run the request", func(t *testing.T) {
		runner := &site.Runner{ID: "new"}
		w := startWorld(t, defaultConfig())
		defer w.stop()
		runner.Start()
		t.Cleanup(runner.Stop)
		w.store.Put("servers", "old", runnerRecord(runner, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Len() == 1 })
		assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "body"), http.StatusServiceUnavailable)
		assert.Empty(t, runner.ReceivedRequests())
	})
}

func TestRequestTimeout(t *testing.T) {
	release := make(chan struct{})
	hanging := &site.Runner{ID: "hang", Handle: func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}}
	w := startWorld(t, defaultConfig(), hanging)
	defer w.stop()
	defer close(release)
	assertGatewayAnswer(t, w.send(t, "GET", "/short/x", ""), http.StatusGatewayTimeout)
}

func TestCallerDisconnects(t *testing.T) {
	disconnected := make(chan struct{})
	runner := &site.Runner{ID: "r", Handle: func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(disconnected)
	}}
	w := startWorld(t, defaultConfig(), runner)
	defer w.stop()
	conn, err := net.Dial("tcp", w.callerAddress)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "GET /repeat/ HTTP/1.1\r\nHost: %s\r\nX-Rillreach-Attempt-Id: a\r\nAuthorization: Bearer %s\r\n\r\n", host, key)
	require.NoError(t, err)
	w.eventually(t, func() bool { return len(runner.ReceivedRequests()) == 1 })
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	select {
	case <-disconnected:
	case <-time.After(testTimeout):
		t.Fatal("the runner still serves a caller that has disconnected")
	}
	assert.Error(t, readAnswer(t, conn, "GET").err, "the caller must get no answer")
}
