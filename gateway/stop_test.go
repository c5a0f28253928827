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

// shortGrace is a grace period that ends soon after the time in which callers cannot know of the shutdown.
const shortGrace = 5 * time.Second

// slowEvents streams an event every 100 ms for the given time, and a final event by which a complete stream is
// recognized.
func slowEvents(length time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		site.SetSealHeaders(w, r)
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

// startForShutdown starts an entry with one runner and the short grace period. The returned function starts the
// shutdown and returns when it did.
func startForShutdown(t *testing.T, handle http.HandlerFunc) (w *world, runner *site.Runner, shutDown func() time.Time) {
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

// sendGet sends a GET request on the connection.
func (w *world) sendGet(t *testing.T, conn net.Conn, path string, header ...string) {
	t.Helper()
	lines := append([]string{"GET " + path + " HTTP/1.1", "Host: " + host, "X-Rillreach-Attempt-Id: a1", "Authorization: Bearer " + key}, header...)
	_, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n")
	require.NoError(t, err)
}

func (w *world) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", w.callerAddress)
	require.NoError(t, err, "a running entry does not accept connections")
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// assertNotCut asserts that the shutdown has not cut off an answer: it is complete, or it says that the request has
// not run.
func assertNotCut(t *testing.T, got answer, runs int) {
	t.Helper()
	require.NoError(t, got.err, "the answer was cut off")
	if got.status == http.StatusServiceUnavailable {
		assert.NotEmpty(t, got.header.Get("Retry-After"))
		assert.Zero(t, runs, "refused as not run, but it ran")
		return
	}
	assert.Equal(t, http.StatusOK, got.status)
	assert.Contains(t, got.body, "data: end")
}

func TestShutdown(t *testing.T) {
	t.Run("a late stream that cannot end in time is not cut off", func(t *testing.T) {
		t.Parallel()
		w, runner, stop := startForShutdown(t, slowEvents(2*time.Second))
		signalled := stop()
		time.Sleep(time.Until(signalled.Add(3 * time.Second)))
		got := w.send(t, "GET", "/stream/x", "")
		assertNotCut(t, got, len(runner.ReceivedRequests()))
	})
	t.Run("connections are accepted for as long as the process lives", func(t *testing.T) {
		t.Parallel()
		w, runner, stop := startForShutdown(t, slowEvents(3700*time.Millisecond))
		old := w.dial(t)
		w.sendGet(t, old, "/stream/old")
		w.eventually(t, func() bool { return len(runner.ReceivedRequests()) == 1 })
		signalled := stop()
		time.Sleep(time.Until(signalled.Add(3350 * time.Millisecond)))
		got := w.send(t, "GET", "/repeat/x", "")
		require.NoError(t, got.err)
		assert.True(t, got.closes)
		whole := readAnswer(t, old, "GET")
		require.NoError(t, whole.err, "a stream from before the shutdown is completed")
		assert.Contains(t, whole.body, "data: end")
	})
	t.Run("a request without an answer at the deadline gets one", func(t *testing.T) {
		t.Parallel()
		w, runner, stop := startForShutdown(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		conn := w.dial(t)
		w.sendGet(t, conn, "/once/x")
		w.eventually(t, func() bool { return len(runner.ReceivedRequests()) == 1 })
		stop()
		assertGatewayAnswer(t, readAnswer(t, conn, "GET"), http.StatusBadGateway)
	})
	t.Run("an open connection is still served, and told to close", func(t *testing.T) {
		t.Parallel()
		w, _, stop := startForShutdown(t, nil)
		conn := w.dial(t)
		w.sendGet(t, conn, "/repeat/x")
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		assert.False(t, resp.Close)
		stop()
		w.sendGet(t, conn, "/repeat/y")
		resp, err = http.ReadResponse(reader, nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.True(t, resp.Close)
	})
}

// startPastNoticePeriod starts an entry whose streams usually take the given time, and shuts it down. It returns once
// callers may know of the shutdown.
func startPastNoticePeriod(t *testing.T, typicalDuration time.Duration, runners ...*site.Runner) *world {
	t.Helper()
	config := configWithRoutes(
		1,
		routeConfig("stream", "streaming", "plain", jsonMap{"timeout_ms": 12000, "resumable": true}),
		routeConfig("flow", "streaming", "plain", jsonMap{"timeout_ms": 12000}),
	)
	w := startWorld(t, config, runners...)
	t.Cleanup(w.stop)
	for range 40 {
		w.gateway.answerTimes.observe("stream", typicalDuration)
		w.gateway.answerTimes.observe("flow", typicalDuration)
	}
	w.stop()
	w.eventually(t, w.gateway.shuttingDown.Load)
	time.Sleep(time.Until(w.gateway.shutdown.SignalTime.Add(w.gateway.shutdown.NoticePeriod)))
	return w
}

func TestStreamsBufferedDuringShutdown(t *testing.T) {
	t.Run("a stream that likely ends in time is sent complete, with its runner's seal", func(t *testing.T) {
		t.Parallel()
		w := startPastNoticePeriod(t, 300*time.Millisecond, &site.Runner{ID: "a", Handle: slowEvents(300 * time.Millisecond)})
		got := w.send(t, "GET", "/flow/x", "")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Contains(t, got.body, "data: end")
		assert.NotEmpty(t, got.header.Get("X-Rillreach-Response-Seal"))
		assert.NotEmpty(t, got.header.Get("Content-Length"))
	})
	t.Run("a resumable stream that breaks off restarts elsewhere without duplicate events", func(t *testing.T) {
		t.Parallel()
		var runs atomic.Int64
		breaksOnce := func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 1 {
				cutAfterEvents(4)(w, r)
				return
			}
			site.StreamEvents(w, r, 9, 0)
		}
		w := startPastNoticePeriod(t, 300*time.Millisecond, &site.Runner{ID: "a", Handle: breaksOnce}, &site.Runner{ID: "b", Handle: breaksOnce})
		got := w.send(t, "GET", "/stream/x", "")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(9), got.body)
	})
	t.Run("a non-resumable stream that breaks off gets a 502", func(t *testing.T) {
		t.Parallel()
		a, b := &site.Runner{ID: "a", Handle: cutAfterEvents(4)}, &site.Runner{ID: "b", Handle: cutAfterEvents(4)}
		w := startPastNoticePeriod(t, 300*time.Millisecond, a, b)
		assertGatewayAnswer(t, w.send(t, "GET", "/flow/x", ""), http.StatusBadGateway)
		assert.Equal(t, 1, len(a.ReceivedRequests())+len(b.ReceivedRequests()))
	})
	t.Run("a stream that likely takes longer than its caller's idle timeout is refused", func(t *testing.T) {
		t.Parallel()
		a := &site.Runner{ID: "a"}
		w := startPastNoticePeriod(t, 3*time.Second, a) // callers give up after 2.4 s
		assertGatewayAnswer(t, w.send(t, "GET", "/flow/x", ""), http.StatusServiceUnavailable)
		assert.Empty(t, a.ReceivedRequests())
	})
}

// A stream that starts just when the entry sends error responses to the requests that have no answer yet must be
// complete, or be replaced by an error response without any of its events.
func TestStreamStartsAtShutdownDeadline(t *testing.T) {
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
		site.StreamEvents(w, r, 1, 0)
	}}
	config := configWithRoutes(1, routeConfig("flow", "streaming", "plain", jsonMap{"timeout_ms": 60000}))
	config["services"] = []jsonMap{{"name": "plain", "max_connections": 6 * streams}} // this entry may use a sixth
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

// During a shutdown, the process exits as soon as no requests run. The server flushes an answer only after the request
// has ended, so that the entry has to flush it before.
func TestShutdownAnswerIsFlushed(t *testing.T) {
	for _, shuttingDown := range []bool{false, true} {
		t.Run(fmt.Sprint("shutting down: ", shuttingDown), func(t *testing.T) {
			g := &Gateway{}
			g.shuttingDown.Store(shuttingDown)
			recorder := httptest.NewRecorder()
			g.respond(newExchange(recorder, httptest.NewRequest(http.MethodGet, "/", http.NoBody)), http.StatusServiceUnavailable, "entry-stops", 0)
			assert.Equal(t, shuttingDown, recorder.Flushed)
		})
	}
}
