package main

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRepeatsStayWithinBudget guards against entries that together repeat more requests than the platform allows, while
// runners refuse most of them and entries and agents are killed and stopped in series.
func TestRepeatsStayWithinBudget(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			actions := engineSchedule(seed, shortLength, repeatFaults)
			assertGuaranteesOf(t, binary, actions, clusterSize{Entries: 6, Runners: 4, Callers: 30})
		})
	}
}

func TestJudgeOfRetryBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	// observed has 100 requests within a second, and the given number of repeats at one moment.
	observed := func(repeats int, at time.Duration) *observations {
		r := &observations{}
		for i := range 100 {
			id := fmt.Sprint(i)
			r.Calls = append(r.Calls, callRecord{ID: id, Kind: kindPrompt, SentAt: start.Add(time.Duration(i) * 10 * time.Millisecond)})
			r.Arrivals = append(r.Arrivals, arrival{ID: id, At: start.Add(time.Second)})
		}
		for i := range repeats {
			r.Arrivals = append(r.Arrivals, arrival{ID: fmt.Sprint(i % 100), At: start.Add(at)})
		}
		return r
	}
	judged := func(r *observations) int {
		violations := 0
		r.checkRetryBudget(func(string, ...any) { violations++ })
		return violations
	}
	most := 20 + retrySlack
	t.Run("as many as the ratio and the slack allow", func(t *testing.T) {
		assert.Zero(t, judged(observed(most, 2*time.Second)))
	})
	t.Run("one more", func(t *testing.T) {
		assert.Equal(t, 1, judged(observed(most+1, 2*time.Second)))
	})
	t.Run("the requests of the window before count", func(t *testing.T) {
		assert.Zero(t, judged(observed(most, retryWindow)))
		assert.Equal(t, 1, judged(observed(retrySlack+1, 2*retryWindow)))
	})
	t.Run("repeats of two windows are allowed to be more", func(t *testing.T) {
		r := observed(retrySlack, 2*time.Second)
		r.Arrivals = append(r.Arrivals, observed(retrySlack, 2*time.Second+retryWindow).Arrivals[100:]...)
		assert.Zero(t, judged(r))
	})
	t.Run("repeats of another service are counted apart", func(t *testing.T) {
		r := observed(most, 2*time.Second)
		for i := range retrySlack {
			id := fmt.Sprintf("plain-%d", i)
			r.Calls = append(r.Calls, callRecord{ID: id, Kind: kindRepeat, SentAt: start})
			r.Arrivals = append(r.Arrivals, arrival{ID: id, At: start}, arrival{ID: id, At: start.Add(2 * time.Second)})
		}
		assert.Zero(t, judged(r))
	})
	t.Run("arrivals of requests that no caller sent do not count", func(t *testing.T) {
		r := observed(0, 0)
		for range most + 1 {
			r.Arrivals = append(r.Arrivals, arrival{ID: "probe", At: start})
		}
		assert.Zero(t, judged(r))
	})
}
