package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// unsealed returns a handler that runs the request, and whose response has everything of an answer but the runner's seal.
func unsealed(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Rillreach-Attempt-Id", site.RequestID(r))
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func unsealedBy(status int, contentType, body string) func(*site.Runner) http.HandlerFunc {
	return func(*site.Runner) http.HandlerFunc { return unsealed(status, contentType, body) }
}

// runsOf returns how many requests the runners have received.
func runsOf(runners []*site.Runner) int {
	runs := 0
	for _, r := range runners {
		runs += len(r.ReceivedRequests())
	}
	return runs
}

// Guards against a response without a runner's seal that reaches a caller as the runner's answer.
func TestUnsealedAnswerReachesCaller(t *testing.T) {
	for name, body := range map[string]string{"small": "wrong bytes", "large": largeBody, "empty": ""} {
		t.Run("a "+name+" answer to a request that must not run twice becomes a failure", func(t *testing.T) {
			runners := firstOf(unsealedBy(http.StatusOK, "text/plain", body), completeAnswer("second"))
			w := startWorld(t, defaultConfig(), runners...)
			defer w.stop()
			assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "question"), http.StatusBadGateway)
			assert.Equal(t, 1, runsOf(runners))
		})
		t.Run("a "+name+" answer to a request that may be repeated is replaced by another runner's", func(t *testing.T) {
			w := startWorld(t, defaultConfig(), firstOf(unsealedBy(http.StatusOK, "text/plain", body), completeAnswer("second"))...)
			defer w.stop()
			assertBody(t, w.send(t, "POST", "/repeat/x", "question"), "second")
		})
	}
	t.Run("a stream that must not run twice becomes a failure", func(t *testing.T) {
		runners := firstOf(unsealedBy(http.StatusOK, site.EventStream, eventsUpTo(9)), completeStream)
		w := startWorld(t, defaultConfig(), runners...)
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "POST", "/flow/x", "prompt"), http.StatusBadGateway)
		assert.Equal(t, 1, runsOf(runners))
	})
	t.Run("a resumable stream is another runner's", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), firstOf(unsealedBy(http.StatusOK, site.EventStream, "id: 1\ndata: wrong\n\n"), completeStream)...)
		defer w.stop()
		assertBody(t, w.send(t, "POST", "/stream/x", "prompt"), eventsUpTo(9))
	})
	t.Run("an answer that ends with its connection becomes a failure", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if !assert.NoError(t, err) {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: %s\r\n\r\nwrong bytes", site.RequestID(r))
			_ = conn.Close()
		}})
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "question"), http.StatusBadGateway)
	})
}

// Guards against a status that promises that nothing has run, or that states a mistake of the caller, and that is taken
// from a response without a runner's seal.
func TestUnsealedStatusReachesCaller(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			for _, path := range []string{"/once/x", "/flow/x"} {
				runners := firstOf(unsealedBy(status, "text/plain", "wrong bytes"), completeAnswer("second"))
				w := startWorld(t, defaultConfig(), runners...)
				assertGatewayAnswer(t, w.send(t, "POST", path, "question"), http.StatusBadGateway)
				assert.Equal(t, 1, runsOf(runners))
				w.stop()
			}
			w := startWorld(t, defaultConfig(), firstOf(unsealedBy(status, "text/plain", "wrong bytes"), completeAnswer("second"))...)
			defer w.stop()
			assertBody(t, w.send(t, "POST", "/repeat/x", "question"), "second")
		})
	}
}

// Guards against sending a request again that a runner has answered with a success, since a header denies that it has run.
func TestSuccessTakenForRefusal(t *testing.T) {
	runners := []*site.Runner{{ID: "a"}, {ID: "b"}}
	for _, r := range runners {
		r.Handle = func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("X-Rillreach-Not-Executed", "1")
			site.WriteResponse(w, req, "done")
		}
	}
	w := startWorld(t, defaultConfig(), runners...)
	defer w.stop()
	assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "question"), http.StatusBadGateway)
	assert.Equal(t, 1, runsOf(runners))
}

// Guards against a second attempt whose unsealed response replaces the answer of the first runner.
func TestUnsealedHedgeReplacesRunner(t *testing.T) {
	t.Run("a silent stream that goes on", func(t *testing.T) {
		hedged := make(chan struct{})
		w := silentWorld(t, func(w http.ResponseWriter, r *http.Request) {
			site.StreamEvents(w, r, 4, 0)
			<-hedged
			time.Sleep(minSilence)
			r.Header.Set("Last-Event-Id", "4")
			site.StreamEvents(w, r, streamEvents, 0)
		}, func(w http.ResponseWriter, r *http.Request) {
			unsealed(http.StatusOK, site.EventStream, "id: 5\ndata: wrong\n\n")(w, r)
			close(hedged)
		})
		defer w.stop()
		assertBody(t, w.send(t, "POST", "/stream/x", "prompt"), eventsUpTo(streamEvents))
	})
	t.Run("a late answer", func(t *testing.T) {
		hedged := make(chan struct{})
		w := silentWorld(t, func(w http.ResponseWriter, r *http.Request) {
			<-hedged
			time.Sleep(minSilence)
			site.WriteResponse(w, r, "late and whole")
		}, func(w http.ResponseWriter, r *http.Request) {
			unsealed(http.StatusOK, "text/plain", "wrong bytes")(w, r)
			close(hedged)
		})
		defer w.stop()
		assertBody(t, w.send(t, "GET", "/repeat/x", ""), "late and whole")
	})
	t.Run("a stream whose runner is about to load weights", func(t *testing.T) {
		w, loads, other := loadingWorld(t, unsealed(http.StatusOK, site.EventStream, "id: 6\ndata: wrong\n\n"))
		defer w.stop()
		assertStreamCompleteWithHedge(t, w, loads, other)
	})
}

// Guards against continuing a stream with the events of an unsealed response.
func TestStreamContinuedWithUnsealedEvents(t *testing.T) {
	w := startWorld(t, defaultConfig(), firstOf(
		func(*site.Runner) http.HandlerFunc { return cutAfterEvents(4) },
		unsealedBy(http.StatusOK, site.EventStream, "id: 5\ndata: wrong\n\n"),
	)...)
	defer w.stop()
	got := w.send(t, "POST", "/stream/x", "prompt")
	require.Error(t, got.err, "the answer looks complete")
	assert.Equal(t, eventsUpTo(4), got.body)
}

// Guards against leaving a runner out, or limiting the requests to it, by what an unsealed response says of it.
func TestUnsealedResponseChangesRunnerState(t *testing.T) {
	r := &site.Runner{ID: "r", Handle: func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Server-Limit", "0.001")
		unsealed(http.StatusOK, "text/plain", "wrong bytes")(w, req)
	}}
	w := startWorld(t, defaultConfig(), r)
	defer w.stop()
	assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "question"), http.StatusBadGateway)
	view := w.gateway.state.Roster.Find("r").View(time.Now())
	assert.False(t, view.Leaving)
	assert.False(t, view.Limit.Bounded)
	assert.True(t, view.Ejected, "the runner is not avoided")
	assert.Positive(t, view.FailureRate, "the runner is chosen like others once another request succeeds there")
}

// Guards against reusing a connection after an unsealed response, whose rest may be anything.
func TestConnectionReusedAfterUnsealedResponse(t *testing.T) {
	r := &site.Runner{ID: "r", Handle: unsealed(http.StatusOK, "text/plain", "")}
	w := startWorld(t, defaultConfig(), r)
	defer w.stop()
	for range 2 {
		w.send(t, "POST", "/once/x", "question")
	}
	assert.EqualValues(t, 2, w.gateway.pool.Opened.Load())
}
