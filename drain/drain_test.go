package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestDecide(t *testing.T) {
	s := Shutdown{SignalTime: start, NoticePeriod: 2 * time.Second, Deadline: at(7 * time.Second)}
	assertAction := func(t *testing.T, want Action, now, timeout time.Duration, r Request) {
		t.Helper()
		r.Deadline = at(now + timeout)
		assert.Equal(t, want, s.Decide(at(now), r))
	}
	quick := Request{TypicalDuration: time.Second, ConservativeDuration: 3 * time.Second}
	t.Run("a request whose deadline is before the shutdown deadline is streamed whatever its duration", func(t *testing.T) {
		assertAction(t, Stream, 4*time.Second, 2*time.Second, Request{TypicalDuration: 9 * time.Second, ConservativeDuration: 9 * time.Second})
		assertAction(t, Stream, 4*time.Second, 3*time.Second, Request{})
	})
	t.Run("a request that almost certainly completes in time is streamed during the notice period", func(t *testing.T) {
		assertAction(t, Stream, time.Second, time.Minute, quick)
	})
	t.Run("a request that only typically completes in time is buffered", func(t *testing.T) {
		assertAction(t, Buffer, time.Second, time.Minute, Request{TypicalDuration: time.Second, ConservativeDuration: 7 * time.Second})
	})
	t.Run("after the notice period all requests with a later deadline are buffered", func(t *testing.T) {
		assertAction(t, Buffer, 2*time.Second, time.Minute, quick)
		assertAction(t, Buffer, 5*time.Second, time.Minute, quick)
	})
	t.Run("a request is not buffered for longer than its caller waits without data", func(t *testing.T) {
		assertAction(t, Buffer, 3*time.Second, time.Minute, Request{TypicalDuration: 2 * time.Second, ConservativeDuration: 3 * time.Second, CallerIdleTimeout: 2 * time.Second})
		assertAction(t, Refuse, 3*time.Second, time.Minute, Request{TypicalDuration: 3 * time.Second, ConservativeDuration: 3 * time.Second, CallerIdleTimeout: 2 * time.Second})
	})
	t.Run("a request of too long or unknown duration is refused", func(t *testing.T) {
		assertAction(t, Refuse, time.Second, time.Minute, Request{TypicalDuration: 7 * time.Second, ConservativeDuration: 7 * time.Second})
		assertAction(t, Refuse, time.Second, time.Minute, Request{})
		assertAction(t, Refuse, 6500*time.Millisecond, time.Minute, quick)
	})
	t.Run("from the shutdown deadline on every request is refused", func(t *testing.T) {
		assertAction(t, Refuse, 7*time.Second, 0, Request{TypicalDuration: time.Millisecond, ConservativeDuration: time.Millisecond})
	})
}

// TestStreamedAnswerIsCut guards against an answer that is streamed and then cut off by the end of the process. A
// streamed request must have its own deadline before the shutdown deadline, or arrive in the notice period and almost
// certainly complete in time.
func TestStreamedAnswerIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		s := Shutdown{SignalTime: start, NoticePeriod: draw("notice period"), Deadline: at(draw("shutdown deadline"))}
		now := at(draw("now"))
		r := Request{Deadline: now.Add(draw("timeout")), TypicalDuration: draw("typical duration"), ConservativeDuration: draw("conservative duration"), CallerIdleTimeout: draw("caller idle timeout")}
		if s.Decide(now, r) == Stream && r.Deadline.After(s.Deadline) {
			assert.True(t, now.Before(s.SignalTime.Add(s.NoticePeriod)))
			assert.Positive(t, r.ConservativeDuration)
			assert.False(t, now.Add(r.ConservativeDuration).After(s.Deadline))
		}
	})
}
