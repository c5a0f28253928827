package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testRatio  = 0.2
	testWindow = 10 * time.Second
	// testStep is the time between two events of a play.
	testStep = 100 * time.Millisecond
)

// process is an entry's process in a play. It believes in a number of entries, which may be wrong.
type process struct {
	budgets ServiceBudgets
	entries int
}

func newProcess(now time.Time, slack float64, entries int) *process {
	p := &process{entries: entries}
	p.budgets = ServiceBudgets{Ratio: testRatio, Window: testWindow, Slack: slack, Started: now, Entries: func() int { return p.entries }}
	return p
}

// request counts n requests.
func (p *process) request(now time.Time, n int) {
	for range n {
		p.budgets.RecordRequest(now, "s")
	}
}

// send sends up to n repeats, and returns how many the budget allows.
func (p *process) send(now time.Time, n int) int {
	sent := 0
	for range n {
		if repeat := p.budgets.Reserve(now, "s"); repeat == nil || !repeat.Send(now) {
			break
		}
		sent++
	}
	return sent
}

// play counts the requests and repeats of all processes by step.
type play struct {
	slack             float64
	requests, repeats []int
}

// sumBefore returns the sum of the last window that ends before a step.
func sumBefore(counts []int, end int) float64 {
	steps := int(testWindow / testStep)
	sum := 0
	for _, n := range counts[max(0, end-steps):max(0, end)] {
		sum += n
	}
	return float64(sum)
}

// excess returns the first window in which more repeats were sent than the published rule allows, or an empty string.
func (p *play) excess() string {
	steps := int(testWindow / testStep)
	for end := range len(p.requests) + 1 {
		most := max(sumBefore(p.requests, end), sumBefore(p.requests, end-steps/2), sumBefore(p.requests, end-steps))
		if sent, allowed := sumBefore(p.repeats, end), testRatio*most+p.slack; sent > allowed {
			return fmt.Sprintf("%v repeats in the window before %v, %v are allowed", sent, time.Duration(end)*testStep, allowed)
		}
	}
	return ""
}

// TestEntriesTogetherStayWithinBudget guards against entries whose repeats together exceed the budget in a window: with
// processes that are replaced, requests that move, and any belief in the number of entries.
func TestEntriesTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		entries := make([]*process, rapid.IntRange(1, 9).Draw(t, "entries"))
		p := &play{slack: float64(maxExtra * len(entries))}
		for i := range entries {
			entries[i] = newProcess(now, p.slack, 0)
		}
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			// Each phase has its own load, and its own share of requests that want a repeat.
			load := rapid.SliceOfN(rapid.IntRange(0, 6), len(entries), len(entries)).Draw(t, "requests of each entry")
			wanted := rapid.SampledFrom([]int{0, 1, 1000}).Draw(t, "wanted repeats")
			restarts := rapid.SliceOfN(rapid.IntRange(0, 60), len(entries), len(entries)).Draw(t, "steps between restarts")
			for step := range rapid.IntRange(1, 130).Draw(t, "steps") {
				now = now.Add(testStep)
				requests, repeats := 0, 0
				for i, e := range entries {
					e.request(now, load[i])
					requests += load[i]
					repeats += e.send(now, wanted)
					e.entries = (step*7 + i) % 12
					if restarts[i] > 0 && step%restarts[i] == 0 {
						entries[i] = newProcess(now, p.slack, e.entries)
					}
				}
				p.requests, p.repeats = append(p.requests, requests), append(p.repeats, repeats)
			}
		}
		assert.Empty(t, p.excess())
	})
}

// TestCalmEntriesKeepTheirRepeats guards against a bound that holds because repeats that it allows are not sent.
func TestCalmEntriesKeepTheirRepeats(t *testing.T) {
	calmEntry := func(perStep int) (*process, time.Time) {
		now := time.Unix(1000, 0)
		p := newProcess(now, 100, 10)
		for range 3 * int(testWindow/testStep) {
			now = now.Add(testStep)
			p.request(now, perStep)
		}
		return p, now
	}
	t.Run("as many as the ratio allows, for as long as they are wanted", func(t *testing.T) {
		p, now := calmEntry(10)
		wanted, sent := 0, 0
		for range 10 * int(testWindow/testStep) {
			now = now.Add(testStep)
			p.request(now, 10)
			wanted += 2
			sent += p.send(now, 2)
		}
		assert.GreaterOrEqual(t, float64(sent), 0.95*float64(wanted))
	})
	t.Run("half of a window's at once", func(t *testing.T) {
		p, now := calmEntry(10)
		assert.GreaterOrEqual(t, float64(p.send(now, 1000)), 0.95*testRatio*10*float64(testWindow/testStep)/2)
	})
	t.Run("an entry with hardly a request", func(t *testing.T) {
		p, now := calmEntry(0)
		p.request(now, 1)
		assert.Equal(t, 1, p.send(now, 1))
	})
}

func TestServiceBudgets(t *testing.T) {
	start := time.Unix(1000, 0)
	begin := func() *process {
		p := newProcess(start, 0, 1)
		p.request(start, 100)
		return p
	}
	t.Run("each service has its own budget", func(t *testing.T) {
		p := begin()
		p.budgets.RecordRequest(start, "other")
		p.send(start, 1000)
		assert.False(t, p.budgets.Allows(start, "s"))
		assert.False(t, p.budgets.Allows(start, "other"))
		for range 100 {
			p.budgets.RecordRequest(start, "other")
		}
		assert.True(t, p.budgets.Allows(start, "other"))
	})
	t.Run("a new process may send half of the ratio's repeats", func(t *testing.T) {
		assert.Equal(t, 10, begin().send(start, 1000))
	})
	t.Run("repeats that have left the window no longer count", func(t *testing.T) {
		p := begin()
		p.send(start, 1000)
		end, after := start.Add(testWindow-testStep), start.Add(testWindow+testWindow/slotsPerWindow)
		p.request(end, 9)
		assert.False(t, p.budgets.Allows(end, "s"))
		p.request(after, 1)
		assert.True(t, p.budgets.Allows(after, "s"))
	})
	t.Run("requests count for two windows", func(t *testing.T) {
		p := begin()
		assert.True(t, p.budgets.Allows(start.Add(testWindow-testStep), "s"))
		assert.False(t, p.budgets.Allows(start.Add(testWindow), "s"), "a repeat now has no request in the window before it")
	})
	t.Run("the slack allows few repeats, and none before a process has run for a window", func(t *testing.T) {
		p := newProcess(start, 100, 1)
		assert.False(t, p.budgets.Allows(start.Add(testWindow-1), "s"))
		assert.Equal(t, maxExtra, p.send(start.Add(testWindow), 1000))
		assert.Zero(t, p.send(start.Add(2*testWindow), 1000))
		assert.Equal(t, maxExtra, p.send(start.Add(3*testWindow), 1000))
	})
	t.Run("entries that are many for the slack use less of it", func(t *testing.T) {
		assert.Equal(t, 1, newProcess(start, 100, 60).send(start.Add(testWindow), 1000))
		assert.Zero(t, newProcess(start, 100, 101).send(start.Add(testWindow), 1000))
	})
}

// TestRepeatsThatWait guards against repeats that are counted long before they are sent, so that they arrive together with
// those that are counted then.
func TestRepeatsThatWait(t *testing.T) {
	start := time.Unix(1000, 0)
	begin := func() (*process, *Repeat) {
		p := newProcess(start, 0, 1)
		p.request(start, 10)
		repeat := p.budgets.Reserve(start, "s")
		require.NotNil(t, repeat)
		return p, repeat
	}
	t.Run("a repeat that is set aside is not given to another request", func(t *testing.T) {
		p, _ := begin()
		assert.Nil(t, p.budgets.Reserve(start, "s"))
	})
	t.Run("it counts from its send on", func(t *testing.T) {
		p, repeat := begin()
		later := start.Add(testWindow - testStep)
		require.True(t, repeat.Send(later))
		assert.Equal(t, 1, p.budgets.Usage(later.Add(testWindow/2), "s").Repeats)
	})
	t.Run("it is not sent once its requests are too old", func(t *testing.T) {
		_, repeat := begin()
		assert.False(t, repeat.Send(start.Add(testWindow)))
	})
	t.Run("it is given back if it is not sent", func(t *testing.T) {
		p, repeat := begin()
		repeat.Return(start)
		assert.True(t, p.budgets.Allows(start, "s"))
	})
	t.Run("it is given back if it has reached no runner", func(t *testing.T) {
		p, repeat := begin()
		require.True(t, repeat.Send(start))
		require.False(t, p.budgets.Allows(start, "s"))
		repeat.Return(start.Add(testStep))
		assert.True(t, p.budgets.Allows(start.Add(testStep), "s"))
	})
}

func TestRemaining(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newProcess(now, 0, 4)
	assert.InDelta(t, 1, p.budgets.Remaining(now), 0, "no requests and no repeats yet")
	p.request(now, 100)
	before := p.budgets.Remaining(now)
	assert.InDelta(t, 1, before, 0)
	for p.send(now, 1) == 1 {
		remaining := p.budgets.Remaining(now)
		assert.Less(t, remaining, before)
		before = remaining
	}
	assert.InDelta(t, 0, before, 0)
	assert.InDelta(t, 1, p.budgets.Remaining(now.Add(time.Minute)), 0, "all repeats have left the window")
}

// BenchmarkRepeat measures deciding on a repeat and counting it.
func BenchmarkRepeat(b *testing.B) {
	now := time.Unix(1000, 0)
	p := newProcess(now, 0, 1)
	p.request(now, 1000)
	b.ReportAllocs()
	for b.Loop() {
		repeat := p.budgets.Reserve(now, "s")
		if !repeat.Send(now) {
			b.Fatal("the budget is used up")
		}
		repeat.Return(now)
	}
}
