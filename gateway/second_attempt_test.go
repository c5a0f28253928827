package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// Guards against counting a request as running at a runner that has refused it, since that keeps other requests away.
func TestRefusedHedgeCountsAsRunning(t *testing.T) {
	w, loads, other := loadingWorld(t, site.WriteNotExecuted)
	defer w.stop()
	goOn := make(chan struct{})
	loads.Handle = pauseAfterFifthEvent(w, goOn)
	conn := w.sendPrompt(t, "/prompt/x")
	w.eventually(t, func() bool { return len(other.ReceivedRequests()) == 1 })
	assert.Eventually(t, func() bool { return w.gateway.state.Roster.Find("other").View(time.Now()).RunningRequests == 0 }, testTimeout/4, 5*time.Millisecond,
		"a refused request counts as running until the answer of the first runner ends")
	close(goOn)
	got := readAnswer(t, conn, "POST")
	require.NoError(t, got.err)
	assert.Equal(t, eventsUpTo(streamEvents), got.body)
}

// Guards against forwarding a runner's failure while a hedge may still answer the request.
func TestFailureForwardedDespiteHedge(t *testing.T) {
	failAfter := func(hedged chan struct{}) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			<-hedged
			site.SetSealHeaders(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	t.Run("the answer of the hedge is forwarded", func(t *testing.T) {
		hedged := make(chan struct{})
		w := silentWorld(t, failAfter(hedged), func(w http.ResponseWriter, r *http.Request) {
			close(hedged)
			time.Sleep(minSilence)
			site.WriteResponse(w, r, "second")
		})
		defer w.stop()
		got := w.send(t, "GET", "/repeat/x", "")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Equal(t, "second", got.body)
	})
	t.Run("the failure is forwarded if the hedge is refused", func(t *testing.T) {
		hedged := make(chan struct{})
		w := silentWorld(t, failAfter(hedged), func(w http.ResponseWriter, r *http.Request) {
			close(hedged)
			time.Sleep(minSilence)
			site.WriteNotExecuted(w, r)
		})
		defer w.stop()
		got := w.send(t, "GET", "/repeat/x", "")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusInternalServerError, got.status)
		assert.Equal(t, "sealed", got.header.Get("X-Rillreach-Response-Seal"))
	})
}

// Guards against leaving a stream for an answer that cannot continue it.
func TestStreamDroppedForUnjoinableHedge(t *testing.T) {
	writeEvents := func(w io.Writer, from, to int) {
		for id := from; id <= to; id++ {
			_, _ = io.WriteString(w, eventWithNamedID(id))
		}
	}
	t.Run("the event IDs do not show which events the caller has", func(t *testing.T) {
		sixthSent := make(chan struct{})
		w, loads, other := loadingWorld(t, func(w http.ResponseWriter, r *http.Request) {
			<-sixthSent
			site.SetSealHeaders(w, r)
			writeEvents(w, 5, streamEvents)
		})
		defer w.stop()
		loads.Handle = func(rw http.ResponseWriter, r *http.Request) {
			site.SetSealHeaders(rw, r)
			flush := func() { _ = http.NewResponseController(rw).Flush() }
			writeEvents(rw, 1, 4)
			flush()
			setReport(w, "loads", deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true})
			time.Sleep(eventInterval)
			writeEvents(rw, 5, 5)
			flush()
			for len(other.ReceivedRequests()) == 0 && r.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
			writeEvents(rw, 6, 6)
			flush()
			time.Sleep(eventInterval)
			close(sixthSent)
			select {
			case <-r.Context().Done():
			case <-time.After(4 * eventInterval):
				writeEvents(rw, 7, streamEvents)
			}
		}
		got := readAnswer(t, w.sendPrompt(t, "/prompt/x"), "POST")
		require.NoError(t, got.err, "the stream was left for one that cannot continue it")
		var whole strings.Builder
		writeEvents(&whole, 1, streamEvents)
		assert.Equal(t, whole.String(), got.body)
	})
	t.Run("the other answer is an error and the first stream has started meanwhile", func(t *testing.T) {
		hedged, began := make(chan struct{}), make(chan struct{})
		w := silentWorld(t, func(w http.ResponseWriter, r *http.Request) {
			<-hedged
			site.StreamEvents(w, r, 4, 0)
			close(began)
			select {
			case <-r.Context().Done():
			case <-time.After(4 * eventInterval):
				r.Header.Set("Last-Event-Id", "4")
				site.StreamEvents(w, r, streamEvents, 0)
			}
		}, func(w http.ResponseWriter, r *http.Request) {
			close(hedged)
			<-began
			site.SetSealHeaders(w, r)
			w.WriteHeader(http.StatusNotFound)
		})
		defer w.stop()
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err, "the stream was left for an error")
		assert.Equal(t, eventsUpTo(streamEvents), got.body)
	})
}

// eventWithNamedID returns an event whose ID does not show its position in the stream.
func eventWithNamedID(id int) string { return fmt.Sprintf("id: part-%d\ndata: piece %d\n\n", id, id) }

// Guards against two runners that work on one buffered stream until it is complete.
func TestHedgeOfBufferedStreamAwaitsWholeStream(t *testing.T) {
	x := &exchange{route: &deployment.Route{Kind: deployment.EventStream, Resumable: true}, buffered: true}
	a := &attempt{exchange: x, answer: &forward.Response{Head: &http.Response{StatusCode: http.StatusOK}}}
	a.prefetched.WriteString("id: 1\n")
	assert.False(t, a.prefetchedEnough())
	a.prefetched.WriteString(eventWithNamedID(2))
	assert.True(t, a.prefetchedEnough(), "the first runner continues until the stream of the hedge is complete")
}

// threeRunnerWorld is an entry with a route that allows three runners. The first answers with the first handler, and
// the others are listed once it gets a request.
func threeRunnerWorld(t *testing.T, first, others http.HandlerFunc) *world {
	t.Helper()
	return startThreeRunnerWorld(t, routeConfig("repeat", "idempotent", "plain", jsonMap{"max_attempts": 3}), first, others)
}

// streamingThreeRunnerWorld is threeRunnerWorld with a resumable stream.
func streamingThreeRunnerWorld(t *testing.T, first, others http.HandlerFunc) *world {
	t.Helper()
	return startThreeRunnerWorld(t, routeConfig("stream", "streaming", "plain", jsonMap{"max_attempts": 3, "resumable": true}), first, others)
}

func startThreeRunnerWorld(t *testing.T, route jsonMap, first, others http.HandlerFunc) *world {
	t.Helper()
	a, b, c := &site.Runner{ID: "a"}, &site.Runner{ID: "b", Handle: others}, &site.Runner{ID: "c", Handle: others}
	w := startWorld(t, configWithRoutes(1, route), a)
	for _, r := range []*site.Runner{b, c} {
		r.Start()
		t.Cleanup(r.Stop)
	}
	a.Handle = func(rw http.ResponseWriter, r *http.Request) {
		w.store.Put("servers", "b", runnerRecord(b, "ready"))
		w.store.Put("servers", "c", runnerRecord(c, "ready"))
		first(rw, r)
	}
	return w
}

// Guards against waiting for a silent runner after the hedge was refused, although the route allows a third runner.
func TestThirdRunnerNotTriedAfterHedgeRefusal(t *testing.T) {
	var others atomic.Int64
	refusesOnce := func(w http.ResponseWriter, r *http.Request) {
		if others.Add(1) == 1 {
			site.WriteNotExecuted(w, r)
			return
		}
		site.WriteResponse(w, r, "third")
	}
	w := threeRunnerWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}, refusesOnce)
	defer w.stop()
	got := w.send(t, "GET", "/repeat/x", "")
	require.NoError(t, got.err)
	assert.Equal(t, "third", got.body, "no runner was tried after the refusal")
	assert.EqualValues(t, 2, others.Load())
}

// Guards against waiting for a silent hedge after the first runner has disconnected, although the route allows a third
// runner.
func TestThirdRunnerNotTriedAfterDisconnect(t *testing.T) {
	var others atomic.Int64
	hedged := make(chan struct{})
	hangsOnce := func(w http.ResponseWriter, r *http.Request) {
		if others.Add(1) == 1 {
			close(hedged)
			<-r.Context().Done()
			return
		}
		site.WriteResponse(w, r, "third")
	}
	w := threeRunnerWorld(t, func(http.ResponseWriter, *http.Request) {
		<-hedged
		panic(http.ErrAbortHandler)
	}, hangsOnce)
	defer w.stop()
	got := w.send(t, "GET", "/repeat/x", "")
	require.NoError(t, got.err)
	assert.Equal(t, "third", got.body, "no runner was tried besides the second")
}

// Guards against giving up a request because the runners that the route allows had ended before they were chosen. Other
// processes answer at their addresses.
func TestEndedRunnersUseUpAttempts(t *testing.T) {
	next := []*site.Runner{{ID: "next-1"}, {ID: "next-2"}}
	good := &site.Runner{ID: "good"}
	w := startWorld(t, configWithRoutes(1, routeConfig("repeat", "idempotent", "plain", jsonMap{"max_attempts": 2})), good)
	defer w.stop()
	farRecord := runnerRecord(good, "ready")
	farRecord["zone"] = "z2" // so that the others are preferred
	w.store.Put("servers", "good", farRecord)
	for i, r := range next {
		r.Start()
		t.Cleanup(r.Stop)
		w.store.Put("servers", fmt.Sprint("ended-", i), runnerRecord(r, "ready"))
	}
	w.eventually(t, func() bool { return w.gateway.state.Roster.Len() == 1+len(next) })
	assert.Equal(t, http.StatusOK, w.send(t, "GET", "/repeat/x", "").status)
	for _, r := range next {
		assert.Empty(t, r.ReceivedRequests())
	}
}

// Guards against buffering a stream without event boundaries until the entry runs out of memory.
func TestHedgeBuffersEndlessEvent(t *testing.T) {
	const most = 64 * maxEventSize
	written := make(chan int, 1)
	w := silentWorld(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case n := <-written:
			written <- n
			site.StreamEvents(w, r, streamEvents, 0)
		case <-r.Context().Done():
		}
	}, func(w http.ResponseWriter, r *http.Request) {
		site.SetSealHeaders(w, r)
		sum := 0
		for chunk := strings.Repeat("x", relayBufferSize); sum < most && r.Context().Err() == nil; sum += len(chunk) {
			if _, err := io.WriteString(w, chunk); err != nil {
				break
			}
		}
		written <- sum
	})
	defer w.stop()
	got := w.send(t, "POST", "/stream/x", "prompt")
	require.NoError(t, got.err)
	assert.Equal(t, eventsUpTo(streamEvents), got.body)
	assert.Less(t, <-written, most, "the entry has read everything that the runner sent")
}

// Guards against taking a runner for silent while its events wait for a slow caller.
func TestSlowCallerStartsHedge(t *testing.T) {
	const events = 400
	blocked := make(chan struct{})
	big := strings.Repeat("x", 64<<10)
	var second atomic.Int64
	// The 26 MB of the answer take longer than the default timeout on a busy machine.
	config := configWithRoutes(1, routeConfig("stream", "streaming", "plain", jsonMap{"resumable": true, "timeout_ms": 60000}))
	w := silentWorldWithConfig(t, config, func(w http.ResponseWriter, r *http.Request) {
		site.SetSealHeaders(w, r)
		for id := 1; id <= events; id++ {
			if id == events/2 {
				close(blocked)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, big)
		}
	}, func(w http.ResponseWriter, r *http.Request) {
		second.Add(1)
		site.WriteNotExecuted(w, r)
	})
	defer w.stop()
	conn := w.dial(t)
	w.sendGet(t, conn, "/stream/x")
	select {
	case <-blocked:
		t.Fatal("the connection buffers more data than this test assumes")
	case <-time.After(4 * minSilence):
	}
	got := readAnswer(t, conn, "GET")
	require.NoError(t, got.err)
	assert.Equal(t, events, strings.Count(got.body, "\n\n"))
	assert.Zero(t, second.Load(), "another runner was tried although the first one has sent events")
}

// Guards against a shutdown that ends an attempt of a stream. The hedge continues if the first runner disconnects.
func TestShutdownEndsHedge(t *testing.T) {
	hedged, leaving := make(chan struct{}), make(chan struct{})
	w := silentWorld(t, func(w http.ResponseWriter, r *http.Request) {
		site.StreamEvents(w, r, 4, 0)
		<-leaving
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		close(hedged)
		<-leaving
		time.Sleep(minSilence)
		site.StreamEvents(w, r, streamEvents, 0)
	})
	conn := w.dial(t)
	w.sendGet(t, conn, "/stream/x")
	<-hedged
	w.stop()
	w.eventually(t, w.gateway.shuttingDown.Load)
	close(leaving)
	got := readAnswer(t, conn, "GET")
	require.NoError(t, got.err)
	assert.Equal(t, eventsUpTo(streamEvents), got.body)
}
