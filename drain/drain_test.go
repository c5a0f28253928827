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
	assertVerdict := func(t *testing.T, want Action, now, patience time.Duration, r Request) {
		t.Helper()
		r.Deadline = at(now + patience)
		assert.Equal(t, want, s.Decide(at(now), r))
	}
	quick := Request{TypicalDuration: time.Second, ConservativeDuration: 3 * time.Second}
	t.Run("what is due before the end is passed on, whatever it usually takes", func(t *testing.T) {
		assertVerdict(t, Stream, 4*time.Second, 2*time.Second, Request{TypicalDuration: 9 * time.Second, ConservativeDuration: 9 * time.Second})
		assertVerdict(t, Stream, 4*time.Second, 3*time.Second, Request{})
	})
	t.Run("while callers cannot know yet, what surely ends in time is passed on", func(t *testing.T) {
		assertVerdict(t, Stream, time.Second, time.Minute, quick)
	})
	t.Run("what only likely ends in time is buffered until it is whole", func(t *testing.T) {
		assertVerdict(t, Buffer, time.Second, time.Minute, Request{TypicalDuration: time.Second, ConservativeDuration: 7 * time.Second})
	})
	t.Run("once callers can know, everything that is not due is buffered", func(t *testing.T) {
		assertVerdict(t, Buffer, 2*time.Second, time.Minute, quick)
		assertVerdict(t, Buffer, 5*time.Second, time.Minute, quick)
	})
	t.Run("nothing is buffered for longer than its caller stays without a word", func(t *testing.T) {
		assertVerdict(t, Buffer, 3*time.Second, time.Minute, Request{TypicalDuration: 2 * time.Second, ConservativeDuration: 3 * time.Second, CallerIdleTimeout: 2 * time.Second})
		assertVerdict(t, Refuse, 3*time.Second, time.Minute, Request{TypicalDuration: 3 * time.Second, ConservativeDuration: 3 * time.Second, CallerIdleTimeout: 2 * time.Second})
	})
	t.Run("what likely ends too late, or nobody knows when, is refused", func(t *testing.T) {
		assertVerdict(t, Refuse, time.Second, time.Minute, Request{TypicalDuration: 7 * time.Second, ConservativeDuration: 7 * time.Second})
		assertVerdict(t, Refuse, time.Second, time.Minute, Request{})
		assertVerdict(t, Refuse, 6500*time.Millisecond, time.Minute, quick)
	})
	t.Run("from the end on everything is refused", func(t *testing.T) {
		assertVerdict(t, Refuse, 7*time.Second, 0, Request{TypicalDuration: time.Millisecond, ConservativeDuration: time.Millisecond})
	})
}

// TestNothingLateIsCut: what is passed on is due before the end, or surely whole by then and taken before callers could know.
func TestNothingLateIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		s := Shutdown{SignalTime: start, NoticePeriod: drawn("notice"), Deadline: at(drawn("end"))}
		now := at(drawn("now"))
		r := Request{Deadline: now.Add(drawn("patience")), TypicalDuration: drawn("likely"), ConservativeDuration: drawn("surely"), CallerIdleTimeout: drawn("quiet")}
		if s.Decide(now, r) == Stream && r.Deadline.After(s.Deadline) {
			assert.True(t, now.Before(s.SignalTime.Add(s.NoticePeriod)))
			assert.Positive(t, r.ConservativeDuration)
			assert.False(t, now.Add(r.ConservativeDuration).After(s.Deadline))
		}
	})
}
