package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// shortGrace is a grace under which a stop ends soon after callers may be expected to have noticed it.
const shortGrace = 5 * time.Second

// slowEvents streams an event each tenth of a second for the time, and an end that tells a whole stream from a cut one.
func slowEvents(length time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		site.Seal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for id := range int(length / (100 * time.Millisecond)) {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", id+1)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(100 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		_, _ = io.WriteString(w, "data: end\n\n")
	}
}

// startForShutdown starts an entry with a runner and the grace; stopping is the time of the stop's signal.
func startForShutdown(t *testing.T, handle http.HandlerFunc) (w *world, runner *site.Runner, stopping func() time.Time) {
	t.Helper()
	runner = &site.Runner{ID: "r1", Handle: handle}
	w = startWorld(t, defaultConfig(), runner)
	w.gateway.Settings.Bounds.GracePeriod = shortGrace
	t.Cleanup(w.stop)
	return w, runner, func() time.Time {
		w.stop()
		w.eventually(t, w.gateway.shuttingDown.Load)
		return time.Now()
	}
}

// sendGet sends a request on the connection, and returns once the entry has it.
func (w *world) sendGet(t *testing.T, conn net.Conn, path string, header ...string) {
	t.Helper()
	lines := append([]string{"GET " + path + " HTTP/1.1", "Host: " + host, "X-Rillreach-Attempt-Id: a1", "Authorization: Bearer " + key}, header...)
	_, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n")
	require.NoError(t, err)
}

func (w *world) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", w.callerAddress)
	require.NoError(t, err, "the entry lives, and takes no connection")
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// assertNotCut holds an answer against the promise that a stop cuts nothing: it is whole, or it says that the request has not run.
func assertNotCut(t *testing.T, got answer, runs int) {
	t.Helper()
	require.NoError(t, got.err, "the answer was cut")
	if got.status == http.StatusServiceUnavailable {
		assert.NotEmpty(t, got.header.Get("Retry-After"))
		assert.Zero(t, runs, "refused as not run, and it ran")
		return
	}
	assert.Equal(t, http.StatusOK, got.status)
	assert.Contains(t, got.body, "data: end")
}

func TestStop(t *testing.T) {
	t.Run("a stream that is taken late and cannot end in time is not cut", func(t *testing.T) {
		t.Parallel()
		w, runner, stop := startForShutdown(t, slowEvents(2*time.Second))
		signalled := stop()
		time.Sleep(time.Until(signalled.Add(3 * time.Second)))
		got := w.send(t, "GET", "/stream/x", "")
		assertNotCut(t, got, len(runner.Runs()))
	})
	t.Run("connections are taken for as long as the process lives", func(t *testing.T) {
		t.Parallel()
		w, runner, stop := startForShutdown(t, slowEvents(3700*time.Millisecond))
		old := w.dial(t)
		w.sendGet(t, old, "/stream/old")
		w.eventually(t, func() bool { return len(runner.Runs()) == 1 })
		signalled := stop()
		time.Sleep(time.Until(signalled.Add(3350 * time.Millisecond)))
		got := w.send(t, "GET", "/repeat/x", "")
		require.NoError(t, got.err)
		assert.True(t, got.closes)
		whole := readAnswer(t, old, "GET")
		require.NoError(t, whole.err, "a stream from before the stop goes on to its end")
		assert.Contains(t, whole.body, "data: end")
	})
	t.Run("what has no answer yet at the end gets one", func(t *testing.T) {
		t.Parallel()
		w, runner, stop := startForShutdown(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		conn := w.dial(t)
		w.sendGet(t, conn, "/once/x")
		w.eventually(t, func() bool { return len(runner.Runs()) == 1 })
		stop()
		assertGatewayAnswer(t, readAnswer(t, conn, "GET"), http.StatusBadGateway)
	})
	t.Run("an open connection is served on, and told to close", func(t *testing.T) {
		t.Parallel()
		w, _, stop := startForShutdown(t, nil)
		conn := w.dial(t)
		w.sendGet(t, conn, "/repeat/x")
		first := bufio.NewReader(conn)
		resp, err := http.ReadResponse(first, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		assert.False(t, resp.Close)
		stop()
		w.sendGet(t, conn, "/repeat/y")
		resp, err = http.ReadResponse(first, nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.True(t, resp.Close)
	})
}

// startPastNoticePeriod starts an entry whose streams usually take a time, and has it stop for so long that callers could know of it.
func startPastNoticePeriod(t *testing.T, usual time.Duration, runners ...*site.Runner) *world {
	t.Helper()
	config := configWithRoutes(
		1,
		routeConfig("stream", "streaming", "plain", jsonMap{"timeout_ms": 12000, "resumable": true}),
		routeConfig("flow", "streaming", "plain", jsonMap{"timeout_ms": 12000}),
	)
	w := startWorld(t, config, runners...)
	t.Cleanup(w.stop)
	for range 40 {
		w.gateway.answerTimes.add("stream", usual)
		w.gateway.answerTimes.add("flow", usual)
	}
	w.stop()
	w.eventually(t, w.gateway.shuttingDown.Load)
	time.Sleep(time.Until(w.gateway.shutdown.SignalTime.Add(w.gateway.shutdown.NoticePeriod)))
	return w
}

func TestStreamsTakenLate(t *testing.T) {
	t.Run("one that likely ends in time comes whole, under its runner's seal", func(t *testing.T) {
		t.Parallel()
		w := startPastNoticePeriod(t, 300*time.Millisecond, &site.Runner{ID: "a", Handle: slowEvents(300 * time.Millisecond)})
		got := w.send(t, "GET", "/flow/x", "")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Contains(t, got.body, "data: end")
		assert.NotEmpty(t, got.header.Get("X-Rillreach-Response-Seal"))
		assert.NotEmpty(t, got.header.Get("Content-Length"))
	})
	t.Run("one that breaks and may run again begins anew elsewhere, nothing doubled", func(t *testing.T) {
		t.Parallel()
		var runs atomic.Int64
		breaksOnce := func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 1 {
				cutAfterEvents(4)(w, r)
				return
			}
			site.Events(w, r, 9, 0)
		}
		w := startPastNoticePeriod(t, 300*time.Millisecond, &site.Runner{ID: "a", Handle: breaksOnce}, &site.Runner{ID: "b", Handle: breaksOnce})
		got := w.send(t, "GET", "/stream/x", "")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(9), got.body)
	})
	t.Run("one that breaks and may run once gets an answer that promises nothing", func(t *testing.T) {
		t.Parallel()
		a, b := &site.Runner{ID: "a", Handle: cutAfterEvents(4)}, &site.Runner{ID: "b", Handle: cutAfterEvents(4)}
		w := startPastNoticePeriod(t, 300*time.Millisecond, a, b)
		assertGatewayAnswer(t, w.send(t, "GET", "/flow/x", ""), http.StatusBadGateway)
		assert.Equal(t, 1, len(a.Runs())+len(b.Runs()))
	})
	t.Run("one that likely takes longer than its caller stays without a word is refused", func(t *testing.T) {
		t.Parallel()
		a := &site.Runner{ID: "a"}
		w := startPastNoticePeriod(t, 3*time.Second, a) // callers leave after 2.4 s
		assertGatewayAnswer(t, w.send(t, "GET", "/flow/x", ""), http.StatusServiceUnavailable)
		assert.Empty(t, a.Runs())
	})
}

// TestStreamsThatBeginAtTheEnd has streams begin just as the entry gives those without an answer their last one: each is whole, or
// has an answer of the entry and none of its events.
func TestStreamsThatBeginAtTheEnd(t *testing.T) {
	t.Parallel()
	const streams = 100
	var began atomic.Int64
	var end atomic.Pointer[time.Time]
	runner := &site.Runner{ID: "r1", Handle: func(w http.ResponseWriter, r *http.Request) {
		offset := time.Duration(began.Add(1)-streams/2) * 40 * time.Microsecond
		for end.Load() == nil && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if end.Load() == nil {
			return
		}
		time.Sleep(time.Until(end.Load().Add(offset)))
		site.Events(w, r, 1, 0)
	}}
	config := configWithRoutes(1, routeConfig("flow", "streaming", "plain", jsonMap{"timeout_ms": 60000}))
	config["services"] = []jsonMap{{"name": "plain", "max_connections": 6 * streams}} // of which this entry may have a sixth
	w := startWorld(t, config, runner)
	t.Cleanup(w.stop)
	w.gateway.Settings.Bounds.GracePeriod = shortGrace
	conns := make([]net.Conn, streams)
	for i := range conns {
		conns[i] = w.dial(t)
		w.sendGet(t, conns[i], "/flow/x")
	}
	w.eventually(t, func() bool { return w.gateway.inflight.Count() == streams })
	w.stop()
	w.eventually(t, w.gateway.shuttingDown.Load)
	end.Store(&w.gateway.shutdown.Deadline)
	for _, conn := range conns {
		got := readAnswer(t, conn, "GET")
		require.NoError(t, got.err, "status %d", got.status)
		assert.Contains(t, []int{http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable}, got.status)
	}
}

// TestLastAnswerIsFlushed: a stop waits for requests that run, and the server writes an answer out only after the request has ceased to.
func TestLastAnswerIsFlushed(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		t.Run(fmt.Sprint("leaving: ", leaving), func(t *testing.T) {
			g := &Gateway{}
			g.shuttingDown.Store(leaving)
			recorder := httptest.NewRecorder()
			g.respond(newExchange(recorder, httptest.NewRequest(http.MethodGet, "/", http.NoBody)), http.StatusServiceUnavailable, "entry-stops", 0)
			assert.Equal(t, leaving, recorder.Flushed)
		})
	}
}
