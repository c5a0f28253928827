package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// cutAt is the event after which the first runner of a stream breaks off.
	cutAt = 4
	// shedFor is for how long the other runners have no room.
	shedFor = 400 * time.Millisecond
)

// begunSite is an entry before three runners. The first that a stream reaches breaks off inside its answer; others get what is left of it.
type begunSite struct {
	*world
	broke atomic.Int64
	// refused counts the sends that others turned away.
	refused atomic.Int64
}

// newBegunSite has the other runners answer as given, with the time since the first one broke off.
func newBegunSite(t *testing.T, route jsonMap, other func(s *begunSite, since time.Duration, w http.ResponseWriter, r *http.Request)) *begunSite {
	t.Helper()
	s := &begunSite{}
	handle := func(w http.ResponseWriter, r *http.Request) {
		if s.broke.CompareAndSwap(0, time.Now().UnixNano()) {
			site.Events(w, r, streamed, cutAt)
			return
		}
		other(s, time.Since(time.Unix(0, s.broke.Load())), w, r)
	}
	route["resumable"] = true
	runners := []*site.Runner{{ID: "a", Handle: handle}, {ID: "b", Handle: handle}, {ID: "c", Handle: handle}}
	s.world = startWorld(t, configWithRoutes(1, routeConfig("stream", "streaming", "plain", route)), runners...)
	t.Cleanup(s.stop)
	return s
}

func (s *begunSite) refuse(w http.ResponseWriter, r *http.Request) {
	s.refused.Add(1)
	site.Refuse(w, r)
}

func (s *begunSite) assertWhole(t *testing.T) {
	t.Helper()
	got := s.send(t, "POST", "/stream/x", "prompt")
	require.NoError(t, got.err, "the answer was cut, with time left and nothing run in vain")
	assert.Equal(t, eventsUpTo(streamed), got.body)
}

// Half of an answer is not lost at the first moment in which no other runner has room for the rest.
func TestBegunAnswerIsCutAtARefusal(t *testing.T) {
	t.Run("the route's last runner refuses", func(t *testing.T) {
		s := newBegunSite(t, jsonMap{"max_attempts": 2}, func(s *begunSite, _ time.Duration, w http.ResponseWriter, r *http.Request) {
			if s.refused.Load() == 0 {
				s.refuse(w, r)
				return
			}
			site.Events(w, r, streamed, 0)
		})
		s.assertWhole(t)
	})
	t.Run("nobody has room for a moment", func(t *testing.T) {
		s := newBegunSite(t, jsonMap{"max_attempts": 3}, func(s *begunSite, since time.Duration, w http.ResponseWriter, r *http.Request) {
			if since < shedFor {
				s.refuse(w, r)
				return
			}
			site.Events(w, r, streamed, 0)
		})
		s.assertWhole(t)
		assert.LessOrEqual(t, s.refused.Load(), int64(shedFor/(20*time.Millisecond)), "runners without room are asked over and over")
	})
	t.Run("all that are left rest", func(t *testing.T) {
		s := newBegunSite(t, jsonMap{"max_attempts": 2}, func(s *begunSite, since time.Duration, w http.ResponseWriter, r *http.Request) {
			if since < shedFor {
				w.Header().Set("Retry-After", "0.5")
				s.refuse(w, r)
				return
			}
			site.Events(w, r, streamed, 0)
		})
		s.assertWhole(t)
	})
	t.Run("a runner that may have run it counts, whatever others refuse", func(t *testing.T) {
		var runs atomic.Int64
		s := newBegunSite(t, jsonMap{"max_attempts": 2}, func(s *begunSite, since time.Duration, w http.ResponseWriter, r *http.Request) {
			if since < shedFor {
				s.refuse(w, r)
				return
			}
			runs.Add(1)
			site.Events(w, r, streamed, cutAt+2)
		})
		got := s.send(t, "POST", "/stream/x", "prompt")
		require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
		assert.EqualValues(t, 1, runs.Load(), "the route allows two runners")
	})
	t.Run("nobody ever has room", func(t *testing.T) {
		s := newBegunSite(t, jsonMap{"max_attempts": 2}, func(s *begunSite, _ time.Duration, w http.ResponseWriter, r *http.Request) { s.refuse(w, r) })
		begun := time.Now()
		got := s.send(t, "POST", "/stream/x", "prompt")
		require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
		assert.Equal(t, eventsUpTo(cutAt), got.body)
		quiet := s.gateway.state.Config().Routes[0].CallerIdleTimeout()
		assert.Less(t, time.Since(begun), quiet+quiet/2, "the caller is held longer than it stays")
	})
}

// The same at engines, where a request waits for room.
func TestBegunAnswerOfEngineIsCutAtARefusal(t *testing.T) {
	refusesOnce := func(refused *atomic.Bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if refused.CompareAndSwap(false, true) {
				site.Refuse(w, r)
				return
			}
			site.Events(w, r, streamed, 0)
		}
	}
	t.Run("the only other engine refuses once", func(t *testing.T) {
		var refused atomic.Bool
		first, other := newEngine("first"), newEngine("other")
		first.Handle = cutAfterEvents(cutAt)
		other.Handle = refusesOnce(&refused)
		w := startWithEngines(t, first)
		defer w.stop()
		conn := w.sendPrompt(t, "/prompt/x")
		w.addEngine(t, other)
		got := readAnswer(t, conn, "POST")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(streamed), got.body)
	})
	t.Run("a move was refused before the first one breaks off", func(t *testing.T) {
		var refused atomic.Bool
		w, loads, _ := loadingWorld(t, refusesOnce(&refused))
		defer w.stop()
		loads.Handle = func(rw http.ResponseWriter, r *http.Request) {
			site.Events(rw, r, cutAt, 0)
			report(w, "loads", deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true})
			for from := cutAt; !refused.Load() && r.Context().Err() == nil; from++ {
				time.Sleep(eventPace)
				r.Header.Set("Last-Event-Id", site.EventID(min(from, streamed-2)))
				site.Events(rw, r, min(from+1, streamed-1), 0)
			}
			time.Sleep(eventPace) // so that the entry has the refusal
			panic(http.ErrAbortHandler)
		}
		got := readAnswer(t, w.sendPrompt(t, "/prompt/x"), "POST")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(streamed), got.body)
	})
}

func newEngine(id string) *site.Engine {
	e := &site.Engine{Model: site.Model, Version: 1}
	e.ID = id
	return e
}
