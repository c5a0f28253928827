package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// backoffDuration is the Retry-After that the runner sends. After backoffGrace at most maxDuringBackoff requests
	// may reach it until the backoff ends.
	backoffDuration  = 3 * time.Second
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
	// recoveryTimeout is how long after the end of its backoff a runner must be in use again.
	recoveryTimeout     = 2 * time.Second
	backoffSendInterval = 10 * time.Millisecond
)

// backoffRunner refuses one request with a Retry-After header and records the arrival of requests.
type backoffRunner struct {
	refusing  atomic.Bool
	refusedAt atomic.Int64
	arrivals  arrivals
	refuse    http.HandlerFunc
	answer    http.HandlerFunc
}

func (r *backoffRunner) handle(w http.ResponseWriter, req *http.Request) {
	r.arrivals.add()
	if r.refusing.CompareAndSwap(true, false) {
		w.Header().Set("Retry-After", strconv.Itoa(int(backoffDuration.Seconds())))
		r.refusedAt.Store(time.Now().UnixNano())
		r.refuse(w, req)
		return
	}
	r.answer(w, req)
}

// newBackoffRunner returns a runner that refuses a request as not run, and answers otherwise.
func newBackoffRunner() *backoffRunner {
	return &backoffRunner{refuse: site.WriteNotExecuted, answer: func(w http.ResponseWriter, req *http.Request) { site.WriteResponse(w, req, "rested") }}
}

// refuseWithSeal refuses a request with the seal of an answer that the runner made itself.
func refuseWithSeal(w http.ResponseWriter, req *http.Request) {
	site.SetSealHeaders(w, req)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// assertBackoffHonored sends requests while the runner is in backoff, and asserts that almost none reach it meanwhile
// and that it is in use again afterwards.
func assertBackoffHonored(t *testing.T, r *backoffRunner, entries []*world, send func(*world)) {
	t.Helper()
	stop := startLoad(backoffSendInterval, entries, send)
	defer stop()
	require.Eventually(t, func() bool { return r.arrivals.len() > 0 }, testTimeout, time.Millisecond)
	r.refusing.Store(true)
	require.Eventually(t, func() bool { return r.refusedAt.Load() != 0 }, testTimeout, time.Millisecond)
	refusedAt := time.Unix(0, r.refusedAt.Load())
	time.Sleep(time.Until(refusedAt.Add(backoffDuration + recoveryTimeout)))
	during, afterwards := 0, 0
	for _, elapsed := range r.arrivals.elapsedSince(refusedAt) {
		switch {
		case elapsed >= backoffDuration:
			afterwards++
		case elapsed >= backoffGrace:
			during++
		}
	}
	assert.LessOrEqual(t, during, maxDuringBackoff, "requests during the backoff")
	assert.Greater(t, afterwards, maxDuringBackoff, "requests after the backoff")
}

// Guards against requests to a runner before its backoff is over, and against a runner that is unused long after that.
func TestRunnerRetryAfterIgnored(t *testing.T) {
	call := func(t *testing.T, path string) func(*world) {
		t.Helper()
		return func(w *world) { w.send(t, "POST", path, "body") }
	}
	t.Run("a plain runner beside an available one", func(t *testing.T) {
		t.Parallel()
		r := newBackoffRunner()
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertBackoffHonored(t, r, []*world{w}, call(t, "/repeat/x"))
	})
	t.Run("a plain runner that refuses with its seal", func(t *testing.T) {
		t.Parallel()
		r := newBackoffRunner()
		r.refuse = refuseWithSeal
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertBackoffHonored(t, r, []*world{w}, call(t, "/repeat/x"))
	})
	t.Run("the only plain runner", func(t *testing.T) {
		t.Parallel()
		r := newBackoffRunner()
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle})
		defer w.stop()
		assertBackoffHonored(t, r, []*world{w}, call(t, "/once/x"))
	})
	t.Run("an engine", func(t *testing.T) {
		t.Parallel()
		r := newBackoffRunner()
		s := startSharedSite(t)
		s.addPromptRoute()
		s.engine.Handle = r.handle
		var n atomic.Int64
		assertBackoffHonored(t, r, s.startEntries(t, 1), func(w *world) { readAnswer(t, w.sendPrompt(t, fmt.Sprint("/prompt/", n.Add(1))), "GET") })
	})
}

// Guards against holding a request that no runner will accept for seconds. It is refused at once with the remaining
// time.
func TestRequestHeldWhileAllRunnersBackOff(t *testing.T) {
	r := newBackoffRunner()
	w := startWorld(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle})
	defer w.stop()
	r.refusing.Store(true)
	for range 3 {
		got := w.send(t, "POST", "/once/x", "body")
		assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Greater(t, after, (backoffDuration - time.Second).Seconds(), "Retry-After is shorter than the remaining backoff")
	}
	assert.Equal(t, 1, r.arrivals.len())
}
