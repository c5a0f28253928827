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

// observation returns the observation of a response that states the given limit, or no limit if that is negative. The
// request was sent, and the response received, the given number of milliseconds after the start.
func observation(sent, received int, perSecond float64) Observation {
	o := Observation{Sent: at(sent), Received: at(received)}
	if perSecond >= 0 {
		o.Limit = Limit{Bounded: true, PerSecond: perSecond}
	}
	return o
}

func TestMerge(t *testing.T) {
	noLimit := -1.0
	for name, c := range map[string]struct {
		known, next Observation
		limit       float64
	}{
		"the first observation":                        {Observation{}, observation(0, 1, 3), 3},
		"a later response without a limit":             {observation(0, 10, 3), observation(10, 20, noLimit), noLimit},
		"an overlapping response without a limit":      {observation(0, 10, 3), observation(5, 20, noLimit), 3},
		"an earlier response with a limit":             {observation(10, 20, noLimit), observation(0, 9, 3), noLimit},
		"an overlapping response with a limit":         {observation(10, 20, noLimit), observation(0, 30, 3), 3},
		"a later response with a higher limit":         {observation(0, 10, 3), observation(11, 12, 5), 5},
		"an overlapping response with a higher limit":  {observation(0, 10, 3), observation(9, 12, 5), 3},
		"an overlapping response with a limit of zero": {observation(0, 10, 3), observation(9, 12, 0), 0},
	} {
		t.Run(name, func(t *testing.T) {
			assertLimit(t, c.limit, Merge(c.known, c.next))
			assertLimit(t, c.limit, Merge(c.next, c.known))
		})
	}
	t.Run("a limit is lifted only by the response to a request sent after every response that stated it", func(t *testing.T) {
		crossed := Merge(observation(0, 10, 3), observation(2, 30, 3))
		assertLimit(t, 3, Merge(crossed, observation(20, 40, noLimit)))
		assertLimit(t, noLimit, Merge(crossed, observation(30, 40, noLimit)))
	})
}

func assertLimit(t *testing.T, perSecond float64, o Observation) {
	t.Helper()
	assert.Equal(t, perSecond >= 0, o.Limit.Bounded)
	assert.InDelta(t, max(perSecond, 0), o.Limit.PerSecond, 0)
}

const (
	// All senders together may send at most the limit times overshootFactor, plus slack requests, in any window.
	window          = 4 * time.Second
	overshootFactor = 1.5
	slack           = 5
	// sendInterval is the time between two requests that one sender wants to send, and allocationInterval the time
	// between two allocations of permits to it.
	sendInterval       = 10 * time.Millisecond
	allocationInterval = 100 * time.Millisecond
)

// simulation runs one limited runner and its senders in virtual time. Only connected senders receive permits.
type simulation struct {
	limit     Limit
	now       time.Time
	rand      *rand.Rand
	allocator permit.Allocator
	shares    []permit.Share
	throttles []Throttle
	connected []bool
	sent      []time.Time
}

func newSimulation(perSecond float64, senders int, seed uint64) *simulation {
	s := &simulation{
		limit: Limit{Bounded: true, PerSecond: perSecond}, now: start, rand: rand.New(rand.NewPCG(seed, 1)),
		shares: make([]permit.Share, senders), throttles: make([]Throttle, senders), connected: make([]bool, senders),
	}
	for i := range senders {
		s.connected[i] = true
		s.throttles[i].Observe(start, Observation{Limit: s.limit, Sent: start, Received: start})
	}
	return s
}

// run lets every sender send as much as its throttle allows for the given time.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(sendInterval) {
		for i := range s.throttles {
			s.sendFrom(i)
		}
	}
}

func (s *simulation) sendFrom(i int) {
	throttle := &s.throttles[i]
	if s.connected[i] && s.now.Sub(start)%allocationInterval == 0 {
		n := s.allocator.Allocate(s.now, &s.shares[i], len(s.shares), s.limit.Rate())
		throttle.AddPermits(s.now, s.limit, n, s.now.Add(permit.Validity))
	}
	throttle.Pace(s.now, len(s.shares), s.rand.Float64())
	if throttle.Take(s.now) {
		s.sent = append(s.sent, s.now)
	}
}

// maxInWindow returns the highest number of requests sent within any one window.
func (s *simulation) maxInWindow() int {
	highest := 0
	for i, first := range s.sent {
		n := 0
		for _, sentAt := range s.sent[i:] {
			if sentAt.Sub(first) < window {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

func (s *simulation) assertWithinBound(t assert.TestingT) {
	assert.LessOrEqual(t, float64(s.maxInWindow()), s.limit.PerSecond*overshootFactor*window.Seconds()+slack)
}

// TestSendersTogetherStayWithinLimit guards against senders that together exceed the limit while some of them lose and
// regain their connection to the allocator.
func TestSendersTogetherStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Float64Range(0.1, 20).Draw(t, "limit"), rapid.IntRange(1, 60).Draw(t, "senders"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			disconnectedFraction := rapid.SampledFrom([]float64{0, 0, 0.2, 0.5, 1}).Draw(t, "disconnected fraction")
			for i := range s.connected {
				s.connected[i] = s.rand.Float64() >= disconnectedFraction
			}
			s.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")/10*10) * time.Millisecond)
		}
		s.assertWithinBound(t)
	})
}

// TestLimitIsNotUnderused guards against requests that are held back although the limit allows them, in particular with
// many senders under a low limit, and while no permits are allocated.
func TestLimitIsNotUnderused(t *testing.T) {
	const seconds = 60
	for _, senders := range []int{1, 4, 25, 103} {
		for _, perSecond := range []float64{0.5, 1, 10} {
			s := newSimulation(perSecond, senders, 7)
			s.run(seconds * time.Second)
			s.assertWithinBound(t)
			assert.GreaterOrEqual(t, float64(len(s.sent)), 0.7*perSecond*seconds, "%d senders, limit %g per second", senders, perSecond)
			disconnected := newSimulation(perSecond, senders, 7)
			clear(disconnected.connected)
			disconnected.run(seconds * time.Second)
			disconnected.assertWithinBound(t)
			assert.GreaterOrEqual(t, float64(len(disconnected.sent)), 0.3*perSecond*seconds, "%d senders without permits, limit %g per second", senders, perSecond)
		}
	}
}

func TestThrottle(t *testing.T) {
	limit := Limit{Bounded: true, PerSecond: 2}
	t.Run("without a limit every request is allowed", func(t *testing.T) {
		var throttle Throttle
		assert.False(t, throttle.Observe(at(0), observation(0, 1, -1)))
		assert.True(t, throttle.Take(at(1)))
	})
	t.Run("permits allocated under another limit are ignored", func(t *testing.T) {
		var throttle Throttle
		throttle.Observe(at(1), observation(0, 1, 2))
		throttle.AddPermits(at(2), Limit{Bounded: true, PerSecond: 9}, 5, at(500))
		assert.False(t, throttle.Allows(at(2)))
		throttle.AddPermits(at(2), limit, 1, at(500))
		assert.True(t, throttle.Take(at(3)))
		assert.False(t, throttle.Take(at(3)))
	})
	t.Run("a lower limit discards the permits", func(t *testing.T) {
		var throttle Throttle
		throttle.Observe(at(1), observation(0, 1, 2))
		throttle.AddPermits(at(2), limit, 1, at(500))
		assert.True(t, throttle.Observe(at(3), observation(2, 3, 1)))
		assert.False(t, throttle.Allows(at(3)))
	})
	t.Run("every request is allowed once the limit is lifted", func(t *testing.T) {
		var throttle Throttle
		throttle.Observe(at(1), observation(0, 1, 2))
		assert.True(t, throttle.Observe(at(3), observation(2, 3, -1)))
		assert.True(t, throttle.Take(at(3)))
	})
}
