package roster

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/deployment"
)

// A runner that responds again after a silence may have been restarted meanwhile. This holds whether the runner or
// its agent was silent.
func TestRecoveryAfterSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	report := func(after time.Duration, silent bool) Report {
		return Report{ReceivedAt: start.Add(after), Load: deployment.Load{Unresponsive: silent}}
	}
	for name, c := range map[string]struct {
		first, second Report
		recovered     bool
	}{
		"reports in time":                          {first: report(0, false), second: report(maxReportAge-1, false)},
		"the runner recovers":                      {first: report(0, true), second: report(1, false), recovered: true},
		"the runner stays silent":                  {first: report(0, true), second: report(1, true)},
		"the agent recovers":                       {first: report(0, false), second: report(maxReportAge, false), recovered: true},
		"the agent recovers, its runner is silent": {first: report(0, false), second: report(maxReportAge, true)},
	} {
		t.Run(name, func(t *testing.T) {
			var r Runner
			assert.False(t, r.SetReport(c.first), "the first report does not follow a silence")
			assert.Equal(t, c.recovered, r.SetReport(c.second))
		})
	}
}

// A runner that turns cold must not get more requests than it can take in a second, even if many entries each send
// only one. The runner has no agent that could grant permits to them.
func TestManyEntriesOverloadColdRunner(t *testing.T) {
	const (
		entries      = 25
		perSecond    = 11
		maxPerSecond = perSecond*1.5 + 5
		step         = 10 * time.Millisecond
		cold         = 20 * time.Second
	)
	start, interval := time.Unix(1000, 0), entries*time.Second/perSecond
	for name, warm := range map[string]bool{"cold from the start": false, "cold after use": true} {
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
					r.PaceColdPermits(now, interval, random.Float64())
					if r.Admit(now) == "" {
						r.BeginRequest(now, 0, 0)
						sent = append(sent, now)
					}
				}
			}
			for i, first := range sent {
				count := slices.IndexFunc(sent[i:], func(at time.Time) bool { return at.Sub(first) >= time.Second })
				assert.LessOrEqual(t, float64(count), maxPerSecond, "from %s on", first.Sub(start))
			}
			assert.Greater(t, float64(len(sent)), 0.8*perSecond*cold.Seconds(), "the permitted rate is used")
		})
	}
}
