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

// A request counts as running at a runner while that may hold it, and no longer: others are kept from the runner for it.
func TestRefusedSecondAttemptTakesNoPlace(t *testing.T) {
	w, loads, other := loadingWorld(t, site.Refuse)
	defer w.stop()
	goOn := make(chan struct{})
	loads.Handle = pausesAfterFive(w, goOn)
	conn := w.sendPrompt(t, "/prompt/x")
	w.eventually(t, func() bool { return len(other.Runs()) == 1 })
	assert.Eventually(t, func() bool { return w.gateway.state.Roster.Find("other").View(time.Now()).RunningRequests == 0 }, testTimeout/4, 5*time.Millisecond,
		"a request that the runner refused counts as running there until the first runner's answer ends")
	close(goOn)
	got := readAnswer(t, conn, "POST")
	require.NoError(t, got.err)
	assert.Equal(t, eventsUpTo(streamed), got.body)
}

// A runner that fails a request has given no answer that is worth more than one that another runner is already making.
func TestFailureBesideSecondAttempt(t *testing.T) {
	failsOnce := func(asked chan struct{}) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			<-asked
			site.Seal(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	t.Run("the second attempt's answer is the caller's", func(t *testing.T) {
		asked := make(chan struct{})
		w := silentWorld(t, failsOnce(asked), func(w http.ResponseWriter, r *http.Request) {
			close(asked)
			time.Sleep(leastSilence)
			site.Answer(w, r, "second")
		})
		defer w.stop()
		got := w.send(t, "GET", "/repeat/x", "")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Equal(t, "second", got.body)
	})
	t.Run("the failure is passed on where the second attempt is refused", func(t *testing.T) {
		asked := make(chan struct{})
		w := silentWorld(t, failsOnce(asked), func(w http.ResponseWriter, r *http.Request) {
			close(asked)
			time.Sleep(leastSilence)
			site.Refuse(w, r)
		})
		defer w.stop()
		got := w.send(t, "GET", "/repeat/x", "")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusInternalServerError, got.status)
		assert.Equal(t, "sealed", got.header.Get("X-Rillreach-Response-Seal"))
	})
}

// A stream is left only for an answer that it can go on with.
func TestStreamIsKeptBesideAnswerThatDoesNotGoOn(t *testing.T) {
	named := func(w io.Writer, from, to int) {
		for id := from; id <= to; id++ {
			_, _ = io.WriteString(w, namedPiece(id))
		}
	}
	t.Run("the ids don't tell which events the caller has", func(t *testing.T) {
		passed := make(chan struct{})
		w, loads, other := loadingWorld(t, func(w http.ResponseWriter, r *http.Request) {
			<-passed
			site.Seal(w, r)
			named(w, 5, streamed)
		})
		defer w.stop()
		loads.Handle = func(rw http.ResponseWriter, r *http.Request) {
			site.Seal(rw, r)
			flush := func() { _ = http.NewResponseController(rw).Flush() }
			named(rw, 1, 4)
			flush()
			report(w, "loads", deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true})
			time.Sleep(eventPace)
			named(rw, 5, 5)
			flush()
			for len(other.Runs()) == 0 && r.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
			named(rw, 6, 6)
			flush()
			time.Sleep(eventPace)
			close(passed)
			select {
			case <-r.Context().Done():
			case <-time.After(4 * eventPace):
				named(rw, 7, streamed)
			}
		}
		got := readAnswer(t, w.sendPrompt(t, "/prompt/x"), "POST")
		require.NoError(t, got.err, "the stream's runner was given up for one whose events can't be joined")
		var whole strings.Builder
		named(&whole, 1, streamed)
		assert.Equal(t, whole.String(), got.body)
	})
	t.Run("the other's answer is no stream, and the first began meanwhile", func(t *testing.T) {
		asked, began := make(chan struct{}), make(chan struct{})
		w := silentWorld(t, func(w http.ResponseWriter, r *http.Request) {
			<-asked
			site.Events(w, r, 4, 0)
			close(began)
			select {
			case <-r.Context().Done():
			case <-time.After(4 * eventPace):
				r.Header.Set("Last-Event-Id", "4")
				site.Events(w, r, streamed, 0)
			}
		}, func(w http.ResponseWriter, r *http.Request) {
			close(asked)
			<-began
			site.Seal(w, r)
			w.WriteHeader(http.StatusNotFound)
		})
		defer w.stop()
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err, "the stream's runner was given up for an answer that is no stream")
		assert.Equal(t, eventsUpTo(streamed), got.body)
	})
}

// namedPiece is an event whose id doesn't say which of two comes first.
func namedPiece(id int) string { return fmt.Sprintf("id: part-%d\ndata: piece %d\n\n", id, id) }

// Two runners must not work on one stream for long, also where nothing of it goes out before it is whole.
func TestSecondAttemptOfHeldStreamAnswersWithItsFirstEvent(t *testing.T) {
	x := &exchange{route: &deployment.Route{Kind: deployment.EventStream, Resumable: true}, buffered: true}
	a := &attempt{exchange: x, answer: &forward.Answer{Response: &http.Response{StatusCode: http.StatusOK}}}
	a.ahead.WriteString("id: 1\n")
	assert.False(t, a.readEnough())
	a.ahead.WriteString(namedPiece(2))
	assert.True(t, a.readEnough(), "the first runner goes on until the second one's stream is whole")
}

// threeRunners is an entry with a route that allows three runners, before one that answers as given and two others, which are listed once
// that is asked.
func threeRunners(t *testing.T, first, others http.HandlerFunc) *world {
	t.Helper()
	a, b, c := &site.Runner{ID: "a"}, &site.Runner{ID: "b", Handle: others}, &site.Runner{ID: "c", Handle: others}
	w := startWorld(t, configWithRoutes(1, routeConfig("repeat", "idempotent", "plain", jsonMap{"max_attempts": 3})), a)
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

// A route that allows three runners has the third asked where the second refuses a request whose runner says nothing.
func TestThirdRunnerBesideSilentOne(t *testing.T) {
	var others atomic.Int64
	refusesOnce := func(w http.ResponseWriter, r *http.Request) {
		if others.Add(1) == 1 {
			site.Refuse(w, r)
			return
		}
		site.Answer(w, r, "third")
	}
	w := threeRunners(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}, refusesOnce)
	defer w.stop()
	got := w.send(t, "GET", "/repeat/x", "")
	require.NoError(t, got.err)
	assert.Equal(t, "third", got.body, "nobody was asked after the refusal")
	assert.EqualValues(t, 2, others.Load())
}

// A route that allows three runners has the third asked where the first breaks off and the second says nothing.
func TestThirdRunnerAfterFirstBreaksOff(t *testing.T) {
	var others atomic.Int64
	asked := make(chan struct{})
	hangsOnce := func(w http.ResponseWriter, r *http.Request) {
		if others.Add(1) == 1 {
			close(asked)
			<-r.Context().Done()
			return
		}
		site.Answer(w, r, "third")
	}
	w := threeRunners(t, func(http.ResponseWriter, *http.Request) {
		<-asked
		panic(http.ErrAbortHandler)
	}, hangsOnce)
	defer w.stop()
	got := w.send(t, "GET", "/repeat/x", "")
	require.NoError(t, got.err)
	assert.Equal(t, "third", got.body, "nobody was asked beside the second")
}

// A runner's bytes that are no events don't fill the entry's memory.
func TestSecondAttemptReadsNoEndlessEvent(t *testing.T) {
	const most = 64 * maxEventSize
	written := make(chan int, 1)
	w := silentWorld(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case n := <-written:
			written <- n
			site.Events(w, r, streamed, 0)
		case <-r.Context().Done():
		}
	}, func(w http.ResponseWriter, r *http.Request) {
		site.Seal(w, r)
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
	assert.Equal(t, eventsUpTo(streamed), got.body)
	assert.Less(t, <-written, most, "all was read that the runner sent")
}

// A runner whose events wait for a caller that takes none isn't silent.
func TestSlowCallerIsNoSilence(t *testing.T) {
	const events = 400
	blocked := make(chan struct{})
	big := strings.Repeat("x", 64<<10)
	var second atomic.Int64
	// The answer's 26 MB take longer than the usual time-out where the machine is busy.
	patient := configWithRoutes(1, routeConfig("stream", "streaming", "plain", jsonMap{"resumable": true, "timeout_ms": 60000}))
	w := silentWorldAt(t, patient, func(w http.ResponseWriter, r *http.Request) {
		site.Seal(w, r)
		for id := 1; id <= events; id++ {
			if id == events/2 {
				close(blocked)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, big)
		}
	}, func(w http.ResponseWriter, r *http.Request) {
		second.Add(1)
		site.Refuse(w, r)
	})
	defer w.stop()
	conn := w.dial(t)
	w.sendGet(t, conn, "/stream/x")
	select {
	case <-blocked:
		t.Fatal("the caller's connection holds more than this test allows for")
	case <-time.After(4 * leastSilence):
	}
	got := readAnswer(t, conn, "GET")
	require.NoError(t, got.err)
	assert.Equal(t, events, strings.Count(got.body, "\n\n"))
	assert.Zero(t, second.Load(), "another runner was asked, though the first one's events were there")
}

// A stop of the entry ends neither attempt of a stream: the second goes on where the first breaks off.
func TestStopDuringSecondAttempt(t *testing.T) {
	asked, leaving := make(chan struct{}), make(chan struct{})
	w := silentWorld(t, func(w http.ResponseWriter, r *http.Request) {
		site.Events(w, r, 4, 0)
		<-leaving
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		close(asked)
		<-leaving
		time.Sleep(leastSilence)
		site.Events(w, r, streamed, 0)
	})
	conn := w.dial(t)
	w.sendGet(t, conn, "/stream/x")
	<-asked
	w.stop()
	w.eventually(t, w.gateway.shuttingDown.Load)
	close(leaving)
	got := readAnswer(t, conn, "GET")
	require.NoError(t, got.err)
	assert.Equal(t, eventsUpTo(streamed), got.body)
}
