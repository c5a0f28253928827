package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// Guards against ending the first attempt of a stream for a hedge that breaks off after its first event.
func TestHedgeThatBreaksOffCutsStream(t *testing.T) {
	for _, begun := range []struct {
		name   string
		events int
	}{{"no event was sent", 0}, {"events were sent", 4}} {
		t.Run(begun.name+" and the first runner continues before the hedge begins", func(t *testing.T) {
			s := hedgedStream(t, begun.events)
			s.first.sendEvents(1)
			s.assertReceived(1)
			s.second.sendEvents(1)
			s.first.awaitCancelOr(4 * eventInterval)
			s.second.breakOff()
			s.first.complete()
			s.assertComplete()
		})
		t.Run(begun.name+" and the first runner continues after the hedge has begun", func(t *testing.T) {
			s := hedgedStream(t, begun.events)
			s.second.sendEvents(1)
			s.assertReceived(1)
			s.first.awaitCancelOr(4 * eventInterval)
			s.first.sendEvents(1)
			s.second.breakOff()
			s.first.complete()
			s.assertComplete()
		})
		t.Run(begun.name+" and the first runner continues after the hedge has broken off", func(t *testing.T) {
			s := hedgedStream(t, begun.events)
			s.second.sendEvents(1)
			s.assertReceived(1)
			s.second.breakOff()
			s.first.awaitCancelOr(4 * eventInterval)
			s.first.complete()
			s.assertComplete()
		})
		t.Run(begun.name+" and both continue at the same time", func(t *testing.T) {
			s := hedgedStream(t, begun.events)
			s.second.steps <- func(w http.ResponseWriter, r *http.Request, next int) int {
				next = s.second.writeEvents(w, r, next, next)
				close(s.second.steps)
				return next
			}
			s.first.complete()
			s.assertComplete()
		})
	}
	t.Run("the first runner is about to load weights", func(t *testing.T) {
		w, loads, other := loadingWorld(t, func(rw http.ResponseWriter, r *http.Request) {
			last := lastEventIDOf(r)
			site.StreamEvents(rw, r, last+1, last+1)
		})
		defer w.stop()
		assertStreamCompleteWithHedge(t, w, loads, other)
	})
}

// Guards against losing a stream whose hedge was hedged itself, where only one of the three runners does not break off.
func TestHedgeOfHedgeBreaksOff(t *testing.T) {
	t.Run("the second runner continues", func(t *testing.T) {
		s, second, third := streamOfThree(t)
		s.first.breakOff()
		third.await(third.reached, "the third runner was not tried")
		third.sendEvents(1)
		s.assertReceived(1)
		third.breakOff()
		second.complete()
		s.assertComplete()
	})
	t.Run("the first runner is asked again", func(t *testing.T) {
		s, second, third := streamOfThree(t)
		second.sendEvents(1)
		s.assertReceived(1)
		third.await(third.reached, "the third runner was not tried")
		s.first.awaitCancel()
		second.breakOff()
		third.breakOff()
		s.again.await(s.again.reached, "the first runner was not asked again")
		s.again.complete()
		s.assertComplete()
	})
	t.Run("the first runner is asked again after the third one has begun", func(t *testing.T) {
		s, second, third := streamOfThree(t)
		second.sendEvents(1)
		s.assertReceived(1)
		third.await(third.reached, "the third runner was not tried")
		third.sendEvents(1)
		s.assertReceived(1)
		s.first.awaitCancel()
		second.breakOff()
		third.breakOff()
		s.again.await(s.again.reached, "the first runner was not asked again")
		s.again.complete()
		s.assertComplete()
	})
}

// streamOfThree starts a stream whose first runner is silent, so that a second one is tried, and a third one if that is
// silent too.
func streamOfThree(t *testing.T) (s *streamOfTwo, second, third *steppedRunner) {
	t.Helper()
	second, third = newSteppedRunner(t), newSteppedRunner(t)
	others := []*steppedRunner{second, third}
	var next atomic.Int64
	first, again := newSteppedRunner(t), newSteppedRunner(t)
	w := streamingThreeRunnerWorld(t, inTurn(first, again), func(rw http.ResponseWriter, r *http.Request) {
		others[next.Add(1)-1].serve(rw, r)
	})
	t.Cleanup(w.stop)
	s = &streamOfTwo{t: t, world: w, first: first, again: again, second: second, caller: w.dial(t)}
	w.sendGet(t, s.caller, "/stream/x")
	second.await(second.reached, "the second runner was not tried")
	return s, second, third
}

// Guards against leaving a stream at a runner that pauses before each event although a hedge answers.
func TestHedgeOfStutteringRunnerNotUsed(t *testing.T) {
	s := hedgedStream(t, 4)
	s.first.sendEvents(1)
	s.assertReceived(1)
	s.second.complete()
	s.assertComplete()
	s.first.awaitCancel()
}

// Guards against two runners that work on one stream although the first one has continued.
func TestHedgeOutlivesSilence(t *testing.T) {
	s := hedgedStream(t, 4)
	s.sendUntilCancelled(s.first, s.second)
	s.first.complete()
	s.assertComplete()
}

// Guards against two runners that work on one stream although the hedge has taken over.
func TestReplacedAttemptOutlivesTakeover(t *testing.T) {
	s := hedgedStream(t, 4)
	s.sendUntilCancelled(s.second, s.first)
	s.second.complete()
	s.assertComplete()
}

// Guards against a stream that waits for a hedge which is silent after its first event, although the first runner has
// continued.
func TestSilentHedgeBlocksFirstRunner(t *testing.T) {
	s := hedgedStream(t, 4)
	s.second.sendEvents(1)
	s.assertReceived(1)
	s.first.complete()
	s.assertComplete()
	s.second.awaitCancel()
}

// Guards against avoiding a runner that has answered its request, because a hedge has answered it too.
func TestRunnerAvoidedForHedge(t *testing.T) {
	s := hedgedStream(t, 4)
	s.second.sendEvents(1)
	s.assertReceived(1)
	s.first.sendEvents(1)
	s.second.complete()
	s.assertComplete()
	s.first.awaitCancel()
	view := s.world.gateway.state.Roster.Find("a").View(time.Now())
	assert.False(t, view.Ejected, "a runner that works is avoided")
}

// streamOfTwo is a stream of a caller that two runners work on, each of which does what the test says next.
type streamOfTwo struct {
	t             *testing.T
	world         *world
	first, second *steppedRunner
	// again is the first runner if it gets a second request.
	again  *steppedRunner
	caller net.Conn
	reader *bufio.Reader
	// received is the number of events that the caller has.
	received int
}

// hedgedStream starts a stream and sends the given number of events of it, after which the first runner is silent until a
// hedge has reached the second one.
func hedgedStream(t *testing.T, events int) *streamOfTwo {
	t.Helper()
	s := &streamOfTwo{t: t, first: newSteppedRunner(t), again: newSteppedRunner(t), second: newSteppedRunner(t)}
	s.world = silentWorld(t, inTurn(s.first, s.again), s.second.serve)
	t.Cleanup(s.world.stop)
	s.caller = s.world.dial(t)
	s.world.sendGet(t, s.caller, "/stream/x")
	if events > 0 {
		s.first.sendEvents(events)
		s.assertReceived(events)
	}
	s.second.await(s.second.reached, "the second runner was not tried")
	return s
}

// assertReceived asserts that the caller gets the given number of events.
func (s *streamOfTwo) assertReceived(events int) {
	s.t.Helper()
	require.NoError(s.t, s.caller.SetReadDeadline(time.Now().Add(testTimeout)))
	if s.reader == nil {
		resp, err := http.ReadResponse(bufio.NewReader(s.caller), &http.Request{Method: http.MethodGet})
		require.NoError(s.t, err)
		s.reader = bufio.NewReader(resp.Body)
	}
	for range events {
		var event strings.Builder
		for !strings.HasSuffix(event.String(), "\n\n") {
			line, err := s.reader.ReadString('\n')
			require.NoError(s.t, err, "the answer was cut although a runner was answering")
			event.WriteString(line)
		}
		s.received++
		require.Equal(s.t, site.EventText(s.received), event.String())
	}
}

// sendUntilCancelled makes one runner send events until the request is cancelled at the other one.
func (s *streamOfTwo) sendUntilCancelled(from, other *steppedRunner) {
	s.t.Helper()
	for s.received < steppedEvents-1 {
		select {
		case <-other.cancelled:
			return
		case <-time.After(eventInterval):
			from.sendEvents(1)
			s.assertReceived(1)
		}
	}
	require.Fail(s.t, "the other runner is still working on the request")
}

// assertComplete asserts that the caller gets the rest of the stream, and nothing after it.
func (s *streamOfTwo) assertComplete() {
	s.t.Helper()
	s.assertReceived(steppedEvents - s.received)
	rest, err := io.ReadAll(s.reader)
	require.NoError(s.t, err)
	assert.Empty(s.t, rest)
}

// steppedEvents is the number of events in the stream of a steppedRunner.
const steppedEvents = 100

// steppedRunner serves one request by doing one step after another. Each step gets the number of the next event and
// returns that of the event after it. Once there are no more steps, the runner breaks off.
type steppedRunner struct {
	t         *testing.T
	steps     chan func(w http.ResponseWriter, r *http.Request, next int) int
	reached   chan struct{}
	cancelled chan struct{}
	requests  atomic.Int64
}

func newSteppedRunner(t *testing.T) *steppedRunner {
	t.Helper()
	return &steppedRunner{
		t: t, steps: make(chan func(http.ResponseWriter, *http.Request, int) int, 1),
		reached: make(chan struct{}), cancelled: make(chan struct{}),
	}
}

func (s *steppedRunner) serve(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	close(s.reached)
	next := lastEventIDOf(r) + 1
	for next <= steppedEvents {
		select {
		case step, ok := <-s.steps:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			next = step(w, r, next)
		case <-r.Context().Done():
			close(s.cancelled)
			return
		}
	}
}

// writeEvents writes the events from next to last and returns the number of the event after them.
func (s *steppedRunner) writeEvents(w http.ResponseWriter, r *http.Request, next, last int) int {
	r.Header.Set("Last-Event-Id", site.EventID(next-1))
	site.StreamEvents(w, r, last, 0)
	return last + 1
}

// sendEvents makes the runner send the given number of events, and returns once they are sent.
func (s *steppedRunner) sendEvents(count int) {
	s.sendUpTo(func(next int) int { return next + count - 1 })
}

// complete makes the runner send the rest of the stream, and returns once it is sent.
func (s *steppedRunner) complete() {
	s.sendUpTo(func(int) int { return steppedEvents })
}

// sendUpTo makes the runner send all events up to the one that the function chooses.
func (s *steppedRunner) sendUpTo(last func(next int) int) {
	sent := make(chan struct{})
	step := func(w http.ResponseWriter, r *http.Request, next int) int {
		defer close(sent)
		return s.writeEvents(w, r, next, last(next))
	}
	select {
	case s.steps <- step:
	case <-s.cancelled:
		return
	}
	select {
	case <-sent:
	case <-s.cancelled:
	case <-time.After(testTimeout):
		require.Fail(s.t, "the runner sends nothing")
	}
}

// breakOff makes the runner close the connection.
func (s *steppedRunner) breakOff() { close(s.steps) }

// awaitCancel waits until the entry has cancelled the request.
func (s *steppedRunner) awaitCancel() {
	s.t.Helper()
	s.await(s.cancelled, "the runner is still working on the request")
}

// awaitCancelOr waits until the entry has cancelled the request, or for the given time if it does not.
func (s *steppedRunner) awaitCancelOr(timeout time.Duration) {
	select {
	case <-s.cancelled:
	case <-time.After(timeout):
	}
}

func (s *steppedRunner) await(done <-chan struct{}, otherwise string) {
	s.t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		require.Fail(s.t, otherwise)
	}
}

// lastEventIDOf returns the number of the last event that the entry has, or zero.
func lastEventIDOf(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return last
}
