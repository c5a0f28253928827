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

func TestPassingOn(t *testing.T) {
	runner := &site.Runner{ID: "r1"}
	w := startWorld(t, defaultConfig(), runner)
	defer w.stop()

	t.Run("method, target and body arrive as they were sent", func(t *testing.T) {
		got := w.send(t, "POST", "/once/a%2Fb//c?q=%20x&&y", "hello")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Equal(t, "sealed", got.header.Get("X-Rillreach-Response-Seal"))
		run := runner.Runs()[0]
		assert.Equal(t, "/once/a%2Fb//c?q=%20x&&y", run.Target)
		assert.Equal(t, "POST", run.Method)
		assert.Equal(t, host, run.Host)
		assert.Equal(t, "hello", run.Body)
		assert.Equal(t, "shop", run.Header.Get("X-Rillreach-Tenant"))
		assert.Empty(t, run.Header.Get("Authorization"))
		assert.Empty(t, run.Header.Get("Accept-Encoding"))
		assert.Empty(t, run.Header.Get("User-Agent"))
	})
	t.Run("what is the system's to set is not taken from callers", func(t *testing.T) {
		w.send(t, "GET", "/repeat/x", "", "X-Rillreach-Tenant: other", "Hold: 7", "Kv-From: 1.2.3.4:1/2", "Pin-Ms: 5", "Kv-Backup: 1.2.3.4:1",
			"Cache-Salt: s", "Connection: X-Rillreach-Model", "X-Rillreach-Model: m", "X-Plain: kept")
		runs := runner.Runs()
		run := runs[len(runs)-1]
		assert.Equal(t, "shop", run.Header.Get("X-Rillreach-Tenant"))
		assert.Equal(t, "m", run.Header.Get("X-Rillreach-Model"))
		assert.Equal(t, "kept", run.Header.Get("X-Plain"))
		for _, name := range []string{"Hold", "Kv-From", "Pin-Ms", "Kv-Backup", "Cache-Salt"} {
			assert.Empty(t, run.Header.Get(name), name)
		}
	})
	t.Run("the runner is told what is left of the time", func(t *testing.T) {
		w.send(t, "GET", "/repeat/x", "", "X-Rillreach-Deadline-Ms: 90000")
		runs := runner.Runs()
		var left int
		_, err := fmt.Sscan(runs[len(runs)-1].Header.Get("X-Rillreach-Deadline-Ms"), &left)
		require.NoError(t, err)
		assert.LessOrEqual(t, left, 5000)
		assert.Positive(t, left)
	})
	t.Run("a body in chunks arrives whole", func(t *testing.T) {
		got := w.send(t, "POST", "/once/c", "", "Transfer-Encoding: chunked", "", "5", "hello", "0", "")
		assert.Equal(t, http.StatusOK, got.status)
		runs := runner.Runs()
		assert.Equal(t, "hello", runs[len(runs)-1].Body)
	})
	t.Run("a request inside another is not run", func(t *testing.T) {
		before := len(runner.Runs())
		w.send(t, "POST", "/once/s", "GET /once/smuggled HTTP/1.1\r\nHost: x\r\n\r\n")
		runs := runner.Runs()
		require.Len(t, runs, before+1)
		assert.Equal(t, "/once/s", runs[before].Target)
	})
}

func TestOwnAnswers(t *testing.T) {
	runner := &site.Runner{ID: "r1"}
	w := startWorld(t, defaultConfig(), runner)
	defer w.stop()

	t.Run("no route is 404", func(t *testing.T) { assertGatewayAnswer(t, w.send(t, "GET", "/nowhere/", ""), http.StatusNotFound) })
	t.Run("an unknown key is 401", func(t *testing.T) { assertGatewayAnswer(t, w.getWithKey(t, "other"), http.StatusUnauthorized) })
	t.Run("a body over the limit is 413", func(t *testing.T) {
		assertGatewayAnswer(t, w.send(t, "POST", "/once/", strings.Repeat("x", 70000)), http.StatusRequestEntityTooLarge)
	})
	t.Run("a key that is taken away is refused", func(t *testing.T) {
		config := defaultConfig()
		config["version"] = 2
		config["tenants"] = []jsonMap{{"name": "shop", "api_keys": []string{"another"}}}
		w.store.Put("config", "main", config)
		w.eventually(t, func() bool { return w.send(t, "GET", "/repeat/", "").status == http.StatusUnauthorized })
	})
	t.Run("a configuration that cannot be understood leaves the last one", func(t *testing.T) {
		calls := w.store.Calls()
		w.store.Put("config", "main", jsonMap{"version": 3, "routes": []jsonMap{{"name": "broken"}}})
		w.eventually(t, func() bool { return w.store.Calls() > calls+1 })
		assert.Equal(t, int64(2), w.gateway.state.Config().Version)
	})
}

func (w *world) getWithKey(t *testing.T, other string) answer {
	t.Helper()
	return w.sendWithKey(t, other, "GET", "/repeat/", "")
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

func TestRunnersInTrouble(t *testing.T) {
	t.Run("a runner that refuses is replaced", func(t *testing.T) {
		good, full := &site.Runner{ID: "good"}, &site.Runner{ID: "full", Handle: site.Refuse}
		w := startWorld(t, defaultConfig(), good, full)
		defer w.stop()
		for range 8 {
			got := w.send(t, "POST", "/once/x", "body")
			assert.Equal(t, http.StatusOK, got.status)
		}
		assert.Len(t, good.Runs(), 8)
	})
	t.Run("a request that may have run once is not run again, and no promise is made", func(t *testing.T) {
		cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		a, b := &site.Runner{ID: "a", Handle: cut}, &site.Runner{ID: "b", Handle: cut}
		w := startWorld(t, defaultConfig(), a, b)
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "body"), http.StatusBadGateway)
		assert.Equal(t, 1, len(a.Runs())+len(b.Runs()))
	})
	t.Run("a repeatable request moves on once, within the route's number of runners", func(t *testing.T) {
		cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		a, b, c := &site.Runner{ID: "a", Handle: cut}, &site.Runner{ID: "b", Handle: cut}, &site.Runner{ID: "c", Handle: cut}
		w := startWorld(t, defaultConfig(), a, b, c)
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "GET", "/repeat/x", ""), http.StatusBadGateway)
		assert.Equal(t, 2, len(a.Runs())+len(b.Runs())+len(c.Runs()))
	})
	t.Run("nobody there is told at once as not run", func(t *testing.T) {
		w := startWorld(t, defaultConfig())
		defer w.stop()
		got := w.send(t, "POST", "/once/x", "body")
		assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
		assert.NotEmpty(t, got.header.Get("Retry-After"))
	})
	t.Run("a leaving runner gets nothing new", func(t *testing.T) {
		stays, leaves := &site.Runner{ID: "stays"}, &site.Runner{ID: "leaves"}
		w := startWorld(t, defaultConfig(), stays, leaves)
		defer w.stop()
		w.store.Put("servers", "leaves", runnerRecord(leaves, "draining"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("leaves").Info().Leaving })
		before := len(leaves.Runs())
		for range 6 {
			w.send(t, "GET", "/repeat/x", "")
		}
		assert.Len(t, leaves.Runs(), before)
	})
	t.Run("another runner at the address does not run the request", func(t *testing.T) {
		real := &site.Runner{ID: "new"}
		w := startWorld(t, defaultConfig())
		defer w.stop()
		real.Start()
		t.Cleanup(real.Stop)
		w.store.Put("servers", "old", runnerRecord(real, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Len() == 1 })
		assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "body"), http.StatusServiceUnavailable)
		assert.Empty(t, real.Runs())
	})
}

func TestTimeOut(t *testing.T) {
	release := make(chan struct{})
	hang := &site.Runner{ID: "hang", Handle: func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}}
	w := startWorld(t, defaultConfig(), hang)
	defer w.stop()
	defer close(release)
	assertGatewayAnswer(t, w.send(t, "GET", "/short/x", ""), http.StatusGatewayTimeout)
}

func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	runner := &site.Runner{ID: "r", Handle: func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}}
	w := startWorld(t, defaultConfig(), runner)
	defer w.stop()
	conn, err := net.Dial("tcp", w.callerAddress)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "GET /repeat/ HTTP/1.1\r\nHost: %s\r\nX-Rillreach-Attempt-Id: a\r\nAuthorization: Bearer %s\r\n\r\n", host, key)
	require.NoError(t, err)
	w.eventually(t, func() bool { return len(runner.Runs()) == 1 })
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	select {
	case <-left:
	case <-time.After(testTimeout):
		t.Fatal("the runner still works for a caller that has left")
	}
	assert.Error(t, readAnswer(t, conn, "GET").err, "nothing that looks like an answer goes out")
}
