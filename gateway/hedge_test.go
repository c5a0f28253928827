package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/roster"
)

// Guards against closing a stream because its runner is about to load weights before another runner has accepted it.
// The other one may have started a load that the entry does not know of yet. If it refuses the last attempt that the
// route allows, the caller's answer is cut although the first runner was still answering.
func TestStreamCutBeforeHedgeAnswers(t *testing.T) {
	t.Run("the other runner refuses", func(t *testing.T) {
		w, loads, other := loadingWorld(t, site.WriteNotExecuted)
		defer w.stop()
		assertStreamCompleteWithHedge(t, w, loads, other)
	})
	t.Run("the other runner disconnects", func(t *testing.T) {
		w, loads, other := loadingWorld(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		defer w.stop()
		assertStreamCompleteWithHedge(t, w, loads, other)
	})
	t.Run("the other runner refuses after a delay", func(t *testing.T) {
		w, loads, other := loadingWorld(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(4 * eventInterval)
			site.WriteNotExecuted(w, r)
		})
		defer w.stop()
		assertStreamCompleteWithHedge(t, w, loads, other)
	})
	t.Run("the other runner continues after the last event that the caller has", func(t *testing.T) {
		w, loads, other := loadingWorld(t, func(w http.ResponseWriter, r *http.Request) { site.StreamEvents(w, r, streamEvents, 0) })
		defer w.stop()
		assertStreamCompleteWithHedge(t, w, loads, other)
	})
}

// Guards against closing the stream of a silent runner before another runner has accepted it. If that one refuses and
// the first runner continues after a pause, no attempt is left to receive its answer.
func TestSilentRunnerDroppedBeforeHedgeAnswers(t *testing.T) {
	pauseStream := func(w http.ResponseWriter, r *http.Request) {
		site.StreamEvents(w, r, 4, 0)
		select {
		case <-time.After(4 * minSilence):
		case <-r.Context().Done():
			return
		}
		r.Header.Set("Last-Event-Id", "4")
		site.StreamEvents(w, r, streamEvents, 0)
	}
	answerLate := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(4 * minSilence):
			site.WriteResponse(w, r, "late and whole")
		case <-r.Context().Done():
		}
	}
	for _, other := range []struct {
		name    string
		answers http.HandlerFunc
	}{
		{"the other runner refuses", site.WriteNotExecuted},
		{"the other runner disconnects", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	} {
		t.Run("a stream and "+other.name, func(t *testing.T) {
			w := silentWorld(t, pauseStream, other.answers)
			defer w.stop()
			got := w.send(t, "POST", "/stream/x", "prompt")
			require.NoError(t, got.err, "the answer of a slow runner was cut")
			assert.Equal(t, eventsUpTo(streamEvents), got.body)
		})
		t.Run("a request without an answer so far and "+other.name, func(t *testing.T) {
			w := silentWorld(t, answerLate, other.answers)
			defer w.stop()
			got := w.send(t, "GET", "/repeat/x", "")
			require.NoError(t, got.err)
			assert.Equal(t, "late and whole", got.body)
		})
	}
}

// Guards against hedges that hold capacity at their runner after the request has ended or no longer needs them.
func TestHedgeNotCancelled(t *testing.T) {
	released := make(chan struct{}, 2)
	holdRequest := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		released <- struct{}{}
	}
	assertReleased := func(t *testing.T, runners int) {
		t.Helper()
		for range runners {
			select {
			case <-released:
			case <-time.After(testTimeout):
				t.Fatal("a runner is still working on the request")
			}
		}
	}
	t.Run("the first answer is completed first", func(t *testing.T) {
		w, loads, other := loadingWorld(t, holdRequest)
		defer w.stop()
		assertStreamCompleteWithHedge(t, w, loads, other)
		assertReleased(t, 1)
	})
	t.Run("the hedge exceeds its timeout", func(t *testing.T) {
		w, loads, _ := loadingWorld(t, holdRequest)
		defer w.stop()
		goOn := make(chan struct{})
		loads.Handle = pauseAfterFifthEvent(w, goOn)
		conn := w.sendPrompt(t, "/prompt/x")
		assertReleased(t, 1)
		close(goOn)
		got := readAnswer(t, conn, "POST")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(streamEvents), got.body)
	})
	t.Run("the caller disconnects", func(t *testing.T) {
		var asked atomic.Int64
		w := silentWorld(t, holdRequest, func(rw http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			holdRequest(rw, r)
		})
		defer w.stop()
		conn := w.dial(t)
		w.sendGet(t, conn, "/stream/x")
		w.eventually(t, func() bool { return asked.Load() == 1 })
		require.NoError(t, conn.Close())
		assertReleased(t, 2)
	})
}

// Guards against a hedge that the route or the retry budget does not allow, and against a second one on a working
// runner.
func TestHedgeExceedsLimits(t *testing.T) {
	t.Run("there is no second hedge after a refusal", func(t *testing.T) {
		w, loads, other := loadingWorld(t, site.WriteNotExecuted)
		defer w.stop()
		third := &site.Engine{Model: site.Model, Version: 1}
		third.ID, third.Handle = "third", site.WriteNotExecuted
		w.addEngine(t, third)
		setReport(w, "third", deployment.Load{Running: 60, UsedTokens: 3000})
		got := readAnswer(t, w.sendPrompt(t, "/prompt/x"), "POST")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(streamEvents), got.body)
		assert.Len(t, loads.ReceivedRequests(), 1)
		assert.LessOrEqual(t, len(other.ReceivedRequests())+len(third.ReceivedRequests()), 1, "the route allows two runners")
	})
	t.Run("there is no hedge once the retry budget is used up", func(t *testing.T) {
		w, loads, other := loadingWorld(t, site.WriteNotExecuted)
		defer w.stop()
		for w.gateway.budgets.Reserve(w.gateway.Clock.Now(), "e") != nil {
			continue
		}
		got := readAnswer(t, w.sendPrompt(t, "/prompt/x"), "POST")
		require.NoError(t, got.err)
		assert.Len(t, loads.ReceivedRequests(), 1)
		assert.Empty(t, other.ReceivedRequests())
	})
	t.Run("there is no hedge for a request that must not run twice", func(t *testing.T) {
		answerLate := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(3 * minSilence)
			site.WriteResponse(w, r, "once")
		}
		var second atomic.Int64
		w := silentWorld(t, answerLate, func(http.ResponseWriter, *http.Request) { second.Add(1) })
		defer w.stop()
		got := w.send(t, "POST", "/once/x", "order")
		require.NoError(t, got.err)
		assert.Equal(t, "once", got.body)
		assert.Zero(t, second.Load())
	})
}

// Guards against a new connection for each request, which costs the runner one of its connections and the caller a
// round trip.
func TestConnectionNotReused(t *testing.T) {
	w := startWorld(t, defaultConfig(), &site.Runner{ID: "a"})
	defer w.stop()
	for range 5 {
		require.NoError(t, w.send(t, "GET", "/repeat/x", "").err)
		require.NoError(t, w.send(t, "POST", "/once/x", "order").err)
	}
	assert.Equal(t, int64(1), w.gateway.pool.Opened.Load(), "each request opened a connection")
}

const (
	// streamEvents is the number of events in the streams of these tests.
	streamEvents = 9
	// eventInterval is the interval between events of a runner that is about to load weights.
	eventInterval = 40 * time.Millisecond
)

// loadingWorld is an entry with two engines. The first reports a pending weight load after the fourth event of its
// stream but completes the stream. The other one reports room and answers with the given handler.
func loadingWorld(t *testing.T, answers http.HandlerFunc) (w *world, loads, other *site.Engine) {
	t.Helper()
	loads = &site.Engine{Model: site.Model, Version: 1}
	loads.ID = "loads"
	other = &site.Engine{Model: site.Model, Version: 1}
	other.ID = "other"
	other.Handle = answers
	loads.Handle = func(rw http.ResponseWriter, r *http.Request) {
		site.StreamEvents(rw, r, 4, 0)
		setReport(w, "loads", deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true})
		for last := 5; last <= streamEvents; last++ {
			select {
			case <-time.After(eventInterval):
			case <-r.Context().Done():
				return
			}
			r.Header.Set("Last-Event-Id", site.EventID(last-1))
			site.StreamEvents(rw, r, last, 0)
		}
	}
	w = startWithEngines(t, loads, other)
	setReport(w, "other", deployment.Load{Running: 60, UsedTokens: 3000})
	return w, loads, other
}

// pauseAfterFifthEvent returns a handler that reports a pending weight load after the fourth event of a stream, and
// pauses after the fifth event until goOn is closed.
func pauseAfterFifthEvent(w *world, goOn <-chan struct{}) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		site.StreamEvents(rw, r, 4, 0)
		setReport(w, "loads", deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true})
		r.Header.Set("Last-Event-Id", "4")
		time.Sleep(eventInterval)
		site.StreamEvents(rw, r, 5, 0)
		<-goOn
		r.Header.Set("Last-Event-Id", "5")
		site.StreamEvents(rw, r, streamEvents, 0)
	}
}

func setReport(w *world, id rillreach.InstanceID, load deployment.Load) {
	w.gateway.state.Roster.Find(id).SetReport(roster.Report{Load: load, ReceivedAt: time.Now().Add(testTimeout)})
}

// assertStreamCompleteWithHedge asserts that a stream from the first engine is complete and that the other was tried.
func assertStreamCompleteWithHedge(t *testing.T, w *world, loads, other *site.Engine) {
	t.Helper()
	got := readAnswer(t, w.sendPrompt(t, "/prompt/x"), "POST")
	require.NoError(t, got.err, "the answer was cut although its runner was still answering")
	assert.Equal(t, eventsUpTo(streamEvents), got.body)
	assert.Len(t, loads.ReceivedRequests(), 1)
	require.Len(t, other.ReceivedRequests(), 1, "the other runner was not tried")
}

// silentWorld is an entry with a runner that answers with the first handler and is not known to be alive. A second
// runner is listed once the first gets a request.
func silentWorld(t *testing.T, first, second http.HandlerFunc) *world {
	t.Helper()
	return silentWorldWithConfig(t, defaultConfig(), first, second)
}

// silentWorldWithConfig is silentWorld with another configuration.
func silentWorldWithConfig(t *testing.T, config jsonMap, first, second http.HandlerFunc) *world {
	t.Helper()
	a, b := &site.Runner{ID: "a"}, &site.Runner{ID: "b", Handle: second}
	w := startWorld(t, config, a)
	b.Start()
	t.Cleanup(b.Stop)
	a.Handle = func(rw http.ResponseWriter, r *http.Request) {
		w.store.Put("servers", "b", runnerRecord(b, "ready"))
		first(rw, r)
	}
	return w
}
