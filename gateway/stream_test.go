package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// pieces is the stream of events from the first to the last.
func pieces(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

func cutAfter(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { site.Events(w, r, 9, n) }
}

func TestStreams(t *testing.T) {
	t.Run("events pass as they come, and the whole is whole", func(t *testing.T) {
		w := begin(t, defaultConfig(), &site.Runner{ID: "r", Handle: cutAfter(0)})
		defer w.stop()
		for _, path := range []string{"/stream/x", "/flow/x"} {
			got := w.call(t, "POST", path, "prompt")
			require.NoError(t, got.err)
			assert.Equal(t, pieces(9), got.body)
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
		w := begin(t, defaultConfig(), a, b)
		defer w.stop()
		got := w.call(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err)
		assert.Equal(t, pieces(9), got.body)
		assert.Len(t, a.Runs(), 1)
		assert.Len(t, b.Runs(), 1)
	})
	t.Run("a stream that may not go on elsewhere reaches the caller cut", func(t *testing.T) {
		a, b := &site.Runner{ID: "a", Handle: cutAfter(4)}, &site.Runner{ID: "b", Handle: cutAfter(4)}
		w := begin(t, defaultConfig(), a, b)
		defer w.stop()
		got := w.call(t, "POST", "/flow/x", "prompt")
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
		w := begin(t, defaultConfig(), a, b)
		defer w.stop()
		got := w.call(t, "POST", "/stream/x", "prompt")
		require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
		assert.Equal(t, pieces(4), got.body)
	})
}

func TestEventReader(t *testing.T) {
	read := func(text string) (string, string) {
		r := eventReader{from: strings.NewReader(text), whole: true}
		var all strings.Builder
		for {
			part, err := r.next()
			all.Write(part)
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				return all.String(), r.last
			}
		}
	}
	t.Run("the last id is that of the last event", func(t *testing.T) {
		body, last := read(pieces(3))
		assert.Equal(t, pieces(3), body)
		assert.Equal(t, "3", last)
	})
	t.Run("the rest of a whole stream goes out, too", func(t *testing.T) {
		body, _ := read(pieces(2) + "data: no end")
		assert.Equal(t, pieces(2)+"data: no end", body)
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
	w := begin(t, defaultConfig(), a, b)
	defer w.stop()
	defer close(release)
	got := w.call(t, "POST", "/stream/x", "prompt")
	require.NoError(t, got.err, "the runner is not known to live, and so another goes on")
	assert.Equal(t, pieces(9), got.body)
}
