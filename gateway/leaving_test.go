package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// leavingBound is how long after its word an entry that was told may still send requests to a runner that leaves, leavingFor how long the load
	// goes on after that.
	leavingBound = 2 * time.Second
	leavingFor   = time.Second
	leavingEvery = 10 * time.Millisecond
)

// leavingRunner says in its answers alone that it leaves, once it does, and counts what it gets.
type leavingRunner struct {
	leaves  atomic.Bool
	told    atomic.Int64
	reached arrivals
	answer  http.HandlerFunc
}

func (l *leavingRunner) handle(w http.ResponseWriter, req *http.Request) {
	l.reached.add()
	if l.leaves.Load() {
		w.Header().Set("Server-Leaving", "1")
		l.told.CompareAndSwap(0, time.Now().UnixNano())
	}
	l.answer(w, req)
}

// assertLeft has a load come while the runner leaves, and asserts that nothing reaches it once the bound is over.
func assertLeft(t *testing.T, l *leavingRunner, w *world, send func(*world), meanwhile func()) {
	t.Helper()
	stop := load(leavingEvery, []*world{w}, send)
	defer stop()
	require.Eventually(t, func() bool { return l.reached.len() > 0 }, testTimeout, time.Millisecond)
	l.leaves.Store(true)
	require.Eventually(t, func() bool { return l.told.Load() != 0 }, testTimeout, time.Millisecond)
	meanwhile()
	time.Sleep(leavingBound + leavingFor)
	late := 0
	for _, after := range l.reached.since(time.Unix(0, l.told.Load())) {
		if after > leavingBound {
			late++
		}
	}
	assert.Zero(t, late, "requests that reached it after the bound")
}

// TestNothingReachesRunnerThatSaysItLeaves: requests went on to a runner whose answers said that it leaves while the store's record did not.
func TestNothingReachesRunnerThatSaysItLeaves(t *testing.T) {
	whole := func(w http.ResponseWriter, req *http.Request) { site.Answer(w, req, "leaves") }
	call := func(t *testing.T, path string) func(*world) {
		t.Helper()
		return func(w *world) { w.send(t, "POST", path, "body") }
	}
	t.Run("by its answers", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: whole}
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "leaves", Handle: l.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertLeft(t, &l, w, call(t, "/once/x"), func() {})
	})
	t.Run("by a refusal", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: site.Refuse}
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "leaves", Handle: l.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertLeft(t, &l, w, call(t, "/repeat/x"), func() {})
	})
	t.Run("by the head of a stream", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: func(w http.ResponseWriter, req *http.Request) { site.Events(w, req, 2, 0) }}
		sound := &site.Runner{ID: "sound", Handle: func(w http.ResponseWriter, req *http.Request) { site.Events(w, req, 2, 0) }}
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "leaves", Handle: l.handle}, sound)
		defer w.stop()
		assertLeft(t, &l, w, call(t, "/flow/x"), func() {})
	})
	t.Run("though a record says after that that it is ready", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: whole}
		leaving := &site.Runner{ID: "leaves", Handle: l.handle}
		w := startWorld(t, defaultConfig(), leaving, &site.Runner{ID: "sound"})
		defer w.stop()
		assertLeft(t, &l, w, call(t, "/once/x"), func() {
			again := runnerRecord(leaving, "ready")
			again["slots"] = 7
			w.store.Put("servers", leaving.ID, again)
		})
	})
	t.Run("and a later run of it is used", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: whole}
		leaving := &site.Runner{ID: "leaves", Handle: l.handle}
		w := startWorld(t, defaultConfig(), leaving)
		defer w.stop()
		listed := runnerRecord(leaving, "ready")
		listed["born"] = earlier
		w.store.Put("servers", leaving.ID, listed)
		l.leaves.Store(true)
		w.eventually(t, func() bool {
			w.send(t, "POST", "/once/x", "body")
			return w.gateway.state.Roster.Find("leaves").View(time.Now()).Leaving
		})
		l.leaves.Store(false)
		restarted := runnerRecord(leaving, "ready")
		restarted["born"] = later
		w.store.Put("servers", leaving.ID, restarted)
		w.eventually(t, func() bool { return w.send(t, "POST", "/once/x", "body").status == http.StatusOK })
	})
}
