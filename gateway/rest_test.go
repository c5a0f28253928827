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
	// restFor is the rest that a runner asks for, restTold how long after its word it may still get any number of requests, and restMost how many
	// may reach it between then and the end of the rest.
	restFor  = 3 * time.Second
	restTold = 500 * time.Millisecond
	restMost = 2
	// restBack is how long after the end of its rest a runner is in use again at the latest.
	restBack  = 2 * time.Second
	restEvery = 10 * time.Millisecond
)

// restingRunner turns requests away once, with a rest, and counts what it gets after that.
type restingRunner struct {
	asks    atomic.Bool
	asked   atomic.Int64
	reached arrivals
	refuse  http.HandlerFunc
	answer  http.HandlerFunc
}

func (r *restingRunner) handle(w http.ResponseWriter, req *http.Request) {
	r.reached.add()
	if r.asks.CompareAndSwap(true, false) {
		w.Header().Set("Retry-After", strconv.Itoa(int(restFor.Seconds())))
		r.asked.Store(time.Now().UnixNano())
		r.refuse(w, req)
		return
	}
	r.answer(w, req)
}

// newResting is a runner that refuses as not run, and answers otherwise.
func newResting() *restingRunner {
	return &restingRunner{refuse: site.Refuse, answer: func(w http.ResponseWriter, req *http.Request) { site.Answer(w, req, "rested") }}
}

// refuseSealed is the refusal of a runner as an answer of its own.
func refuseSealed(w http.ResponseWriter, req *http.Request) {
	site.Seal(w, req)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// assertRested has a load come while the runner rests, and asserts that next to nothing reaches it meanwhile and that it is in use again afterwards.
func assertRested(t *testing.T, r *restingRunner, entries []*world, send func(*world)) {
	t.Helper()
	stop := load(restEvery, entries, send)
	defer stop()
	require.Eventually(t, func() bool { return r.reached.len() > 0 }, testTimeout, time.Millisecond)
	r.asks.Store(true)
	require.Eventually(t, func() bool { return r.asked.Load() != 0 }, testTimeout, time.Millisecond)
	asked := time.Unix(0, r.asked.Load())
	time.Sleep(time.Until(asked.Add(restFor + restBack)))
	meanwhile, afterwards := 0, 0
	for _, after := range r.reached.since(asked) {
		switch {
		case after >= restFor:
			afterwards++
		case after >= restTold:
			meanwhile++
		}
	}
	assert.LessOrEqual(t, meanwhile, restMost, "requests while it rests")
	assert.Greater(t, afterwards, restMost, "requests after its rest")
}

// TestRestOfRunnerIsKept: runners that had turned requests away and asked for rest got more before it was over, or nothing for long after it.
func TestRestOfRunnerIsKept(t *testing.T) {
	call := func(t *testing.T, path string) func(*world) {
		t.Helper()
		return func(w *world) { w.send(t, "POST", path, "body") }
	}
	t.Run("a plain runner beside a sound one", func(t *testing.T) {
		t.Parallel()
		r := newResting()
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertRested(t, r, []*world{w}, call(t, "/repeat/x"))
	})
	t.Run("one that says so in an answer with its seal", func(t *testing.T) {
		t.Parallel()
		r := newResting()
		r.refuse = refuseSealed
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertRested(t, r, []*world{w}, call(t, "/repeat/x"))
	})
	t.Run("a plain runner alone", func(t *testing.T) {
		t.Parallel()
		r := newResting()
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle})
		defer w.stop()
		assertRested(t, r, []*world{w}, call(t, "/once/x"))
	})
	t.Run("an engine", func(t *testing.T) {
		t.Parallel()
		r := newResting()
		s := startSharedSite(t)
		s.withPrompts()
		s.engine.Handle = r.handle
		var n atomic.Int64
		assertRested(t, r, s.entries(t, 1), func(w *world) { readAnswer(t, w.sendPrompt(t, fmt.Sprint("/prompt/", n.Add(1))), "GET") })
	})
}

// TestRefusalWhileAllRest: a request that nobody takes for seconds is refused at once, with the time until somebody does.
func TestRefusalWhileAllRest(t *testing.T) {
	r := newResting()
	w := startWorld(t, defaultConfig(), &site.Runner{ID: "rests", Handle: r.handle})
	defer w.stop()
	r.asks.Store(true)
	for range 3 {
		got := w.send(t, "POST", "/once/x", "body")
		assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Greater(t, after, (restFor - time.Second).Seconds(), "what was left of the rest when it was refused")
	}
	assert.Equal(t, 1, r.reached.len())
}
