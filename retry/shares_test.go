package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestSharesKeepTheBound has entries spend as much as they can and counts every sliding window over all of them.
func TestSharesKeepTheBound(t *testing.T) {
	const ratio, slack, window = 0.2, 54.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]*ServiceBudgets, rapid.IntRange(1, 9).Draw(t, "entries"))
		for i := range entries {
			entries[i] = &ServiceBudgets{Ratio: ratio, Slack: slack, Window: window}
			entries[i].SetEntries(len(entries))
		}
		var requests, repeats [60]float64 // by half seconds
		start := time.Unix(1000, 0)
		for half := range requests {
			now := start.Add(time.Duration(half) * time.Second / 2)
			for _, e := range entries {
				for range rapid.IntRange(0, 12).Draw(t, "requests") {
					e.RecordRequest(now, "s")
					requests[half]++
					if e.TrySpend(now, "s") {
						repeats[half]++
					}
				}
			}
		}
		for end := 20; end <= len(requests); end++ {
			asked, again := 0.0, 0.0
			for half := end - 20; half < end; half++ {
				asked += requests[half]
				again += repeats[half]
			}
			assert.LessOrEqual(t, again, ratio*asked+slack+1)
		}
	})
}

func TestShares(t *testing.T) {
	start := time.Now()
	t.Run("services have budgets of their own", func(t *testing.T) {
		s := &ServiceBudgets{Ratio: 0.2, Slack: 8, Window: time.Second}
		s.SetEntries(1)
		for s.TrySpend(start, "a") {
		}
		assert.True(t, s.TrySpend(start, "b"))
		assert.False(t, s.Allows(start, "a"))
	})
	t.Run("what was spent comes back once the window is over", func(t *testing.T) {
		s := &ServiceBudgets{Ratio: 0.2, Slack: 8, Window: time.Second}
		s.SetEntries(1)
		for s.TrySpend(start, "a") {
		}
		assert.False(t, s.TrySpend(start.Add(900*time.Millisecond), "a"))
		assert.True(t, s.TrySpend(start.Add(1100*time.Millisecond), "a"))
	})
	t.Run("until somebody says how many entries there are, few repeats are allowed", func(t *testing.T) {
		s := &ServiceBudgets{Slack: 8, Window: time.Second}
		spent := 0
		for s.TrySpend(start, "a") {
			spent++
		}
		assert.LessOrEqual(t, spent, 8/DefaultEntries)
	})
}

func TestShareLeft(t *testing.T) {
	s := ServiceBudgets{Ratio: 0.2, Window: 10 * time.Second, Slack: 80}
	s.SetEntries(4)
	now := time.Unix(0, 0)
	assert.InDelta(t, 1, s.Remaining(now), 0, "nothing is spent where nothing is asked")
	s.RecordRequest(now, "plain")
	before := s.Remaining(now)
	for s.TrySpend(now, "plain") {
		left := s.Remaining(now)
		assert.Less(t, left, before)
		before = left
	}
	assert.Less(t, before, 0.1)
	assert.InDelta(t, 1, s.Remaining(now.Add(time.Minute)), 0, "the window has passed")
}
