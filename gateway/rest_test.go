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
	// backoffDuration is the rest that a runner asks for, restTold how long after its word it may still get any number of requests, and restMost how many
	// may reach it between then and the end of the rest.
	backoffDuration  = 3 * time.Second
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
	// recoveryTimeout is how long after the end of its rest a runner is in use again at the latest.
	recoveryTimeout     = 2 * time.Second
	backoffSendInterval = 10 * time.Millisecond
)

// backoffRunner turns requests away once, with a rest, and counts what it gets after that.
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

// newBackoffRunner is a runner that refuses as not run, and answers otherwise.
func newBackoffRunner() *backoffRunner {
	return &backoffRunner{refuse: site.Refuse, answer: func(w http.ResponseWriter, req *http.Request) { site.Answer(w, req, "rested") }}
}

// refuseWithSeal is the refusal of a runner as an answer of its own.
func refuseWithSeal(w http.ResponseWriter, req *http.Request) {
	site.Seal(w, req)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// assertBackoffHonored has a load come while the runner rests, and asserts that next to nothing reaches it meanwhile and that it is in use again afterwards.
func assertBackoffHonored(t *testing.T, r *backoffRunner, entries []*world, send func(*world)) {
	t.Helper()
	stop := startLoad(backoffSendInterval, entries, send)
	defer stop()
	require.Eventually(t, func() bool { return r.arrivals.len() > 0 }, wait, time.Millisecond)
	r.refusing.Store(true)
	require.Eventually(t, func() bool { return r.refusedAt.Load() != 0 }, wait, time.Millisecond)
	asked := time.Unix(0, r.refusedAt.Load())
	time.Sleep(time.Until(asked.Add(backoffDuration + recoveryTimeout)))
	meanwhile, afterwards := 0, 0
	for _, after := range r.arrivals.elapsedSince(asked) {
		switch {
		case after >= backoffDuration:
			afterwards++
		case after >= backoffGrace:
			meanwhile++
		}
	}
	assert.LessOrEqual(t, meanwhile, maxDuringBackoff, "requests while it rests")
	assert.Greater(t, afterwards, maxDuringBackoff, "requests after its rest")
}

// TestRunnerRetryAfterIgnored: runners that had turned requests away and asked for rest got more before it was over, or nothing for long after it.
func TestRunnerRetryAfterIgnored(t *testing.T) {
	call := func(t *testing.T, path string) func(*world) {
		t.Helper()
		return func(w *world) { w.call(t, "POST", path, "body") }
	}
	t.Run("a plain runner beside a sound one", func(t *testing.T) {
		t.Parallel()
		r := newBackoffRunner()
		w := begin(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertBackoffHonored(t, r, []*world{w}, call(t, "/repeat/x"))
	})
	t.Run("one that says so in an answer with its seal", func(t *testing.T) {
		t.Parallel()
		r := newBackoffRunner()
		r.refuse = refuseWithSeal
		w := begin(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertBackoffHonored(t, r, []*world{w}, call(t, "/repeat/x"))
	})
	t.Run("a plain runner alone", func(t *testing.T) {
		t.Parallel()
		r := newBackoffRunner()
		w := begin(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle})
		defer w.stop()
		assertBackoffHonored(t, r, []*world{w}, call(t, "/once/x"))
	})
	t.Run("an engine", func(t *testing.T) {
		t.Parallel()
		r := newBackoffRunner()
		s := beginShared(t)
		s.addPromptRoute()
		s.engine.Handle = r.handle
		var n atomic.Int64
		assertBackoffHonored(t, r, s.startEntries(t, 1), func(w *world) { read(t, w.prompt(t, fmt.Sprint("/prompt/", n.Add(1))), "GET") })
	})
}

// TestRequestHeldWhileAllRunnersBackOff: a request that nobody takes for seconds is refused at once, with the time until somebody does.
func TestRequestHeldWhileAllRunnersBackOff(t *testing.T) {
	r := newBackoffRunner()
	w := begin(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle})
	defer w.stop()
	r.refusing.Store(true)
	for range 3 {
		got := w.call(t, "POST", "/once/x", "body")
		assertOwn(t, got, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Greater(t, after, (backoffDuration - time.Second).Seconds(), "what was left of the rest when it was refused")
	}
	assert.Equal(t, 1, r.arrivals.len())
}
