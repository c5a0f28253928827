package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func setting(agents int) Setting {
	return Setting{
		Entries: agents / 5, Agents: agents, Zones: 17, Lost: 0.3, RequestsPerSecond: float64(agents) * 7200 / 4200,
		DigestEvery: 2 * time.Second, Seed: 1,
	}
}

func TestChangeReachesAll(t *testing.T) {
	for _, carried := range []bool{false, true} {
		t.Run(fmt.Sprintf("carried=%v", carried), func(t *testing.T) {
			s := setting(420)
			s.Carried = carried
			r := Run(s)
			assert.LessOrEqual(t, r.All, 20*time.Second)
			assert.Positive(t, r.Pushed)
		})
	}
}

// BenchmarkFreshness compares comparing marks alone with carrying them on requests too, by size of fleet and by share of
// pushes lost.
func BenchmarkFreshness(b *testing.B) {
	for _, agents := range []int{140, 420, 1400} {
		for _, lost := range []float64{0.1, 0.5, 1} {
			for _, carried := range []bool{false, true} {
				b.Run(fmt.Sprintf("agents=%d/lost=%v/carried=%v", agents, lost, carried), func(b *testing.B) {
					var all, most time.Duration
					const seeds = 3
					for b.Loop() {
						all, most = 0, 0
						for seed := range uint64(seeds) {
							s := setting(agents)
							s.Lost, s.Carried, s.Seed = lost, carried, seed+1
							r := Run(s)
							all += r.All / seeds
							most += r.Most / seeds
						}
					}
					b.ReportMetric(all.Seconds(), "s-all")
					b.ReportMetric(most.Seconds(), "s-99%")
				})
			}
		}
	}
}
