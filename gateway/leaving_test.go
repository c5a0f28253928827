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
	// leavingBound is how long after a runner has stated that it is leaving an entry may still send it requests.
	// leavingDuration is how long the test sends requests after that.
	leavingBound        = 2 * time.Second
	leavingDuration     = time.Second
	leavingSendInterval = 10 * time.Millisecond
)

// leavingRunner states in its answers, and nowhere else, that it is leaving. It records the arrival of requests.
type leavingRunner struct {
	leaving     atomic.Bool
	announcedAt atomic.Int64
	arrivals    arrivals
	answer      http.HandlerFunc
}

func (l *leavingRunner) handle(w http.ResponseWriter, req *http.Request) {
	l.arrivals.add()
	if l.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
		l.announcedAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	l.answer(w, req)
}

// assertNoLateRequests sends requests while the runner is leaving, and asserts that none reach it after leavingBound.
func assertNoLateRequests(t *testing.T, l *leavingRunner, w *world, send func(*world), meanwhile func()) {
	t.Helper()
	stop := startLoad(leavingSendInterval, []*world{w}, send)
	defer stop()
	require.Eventually(t, func() bool { return l.arrivals.len() > 0 }, testTimeout, time.Millisecond)
	l.leaving.Store(true)
	require.Eventually(t, func() bool { return l.announcedAt.Load() != 0 }, testTimeout, time.Millisecond)
	meanwhile()
	time.Sleep(leavingBound + leavingDuration)
	late := 0
	for _, elapsed := range l.arrivals.elapsedSince(time.Unix(0, l.announcedAt.Load())) {
		if elapsed > leavingBound {
			late++
		}
	}
	assert.Zero(t, late, "requests that arrived after the bound")
}

// Guards against requests to a runner whose answers state that it is leaving although its record in the store does not.
func TestRequestsSentToLeavingRunner(t *testing.T) {
	answer := func(w http.ResponseWriter, req *http.Request) { site.WriteResponse(w, req, "leaves") }
	call := func(t *testing.T, path string) func(*world) {
		t.Helper()
		return func(w *world) { w.send(t, "POST", path, "body") }
	}
	t.Run("stated in an answer", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: answer}
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "leaves", Handle: l.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertNoLateRequests(t, &l, w, call(t, "/once/x"), func() {})
	})
	t.Run("stated in a refusal", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: site.WriteNotExecuted}
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "leaves", Handle: l.handle}, &site.Runner{ID: "sound"})
		defer w.stop()
		assertNoLateRequests(t, &l, w, call(t, "/repeat/x"), func() {})
	})
	t.Run("stated in the headers of a stream", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: func(w http.ResponseWriter, req *http.Request) { site.StreamEvents(w, req, 2, 0) }}
		sound := &site.Runner{ID: "sound", Handle: func(w http.ResponseWriter, req *http.Request) { site.StreamEvents(w, req, 2, 0) }}
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "leaves", Handle: l.handle}, sound)
		defer w.stop()
		assertNoLateRequests(t, &l, w, call(t, "/flow/x"), func() {})
	})
	t.Run("stated before a record that lists it as ready", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: answer}
		leaving := &site.Runner{ID: "leaves", Handle: l.handle}
		w := startWorld(t, defaultConfig(), leaving, &site.Runner{ID: "sound"})
		defer w.stop()
		assertNoLateRequests(t, &l, w, call(t, "/once/x"), func() {
			again := runnerRecord(leaving, "ready")
			again["slots"] = 7
			w.store.Put("servers", leaving.ID, again)
		})
	})
	t.Run("a later process of the runner is used", func(t *testing.T) {
		t.Parallel()
		l := leavingRunner{answer: answer}
		leaving := &site.Runner{ID: "leaves", Handle: l.handle}
		w := startWorld(t, defaultConfig(), leaving)
		defer w.stop()
		listed := runnerRecord(leaving, "ready")
		listed["born"] = earlierGeneration
		w.store.Put("servers", leaving.ID, listed)
		l.leaving.Store(true)
		w.eventually(t, func() bool {
			w.send(t, "POST", "/once/x", "body")
			return w.gateway.state.Roster.Find("leaves").View(time.Now()).Leaving
		})
		l.leaving.Store(false)
		restarted := runnerRecord(leaving, "ready")
		restarted["born"] = laterGeneration
		w.store.Put("servers", leaving.ID, restarted)
		w.eventually(t, func() bool { return w.send(t, "POST", "/once/x", "body").status == http.StatusOK })
	})
}
