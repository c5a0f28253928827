package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/roster"
)

// eventsUpTo returns the stream of events from the first to the given one.
func eventsUpTo(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

func cutAfterEvents(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { site.StreamEvents(w, r, 9, n) }
}

func TestStreams(t *testing.T) {
	t.Run("a complete stream is forwarded unchanged", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: cutAfterEvents(0)})
		defer w.stop()
		for _, path := range []string{"/stream/x", "/flow/x"} {
			got := w.send(t, "POST", path, "prompt")
			require.NoError(t, got.err)
			assert.Equal(t, eventsUpTo(9), got.body)
		}
	})
	t.Run("a stream that breaks off inside an event continues elsewhere without lost or duplicate events", func(t *testing.T) {
		once := make(chan struct{}, 1)
		once <- struct{}{}
		breakOnce := func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-once:
				site.StreamEvents(w, r, 9, 4)
			default:
				site.StreamEvents(w, r, 9, 0)
			}
		}
		a, b := &site.Runner{ID: "a", Handle: breakOnce}, &site.Runner{ID: "b", Handle: breakOnce}
		w := startWorld(t, defaultConfig(), a, b)
		defer w.stop()
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(9), got.body)
		assert.Len(t, a.ReceivedRequests(), 1)
		assert.Len(t, b.ReceivedRequests(), 1)
	})
	t.Run("a non-resumable stream that breaks off reaches the caller incomplete", func(t *testing.T) {
		a, b := &site.Runner{ID: "a", Handle: cutAfterEvents(4)}, &site.Runner{ID: "b", Handle: cutAfterEvents(4)}
		w := startWorld(t, defaultConfig(), a, b)
		defer w.stop()
		got := w.send(t, "POST", "/flow/x", "prompt")
		require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
		assert.Equal(t, 1, len(a.ReceivedRequests())+len(b.ReceivedRequests()))
	})
	t.Run("a stream that breaks off at every runner reaches the caller incomplete", func(t *testing.T) {
		breakAfterTwo := func(w http.ResponseWriter, r *http.Request) {
			from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			if err != nil {
				from = 0
			}
			site.StreamEvents(w, r, 9, from+2)
		}
		a, b := &site.Runner{ID: "a", Handle: breakAfterTwo}, &site.Runner{ID: "b", Handle: breakAfterTwo}
		w := startWorld(t, defaultConfig(), a, b)
		defer w.stop()
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
		assert.Equal(t, eventsUpTo(4), got.body)
	})
}

func TestEventReader(t *testing.T) {
	read := func(text string) (string, string) {
		r := eventReader{from: strings.NewReader(text), wholeEvents: true}
		var all strings.Builder
		for {
			part, err := r.next()
			all.Write(part)
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				return all.String(), r.lastID
			}
		}
	}
	t.Run("the last ID is that of the last event", func(t *testing.T) {
		body, last := read(eventsUpTo(3))
		assert.Equal(t, eventsUpTo(3), body)
		assert.Equal(t, "3", last)
	})
	t.Run("an unterminated event at the end of a complete stream is returned", func(t *testing.T) {
		body, _ := read(eventsUpTo(2) + "data: no end")
		assert.Equal(t, eventsUpTo(2)+"data: no end", body)
	})
}

func TestSilentStreamContinuesElsewhere(t *testing.T) {
	release := make(chan struct{})
	once := make(chan struct{}, 1)
	once <- struct{}{}
	hangOnce := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-once:
			site.StreamEvents(w, r, 4, 0)
			<-release
		default:
			site.StreamEvents(w, r, 9, 0)
		}
	}
	a, b := &site.Runner{ID: "a", Handle: hangOnce}, &site.Runner{ID: "b", Handle: hangOnce}
	w := startWorld(t, defaultConfig(), a, b)
	defer w.stop()
	defer close(release)
	got := w.send(t, "POST", "/stream/x", "prompt")
	require.NoError(t, got.err, "the runner is not known to be alive, so another one must continue")
	assert.Equal(t, eventsUpTo(9), got.body)
}

// A runner that is about to load weights accepts no new requests, and waits for its streams to end. The entry may move
// these to other runners, but must not cut one that no other runner continues.
func TestStreamOfRunnerLoadingWeights(t *testing.T) {
	refuseToResume := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			site.WriteNotExecuted(w, r)
			return
		}
		site.StreamEvents(w, r, 9, 0)
	}
	aboutToLoad := roster.Report{Load: deployment.Load{LoadingWeights: true}, ReceivedAt: time.Now().Add(testTimeout)}
	t.Run("a stream stays if no other runner can take it", func(t *testing.T) {
		alone, draining := &site.Runner{ID: "alone", Handle: refuseToResume}, &site.Runner{ID: "leaves"}
		w := startWorld(t, defaultConfig(), alone, draining)
		defer w.stop()
		w.store.Put("servers", "leaves", runnerRecord(draining, "draining"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("leaves").Info().Leaving })
		w.gateway.state.Roster.Find("alone").SetReport(aboutToLoad)
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err, "the stream was moved away from a working runner, and no other took it")
		assert.Equal(t, eventsUpTo(9), got.body)
	})
	t.Run("a stream continues at another runner that can take it", func(t *testing.T) {
		reported := make(chan struct{})
		a := &site.Runner{ID: "a", Handle: func(w http.ResponseWriter, r *http.Request) {
			site.StreamEvents(w, r, 4, 0)
			<-reported
			_, _ = io.WriteString(w, "id: 5\ndata: piece 5\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}}
		b := &site.Runner{ID: "b", Handle: cutAfterEvents(0)}
		w := startWorld(t, defaultConfig(), a)
		defer w.stop()
		conn := w.dial(t)
		w.sendGet(t, conn, "/stream/x")
		w.eventually(t, func() bool { return len(a.ReceivedRequests()) == 1 })
		b.Start()
		t.Cleanup(b.Stop)
		w.store.Put("servers", "b", runnerRecord(b, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("b") != nil })
		w.gateway.state.Roster.Find("a").SetReport(aboutToLoad)
		close(reported)
		got := readAnswer(t, conn, "GET")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(9), got.body)
	})
}

// An answer must not be ended because its runner is silent if no other runner would continue it.
func TestSilentStreamWithoutOtherRunner(t *testing.T) {
	pauses := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			site.WriteNotExecuted(w, r)
			return
		}
		site.StreamEvents(w, r, 4, 0)
		select {
		case <-time.After(4 * minSilence):
		case <-r.Context().Done():
			return
		}
		r.Header.Set("Last-Event-Id", "4")
		site.StreamEvents(w, r, 9, 0)
	}
	assertWhole := func(t *testing.T, w *world) {
		t.Helper()
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err, "the answer was ended, and no runner continued it")
		assert.Equal(t, eventsUpTo(9), got.body)
	}
	t.Run("the entry waits if no other runner may take it", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "a", Handle: pauses})
		defer w.stop()
		assertWhole(t, w)
	})
	t.Run("the entry waits if the retry budget is spent", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "a", Handle: pauses}, &site.Runner{ID: "b", Handle: pauses})
		defer w.stop()
		for w.gateway.budgets.Reserve(w.gateway.Clock.Now(), "plain") != nil {
			continue
		}
		assertWhole(t, w)
	})
}
