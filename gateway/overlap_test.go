package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// Guards against two runners that work on one stream for as long as the one that goes on sends no second event.
func TestTwoRunnersWorkOnSilentStream(t *testing.T) {
	for _, events := range []int{0, 4} {
		t.Run(fmt.Sprint("the hedge has sent its first event after ", events), func(t *testing.T) {
			s := hedgedStream(t, events)
			s.second.sendEvents(1)
			s.assertReceived(1)
			s.first.awaitCancel()
			s.second.complete()
			s.assertComplete()
		})
		t.Run(fmt.Sprint("the hedge has sent nothing and the first runner has gone on after ", events), func(t *testing.T) {
			s := hedgedStream(t, events)
			s.first.sendEvents(1)
			s.assertReceived(1)
			s.second.awaitCancel()
			s.first.complete()
			s.assertComplete()
		})
	}
	t.Run("the first runner has gone on before the first event of the hedge, which was asked for the rest", func(t *testing.T) {
		s := hedgedStream(t, 4)
		s.first.sendEvents(1)
		s.assertReceived(1)
		s.second.sendEvents(2)
		s.first.awaitCancel()
		s.second.complete()
		s.assertComplete()
	})
	t.Run("the first runner has begun before the first event of the hedge", func(t *testing.T) {
		s := hedgedStream(t, 0)
		s.first.sendEvents(1)
		s.assertReceived(1)
		s.second.sendEvents(2)
		s.second.awaitCancel()
		s.first.complete()
		s.assertComplete()
	})
	t.Run("neither has sent anything since the hedge was asked for the rest", func(t *testing.T) {
		s := hedgedStream(t, 4)
		s.first.awaitCancel()
		s.second.complete()
		s.assertComplete()
	})
	t.Run("neither has sent anything since the hedge was asked for the rest, and the hedge breaks off", func(t *testing.T) {
		s := hedgedStream(t, 4)
		s.first.awaitCancel()
		s.second.breakOff()
		s.again.await(s.again.reached, "the first runner was not asked again")
		s.again.complete()
		s.assertComplete()
		assert.EqualValues(t, 1, s.second.requests.Load(), "the runner that broke off was asked again, too")
	})
}

// Guards against ending one of two runners that have not begun to answer, and that may both be about to.
func TestRunnerEndedBeforeAnyHasBegun(t *testing.T) {
	s := hedgedStream(t, 0)
	s.first.awaitCancelOr(4 * minSilence)
	s.first.complete()
	s.assertComplete()
	s.second.awaitCancel()
}

// Guards against two runners that work on one stream that moves away from a runner that is about to load weights, for as long
// as the other one sends no second event.
func TestTwoRunnersWorkOnMovedStream(t *testing.T) {
	t.Run("the other one has sent its first event", func(t *testing.T) {
		ended, goOn := make(chan struct{}), make(chan struct{})
		w, loads, other := loadingWorld(t, func(w http.ResponseWriter, r *http.Request) {
			next := lastEventIDOf(r) + 1
			site.StreamEvents(w, r, next, 0)
			select {
			case <-goOn:
			case <-r.Context().Done():
				return
			}
			r.Header.Set("Last-Event-Id", site.EventID(next))
			site.StreamEvents(w, r, streamEvents, 0)
		})
		defer w.stop()
		loads.Handle = loadingUntilEnded(w, ended)
		conn := w.sendPrompt(t, "/prompt/x")
		select {
		case <-ended:
		case <-time.After(testTimeout):
			require.Fail(t, "the first runner still works on the stream")
		}
		close(goOn)
		got := readAnswer(t, conn, "POST")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(streamEvents), got.body)
		assert.Len(t, other.ReceivedRequests(), 1)
	})
	t.Run("the other one sends nothing", func(t *testing.T) {
		ended := make(chan struct{})
		w, loads, _ := loadingWorld(t, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(ended)
		})
		defer w.stop()
		loads.Handle = pauseAfterFifthEvent(w, ended)
		got := readAnswer(t, w.sendPrompt(t, "/prompt/x"), "POST")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(streamEvents), got.body)
	})
}

// loadingUntilEnded returns a handler that reports a pending weight load after the fourth event of a stream, and sends one
// more event and then nothing until the entry ends the request.
func loadingUntilEnded(w *world, ended chan<- struct{}) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		site.StreamEvents(rw, r, 4, 0)
		setReport(w, "loads", deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true})
		time.Sleep(eventInterval)
		_, _ = io.WriteString(rw, site.EventText(5))
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
		close(ended)
	}
}
