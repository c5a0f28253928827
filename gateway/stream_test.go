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

// eventsUpTo is the stream of events from the first to the last.
func eventsUpTo(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

func cutAfterEvents(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { site.Events(w, r, 9, n) }
}

func TestStreams(t *testing.T) {
	t.Run("events pass as they come, and the whole is whole", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: cutAfterEvents(0)})
		defer w.stop()
		for _, path := range []string{"/stream/x", "/flow/x"} {
			got := w.send(t, "POST", path, "prompt")
			require.NoError(t, got.err)
			assert.Equal(t, eventsUpTo(9), got.body)
		}
	})
	t.Run("a stream that breaks inside an event goes on elsewhere, nothing lost and nothing doubled", func(t *testing.T) {
		once := make(chan struct{}, 1)
		once <- struct{}{}
		breaks := func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-once:
				site.Events(w, r, 9, 4)
			default:
				site.Events(w, r, 9, 0)
			}
		}
		a, b := &site.Runner{ID: "a", Handle: breaks}, &site.Runner{ID: "b", Handle: breaks}
		w := startWorld(t, defaultConfig(), a, b)
		defer w.stop()
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(9), got.body)
		assert.Len(t, a.Runs(), 1)
		assert.Len(t, b.Runs(), 1)
	})
	t.Run("a stream that may not go on elsewhere reaches the caller cut", func(t *testing.T) {
		a, b := &site.Runner{ID: "a", Handle: cutAfterEvents(4)}, &site.Runner{ID: "b", Handle: cutAfterEvents(4)}
		w := startWorld(t, defaultConfig(), a, b)
		defer w.stop()
		got := w.send(t, "POST", "/flow/x", "prompt")
		require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
		assert.Equal(t, 1, len(a.Runs())+len(b.Runs()))
	})
	t.Run("a stream that breaks at every runner reaches the caller cut", func(t *testing.T) {
		breaks := func(w http.ResponseWriter, r *http.Request) {
			from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			if err != nil {
				from = 0
			}
			site.Events(w, r, 9, from+2)
		}
		a, b := &site.Runner{ID: "a", Handle: breaks}, &site.Runner{ID: "b", Handle: breaks}
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
	t.Run("the last id is that of the last event", func(t *testing.T) {
		body, last := read(eventsUpTo(3))
		assert.Equal(t, eventsUpTo(3), body)
		assert.Equal(t, "3", last)
	})
	t.Run("the rest of a whole stream goes out, too", func(t *testing.T) {
		body, _ := read(eventsUpTo(2) + "data: no end")
		assert.Equal(t, eventsUpTo(2)+"data: no end", body)
	})
}

func TestStreamThatFallsSilent(t *testing.T) {
	release := make(chan struct{})
	once := make(chan struct{}, 1)
	once <- struct{}{}
	falls := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-once:
			site.Events(w, r, 4, 0)
			<-release
		default:
			site.Events(w, r, 9, 0)
		}
	}
	a, b := &site.Runner{ID: "a", Handle: falls}, &site.Runner{ID: "b", Handle: falls}
	w := startWorld(t, defaultConfig(), a, b)
	defer w.stop()
	defer close(release)
	got := w.send(t, "POST", "/stream/x", "prompt")
	require.NoError(t, got.err, "the runner is not known to live, and so another goes on")
	assert.Equal(t, eventsUpTo(9), got.body)
}

// TestStreamOfBusyRunner: a runner that is about to load weights waits for its streams to end, which leave it for others; it
// takes nothing new meanwhile.
func TestStreamOfBusyRunner(t *testing.T) {
	empties := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			site.Refuse(w, r)
			return
		}
		site.Events(w, r, 9, 0)
	}
	busy := roster.Report{Load: deployment.Load{LoadingWeights: true}, ReceivedAt: time.Now().Add(testTimeout)}
	t.Run("a stream stays where no other runner may take it", func(t *testing.T) {
		alone, leaves := &site.Runner{ID: "alone", Handle: empties}, &site.Runner{ID: "leaves"}
		w := startWorld(t, defaultConfig(), alone, leaves)
		defer w.stop()
		w.store.Put("servers", "leaves", runnerRecord(leaves, "draining"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("leaves").Info().Leaving })
		w.gateway.state.Roster.Find("alone").SetReport(busy)
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err, "the stream left a sound runner, and nobody took it")
		assert.Equal(t, eventsUpTo(9), got.body)
	})
	t.Run("a stream goes on at another that may", func(t *testing.T) {
		emptied := make(chan struct{})
		a := &site.Runner{ID: "a", Handle: func(w http.ResponseWriter, r *http.Request) {
			site.Events(w, r, 4, 0)
			<-emptied
			_, _ = io.WriteString(w, "id: 5\ndata: piece 5\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}}
		b := &site.Runner{ID: "b", Handle: cutAfterEvents(0)}
		w := startWorld(t, defaultConfig(), a)
		defer w.stop()
		conn := w.dial(t)
		w.sendGet(t, conn, "/stream/x")
		w.eventually(t, func() bool { return len(a.Runs()) == 1 })
		b.Start()
		t.Cleanup(b.Stop)
		w.store.Put("servers", "b", runnerRecord(b, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("b") != nil })
		w.gateway.state.Roster.Find("a").SetReport(busy)
		close(emptied)
		got := readAnswer(t, conn, "GET")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(9), got.body)
	})
}

// TestSilenceWithoutAnother: a runner's silence is no reason to end an answer that nobody else would go on with.
func TestSilenceWithoutAnother(t *testing.T) {
	pauses := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			site.Refuse(w, r)
			return
		}
		site.Events(w, r, 4, 0)
		select {
		case <-time.After(4 * leastSilence):
		case <-r.Context().Done():
			return
		}
		r.Header.Set("Last-Event-Id", "4")
		site.Events(w, r, 9, 0)
	}
	assertWhole := func(t *testing.T, w *world) {
		t.Helper()
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err, "the answer was ended, and nobody went on with it")
		assert.Equal(t, eventsUpTo(9), got.body)
	}
	t.Run("where no other runner may take it, it is waited for", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "a", Handle: pauses})
		defer w.stop()
		assertWhole(t, w)
	})
	t.Run("where no budget is left for another, too", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "a", Handle: pauses}, &site.Runner{ID: "b", Handle: pauses})
		defer w.stop()
		for w.gateway.budgets.TrySpend(time.Now(), "plain") {
			continue
		}
		assertWhole(t, w)
	})
}
