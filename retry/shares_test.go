package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestEntriesTogetherStayWithinBudget guards against entries whose repeats together exceed the budget within a sliding
// window, with each entry sending as many as it may.
func TestEntriesTogetherStayWithinBudget(t *testing.T) {
	const ratio, slack, window = 0.2, 54.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]*ServiceBudgets, rapid.IntRange(1, 9).Draw(t, "entries"))
		for i := range entries {
			entries[i] = &ServiceBudgets{Ratio: ratio, Slack: slack, Window: window}
			entries[i].SetEntries(len(entries))
		}
		var requests, repeats [60]float64 // per half second
		start := time.Unix(1000, 0)
		for half := range requests {
			now := start.Add(time.Duration(half) * time.Second / 2)
			for _, budgets := range entries {
				for range rapid.IntRange(0, 12).Draw(t, "requests") {
					budgets.RecordRequest(now, "s")
					requests[half]++
					if budgets.TrySpend(now, "s") {
						repeats[half]++
					}
				}
			}
		}
		for end := 20; end <= len(requests); end++ {
			requestSum, repeatSum := 0.0, 0.0
			for half := end - 20; half < end; half++ {
				requestSum += requests[half]
				repeatSum += repeats[half]
			}
			assert.LessOrEqual(t, repeatSum, ratio*requestSum+slack+1)
		}
	})
}

func TestServiceBudgets(t *testing.T) {
	start := time.Now()
	t.Run("each service has its own budget", func(t *testing.T) {
		b := &ServiceBudgets{Ratio: 0.2, Slack: 8, Window: time.Second}
		b.SetEntries(1)
		for b.TrySpend(start, "a") {
		}
		assert.True(t, b.TrySpend(start, "b"))
		assert.False(t, b.Allows(start, "a"))
	})
	t.Run("repeats that have left the window no longer count", func(t *testing.T) {
		b := &ServiceBudgets{Ratio: 0.2, Slack: 8, Window: time.Second}
		b.SetEntries(1)
		for b.TrySpend(start, "a") {
		}
		assert.False(t, b.TrySpend(start.Add(900*time.Millisecond), "a"))
		assert.True(t, b.TrySpend(start.Add(1100*time.Millisecond), "a"))
	})
	t.Run("the default number of entries applies until the number is set", func(t *testing.T) {
		b := &ServiceBudgets{Slack: 8, Window: time.Second}
		spent := 0
		for b.TrySpend(start, "a") {
			spent++
		}
		assert.LessOrEqual(t, spent, 8/DefaultEntries)
	})
}

func TestRemaining(t *testing.T) {
	b := ServiceBudgets{Ratio: 0.2, Window: 10 * time.Second, Slack: 80}
	b.SetEntries(4)
	now := time.Unix(0, 0)
	assert.InDelta(t, 1, b.Remaining(now), 0, "no requests and no repeats yet")
	b.RecordRequest(now, "plain")
	before := b.Remaining(now)
	for b.TrySpend(now, "plain") {
		remaining := b.Remaining(now)
		assert.Less(t, remaining, before)
		before = remaining
	}
	assert.Less(t, before, 0.1)
	assert.InDelta(t, 1, b.Remaining(now.Add(time.Minute)), 0, "all repeats have left the window")
}
