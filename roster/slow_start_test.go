package roster

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/deployment"
)

// TestReturnAfterSilence: a runner that answers again may have started anew meanwhile, whether it or its agent was silent.
func TestReturnAfterSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	report := func(after time.Duration, silent bool) Report {
		return Report{ReceivedAt: start.Add(after), Load: deployment.Load{Unresponsive: silent}}
	}
	for name, c := range map[string]struct {
		first, second Report
		returned      bool
	}{
		"reports in time":                {first: report(0, false), second: report(reportAge-1, false)},
		"a runner that was silent":       {first: report(0, true), second: report(1, false), returned: true},
		"one that still is":              {first: report(0, true), second: report(1, true)},
		"an agent that was silent":       {first: report(0, false), second: report(reportAge, false), returned: true},
		"an agent whose runner is, then": {first: report(0, false), second: report(reportAge, true)},
	} {
		t.Run(name, func(t *testing.T) {
			var r Runner
			assert.False(t, r.SetReport(c.first), "the first report follows no silence")
			assert.Equal(t, c.returned, r.SetReport(c.second))
		})
	}
}

// TestColdRunnerOfManyEntries: a runner without an agent that turned cold was sent one request by each of more entries than it bears in a second.
func TestColdRunnerOfManyEntries(t *testing.T) {
	const (
		entries   = 25
		perSecond = 11
		most      = perSecond*1.5 + 5
		step      = 10 * time.Millisecond
		cold      = 20 * time.Second
	)
	start, space := time.Unix(1000, 0), entries*time.Second/perSecond
	for name, warm := range map[string]bool{"found cold at the start": false, "cold after it was in use": true} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 5))
			runners := make([]*Runner, entries)
			for i := range runners {
				runners[i] = newRunner(deployment.Runner{}, time.Time{})
				if warm {
					runners[i].BeginRequest(start.Add(-time.Duration(i)*step), 0, 0)
				}
				runners[i].MarkCold(start.Add(cold))
			}
			var sent []time.Time
			for now := start; now.Before(start.Add(cold)); now = now.Add(step) {
				for _, r := range runners {
					r.PaceColdPermits(now, space, random.Float64())
					if r.Admit(now) == "" {
						r.BeginRequest(now, 0, 0)
						sent = append(sent, now)
					}
				}
			}
			for i, first := range sent {
				within := slices.IndexFunc(sent[i:], func(at time.Time) bool { return at.Sub(first) >= time.Second })
				assert.LessOrEqual(t, float64(within), most, "from %s on", first.Sub(start))
			}
			assert.Greater(t, float64(len(sent)), 0.8*perSecond*cold.Seconds(), "what it bears is used")
		})
	}
}
