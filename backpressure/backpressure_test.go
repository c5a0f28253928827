package backpressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach/permit"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// saw is an answer to a request sent so many milliseconds after the start, received so many after it, that names a limit, or none where that is negative.
func saw(sent, received int, perSecond float64) Observation {
	o := Observation{Sent: at(sent), Received: at(received)}
	if perSecond >= 0 {
		o.Limit = Limit{Bounded: true, PerSecond: perSecond}
	}
	return o
}

func TestMerge(t *testing.T) {
	none := -1.0
	for name, c := range map[string]struct {
		known, next Observation
		limit       float64
	}{
		"the first":                          {Observation{}, saw(0, 1, 3), 3},
		"a later one without a limit":        {saw(0, 10, 3), saw(10, 20, none), none},
		"one without, to an earlier request": {saw(0, 10, 3), saw(5, 20, none), 3},
		"a late one with a limit":            {saw(10, 20, none), saw(0, 9, 3), none},
		"one with a limit that has crossed":  {saw(10, 20, none), saw(0, 30, 3), 3},
		"a later higher limit":               {saw(0, 10, 3), saw(11, 12, 5), 5},
		"a higher limit that has crossed":    {saw(0, 10, 3), saw(9, 12, 5), 3},
		"a limit of nothing":                 {saw(0, 10, 3), saw(9, 12, 0), 0},
	} {
		t.Run(name, func(t *testing.T) {
			assertLimit(t, c.limit, Merge(c.known, c.next))
			assertLimit(t, c.limit, Merge(c.next, c.known))
		})
	}
	t.Run("a limit is taken back by an answer to a request sent after all answers that named it", func(t *testing.T) {
		crossed := Merge(saw(0, 10, 3), saw(2, 30, 3))
		assertLimit(t, 3, Merge(crossed, saw(20, 40, none)))
		assertLimit(t, none, Merge(crossed, saw(30, 40, none)))
	})
}

func assertLimit(t *testing.T, perSecond float64, o Observation) {
	t.Helper()
	assert.Equal(t, perSecond >= 0, o.Limit.Bounded)
	assert.InDelta(t, max(perSecond, 0), o.Limit.PerSecond, 0)
}

const (
	// window, over and slack are the bound on what all senders together may send: in any window so many times what the limit allows, and a few more.
	window = 4 * time.Second
	over   = 1.5
	slack  = 5
	// step is how often a sender has a request, and tellEvery how often it is told of permits.
	step      = 10 * time.Millisecond
	tellEvery = 100 * time.Millisecond
)

// fleet is one runner that names a limit, with senders of which some reach whoever allots permits, in virtual time.
type fleet struct {
	limit     Limit
	now       time.Time
	rand      *rand.Rand
	allotter  permit.Allocator
	shares    []permit.Share
	throttles []Throttle
	reaches   []bool
	sent      []time.Time
}

func newFleet(perSecond float64, senders int, seed uint64) *fleet {
	f := &fleet{
		limit: Limit{Bounded: true, PerSecond: perSecond}, now: start, rand: rand.New(rand.NewPCG(seed, 1)),
		shares: make([]permit.Share, senders), throttles: make([]Throttle, senders), reaches: make([]bool, senders),
	}
	for i := range senders {
		f.reaches[i] = true
		f.throttles[i].Observe(start, Observation{Limit: f.limit, Sent: start, Received: start})
	}
	return f
}

// play has each sender send whatever it may for so long.
func (f *fleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i := range f.throttles {
			f.sendFrom(i)
		}
	}
}

func (f *fleet) sendFrom(i int) {
	throttle := &f.throttles[i]
	if f.reaches[i] && f.now.Sub(start)%tellEvery == 0 {
		n := f.allotter.Allocate(f.now, &f.shares[i], len(f.shares), f.limit.Rate())
		throttle.AddPermits(f.now, f.limit, n, f.now.Add(permit.Validity))
	}
	throttle.Pace(f.now, len(f.shares), f.rand.Float64())
	if throttle.Take(f.now) {
		f.sent = append(f.sent, f.now)
	}
}

// most is how many requests came within one window at the most.
func (f *fleet) most() int {
	most := 0
	for i, first := range f.sent {
		n := 0
		for _, at := range f.sent[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (f *fleet) assertKept(t assert.TestingT) {
	assert.LessOrEqual(t, float64(f.most()), f.limit.PerSecond*over*window.Seconds()+slack)
}

// TestLimitIsKeptTogether draws limits, numbers of senders, and which of them reach the allotter at which times.
func TestLimitIsKeptTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Float64Range(0.1, 20).Draw(t, "limit"), rapid.IntRange(1, 60).Draw(t, "senders"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			cut := rapid.SampledFrom([]float64{0, 0, 0.2, 0.5, 1}).Draw(t, "cut off")
			for i := range f.reaches {
				f.reaches[i] = f.rand.Float64() >= cut
			}
			f.play(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")/10*10) * time.Millisecond)
		}
		f.assertKept(t)
	})
}

// TestLimitIsUsed: what a runner takes is sent to it, also by many senders under a low limit, and where nobody allots permits.
func TestLimitIsUsed(t *testing.T) {
	const seconds = 60
	for _, senders := range []int{1, 4, 25, 103} {
		for _, perSecond := range []float64{0.5, 1, 10} {
			f := newFleet(perSecond, senders, 7)
			f.play(seconds * time.Second)
			f.assertKept(t)
			assert.GreaterOrEqual(t, float64(len(f.sent)), 0.7*perSecond*seconds, "%d senders under %g a second", senders, perSecond)
			alone := newFleet(perSecond, senders, 7)
			clear(alone.reaches)
			alone.play(seconds * time.Second)
			alone.assertKept(t)
			assert.GreaterOrEqual(t, float64(len(alone.sent)), 0.3*perSecond*seconds, "%d senders by themselves under %g a second", senders, perSecond)
		}
	}
}

func TestThrottle(t *testing.T) {
	limit := Limit{Bounded: true, PerSecond: 2}
	t.Run("without a limit everything may be sent", func(t *testing.T) {
		var throttle Throttle
		assert.False(t, throttle.Observe(at(0), saw(0, 1, -1)))
		assert.True(t, throttle.Take(at(1)))
	})
	t.Run("permits of another limit let nothing through", func(t *testing.T) {
		var throttle Throttle
		throttle.Observe(at(1), saw(0, 1, 2))
		throttle.AddPermits(at(2), Limit{Bounded: true, PerSecond: 9}, 5, at(500))
		assert.False(t, throttle.Allows(at(2)))
		throttle.AddPermits(at(2), limit, 1, at(500))
		assert.True(t, throttle.Take(at(3)))
		assert.False(t, throttle.Take(at(3)))
	})
	t.Run("a lower limit takes permits back", func(t *testing.T) {
		var throttle Throttle
		throttle.Observe(at(1), saw(0, 1, 2))
		throttle.AddPermits(at(2), limit, 1, at(500))
		assert.True(t, throttle.Observe(at(3), saw(2, 3, 1)))
		assert.False(t, throttle.Allows(at(3)))
	})
	t.Run("once lifted it lets everything through", func(t *testing.T) {
		var throttle Throttle
		throttle.Observe(at(1), saw(0, 1, 2))
		assert.True(t, throttle.Observe(at(3), saw(2, 3, -1)))
		assert.True(t, throttle.Take(at(3)))
	})
}
