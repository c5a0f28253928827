package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/roster"
)

// shortWeightsBound bounds the use of replaced weights in these tests. Requests are sent well before it has passed.
const shortWeightsBound = 2500 * time.Millisecond

// queuedEngine is an engine at which requests wait until shortWeightsBound has passed, and start only then.
type queuedEngine struct {
	site.Engine

	// desiredSince is when the newer weights were requested, in Unix nanoseconds.
	desiredSince atomic.Int64
	waiting      atomic.Int64
	begun        atomic.Int64
	cancelled    atomic.Int64
}

func newQueuedEngine(id string) *queuedEngine {
	q := &queuedEngine{}
	q.ID, q.Model, q.Version = id, site.Model, 1
	q.Handle = q.wait
	return q
}

// wait holds a request until shortWeightsBound has passed, unless its connection is closed before.
func (q *queuedEngine) wait(w http.ResponseWriter, r *http.Request) {
	q.waiting.Add(1)
	for {
		select {
		case <-r.Context().Done():
			q.cancelled.Add(1)
			return
		case <-time.After(10 * time.Millisecond):
		}
		if desiredSince := q.desiredSince.Load(); desiredSince != 0 && time.Since(time.Unix(0, desiredSince)) > shortWeightsBound {
			q.begun.Add(1)
			site.StreamEvents(w, r, 9, 0)
			return
		}
	}
}

// newEngineStore returns an object store that configures routes to engines.
func newEngineStore() *site.Store {
	store := site.NewStore()
	store.Put("config", "main", site.NewConfig(
		1, []string{key},
		site.Route{Name: "prompt", Host: host, Kind: "streaming", Attempts: 2, Resumable: true, UsesEngines: true, Timeout: testTimeout},
		site.Route{Name: "flow", Host: host, Kind: "streaming", Attempts: 1, UsesEngines: true, Timeout: testTimeout},
	))
	return store
}

// startWithEngines starts an entry with engines, with version 1 of the weights desired.
func startWithEngines(t *testing.T, engines ...*site.Engine) *world {
	t.Helper()
	store := newEngineStore()
	store.Put("versions", site.Model, site.NewModelWeights(1))
	w := startWithWeightsBound(t, store, shortWeightsBound)
	w.awaitReady(t)
	for _, e := range engines {
		w.addEngine(t, e)
	}
	return w
}

// addEngine starts and lists an engine, and waits until the entry knows it.
func (w *world) addEngine(t *testing.T, e *site.Engine) {
	t.Helper()
	e.Start()
	t.Cleanup(e.Stop)
	w.store.Put("servers", e.ID, site.NewEngineRecord(e.Address(), "ready", e.LoadedVersion()))
	id := rillreach.InstanceID(e.ID)
	w.eventually(t, func() bool { return w.gateway.state.Roster.Find(id) != nil })
	w.gateway.state.Roster.Find(id).SetReport(roster.Report{ReceivedAt: time.Now().Add(testTimeout)}) // reported alive
}

// setDesiredWeights requests version 2, and waits until the entry knows of it.
func (w *world) setDesiredWeights(t *testing.T, q *queuedEngine) {
	t.Helper()
	q.desiredSince.Store(time.Now().UnixNano())
	w.store.Put("versions", site.Model, site.NewModelWeights(2))
	w.eventually(t, func() bool { return !w.gateway.state.ReplacedAt(site.Model, 1).IsZero() })
}

// sendPrompt sends a request with a prompt and returns the connection, from which the answer is still to be read.
func (w *world) sendPrompt(t *testing.T, path string) net.Conn {
	t.Helper()
	conn := w.dial(t)
	w.sendGet(t, conn, path, "X-Rillreach-Model: "+site.Model, "X-Rillreach-Token-Usage: 1460,80",
		"X-Rillreach-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	return conn
}

func assertCancelled(t *testing.T, q *queuedEngine) {
	t.Helper()
	assert.Zero(t, q.begun.Load(), "a request started on weights that were replaced longer ago than the bound")
	require.Eventually(t, func() bool { return q.cancelled.Load() == 1 }, testTimeout, time.Millisecond)
}

// A request that is sent in time may wait at its runner until the bound on replaced weights has passed. It must be
// cancelled there before, or it would start on weights that may no longer be used.
func TestRequestStartsOnReplacedWeights(t *testing.T) {
	t.Run("a non-resumable request gets an error response before", func(t *testing.T) {
		q := newQueuedEngine("old")
		w := startWithEngines(t, &q.Engine)
		defer w.stop()
		w.setDesiredWeights(t, q)
		assertGatewayAnswer(t, readAnswer(t, w.sendPrompt(t, "/flow/x"), http.MethodGet), http.StatusBadGateway)
		assertCancelled(t, q)
	})
	t.Run("a resumable request moves to a runner with the newest weights", func(t *testing.T) {
		q := newQueuedEngine("old")
		w := startWithEngines(t, &q.Engine)
		defer w.stop()
		w.setDesiredWeights(t, q)
		conn := w.sendPrompt(t, "/prompt/x")
		w.eventually(t, func() bool { return q.waiting.Load() == 1 })
		newest := &site.Engine{Model: site.Model, Version: 2}
		newest.ID, newest.Handle = "new", cutAfterEvents(0)
		w.addEngine(t, newest)
		got := readAnswer(t, conn, http.MethodGet)
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(9), got.body)
		assert.Len(t, newest.ReceivedRequests(), 1)
		assertCancelled(t, q)
	})
	t.Run("the newer weights are requested while the request waits", func(t *testing.T) {
		q := newQueuedEngine("old")
		w := startWithEngines(t, &q.Engine)
		defer w.stop()
		conn := w.sendPrompt(t, "/flow/x")
		w.eventually(t, func() bool { return q.waiting.Load() == 1 })
		w.setDesiredWeights(t, q)
		assertGatewayAnswer(t, readAnswer(t, conn, http.MethodGet), http.StatusBadGateway)
		assertCancelled(t, q)
	})
}

// An entry that has just started cannot know for how long the desired weights have been so. If no agent reports that,
// it has to assume that older weights may no longer be used.
func TestWeightsDesiredBeforeEntryStart(t *testing.T) {
	store := newEngineStore()
	store.Put("versions", site.Model, site.NewModelWeights(2))
	old := &site.Engine{Model: site.Model, Version: 1}
	old.ID, old.Handle = "old", cutAfterEvents(0)
	w := startWithWeightsBound(t, store, time.Minute)
	defer w.stop()
	w.awaitReady(t)
	w.addEngine(t, old)
	w.eventually(t, func() bool {
		return readAnswer(t, w.sendPrompt(t, "/prompt/x"), http.MethodGet).status == http.StatusServiceUnavailable
	})
}
