package drain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestDecide(t *testing.T) {
	s := Stop{Signalled: start, Notice: 2 * time.Second, End: at(7 * time.Second)}
	assertVerdict := func(t *testing.T, want Verdict, now, patience time.Duration, r Request) {
		t.Helper()
		r.Due = at(now + patience)
		assert.Equal(t, want, s.Decide(at(now), r))
	}
	quick := Request{Likely: time.Second, Surely: 3 * time.Second}
	t.Run("what is due before the end is passed on, whatever it usually takes", func(t *testing.T) {
		assertVerdict(t, Pass, 4*time.Second, 2*time.Second, Request{Likely: 9 * time.Second, Surely: 9 * time.Second})
		assertVerdict(t, Pass, 4*time.Second, 3*time.Second, Request{})
	})
	t.Run("while callers cannot know yet, what surely ends in time is passed on", func(t *testing.T) {
		assertVerdict(t, Pass, time.Second, time.Minute, quick)
	})
	t.Run("what only likely ends in time is buffered until it is whole", func(t *testing.T) {
		assertVerdict(t, Buffer, time.Second, time.Minute, Request{Likely: time.Second, Surely: 7 * time.Second})
	})
	t.Run("once callers can know, everything that is not due is buffered", func(t *testing.T) {
		assertVerdict(t, Buffer, 2*time.Second, time.Minute, quick)
		assertVerdict(t, Buffer, 5*time.Second, time.Minute, quick)
	})
	t.Run("nothing is buffered for longer than its caller stays without a word", func(t *testing.T) {
		assertVerdict(t, Buffer, 3*time.Second, time.Minute, Request{Likely: 2 * time.Second, Surely: 3 * time.Second, Quiet: 2 * time.Second})
		assertVerdict(t, Refuse, 3*time.Second, time.Minute, Request{Likely: 3 * time.Second, Surely: 3 * time.Second, Quiet: 2 * time.Second})
	})
	t.Run("what likely ends too late, or nobody knows when, is refused", func(t *testing.T) {
		assertVerdict(t, Refuse, time.Second, time.Minute, Request{Likely: 7 * time.Second, Surely: 7 * time.Second})
		assertVerdict(t, Refuse, time.Second, time.Minute, Request{})
		assertVerdict(t, Refuse, 6500*time.Millisecond, time.Minute, quick)
	})
	t.Run("from the end on everything is refused", func(t *testing.T) {
		assertVerdict(t, Refuse, 7*time.Second, 0, Request{Likely: time.Millisecond, Surely: time.Millisecond})
	})
}

// TestNothingLateIsCut: what is passed on is due before the end, or surely whole by then and taken before callers could know.
func TestNothingLateIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		s := Stop{Signalled: start, Notice: drawn("notice"), End: at(drawn("end"))}
		now := at(drawn("now"))
		r := Request{Due: now.Add(drawn("patience")), Likely: drawn("likely"), Surely: drawn("surely"), Quiet: drawn("quiet")}
		if s.Decide(now, r) == Pass && r.Due.After(s.End) {
			assert.True(t, now.Before(s.Signalled.Add(s.Notice)))
			assert.Positive(t, r.Surely)
			assert.False(t, now.Add(r.Surely).After(s.End))
		}
	})
}

func TestUsual(t *testing.T) {
	t.Run("nothing is said of a kind that is not known", func(t *testing.T) {
		var u Usual
		assert.Zero(t, u.Time(4))
	})
	t.Run("little is sure while little is known", func(t *testing.T) {
		var u Usual
		u.Add(time.Second)
		assert.Equal(t, 2*time.Second, u.Time(1))
		assert.Equal(t, 5*time.Second, u.Time(4))
	})
	t.Run("times that are alike are usual themselves", func(t *testing.T) {
		var u Usual
		for range 100 {
			u.Add(time.Second)
		}
		assert.InDelta(t, time.Second, u.Time(0), float64(time.Millisecond))
	})
	// shareWithin is the share of times, most short and some long, that stay within what was usual before them.
	shareWithin := func(deviations int) float64 {
		var u Usual
		random := rand.New(rand.NewPCG(1, 1))
		within := 0
		const all = 4000
		for range all {
			took := time.Duration(random.ExpFloat64() * float64(time.Second))
			if took <= u.Time(deviations) {
				within++
			}
			u.Add(took)
		}
		return float64(within) / all
	}
	t.Run("three in four of times that vary much are within one deviation", func(t *testing.T) {
		assert.Greater(t, shareWithin(1), 0.75)
	})
	t.Run("nearly all of them are within four", func(t *testing.T) {
		assert.Greater(t, shareWithin(4), 0.95)
	})
}
