package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func testConfig(agents int) Config {
	return Config{
		Entries: agents / 5, Agents: agents, Zones: 17, PushLossRate: 0.3, RequestsPerSecond: float64(agents) * 7200 / 4200,
		DigestInterval: 2 * time.Second, Seed: 1,
	}
}

// TestChangeReachesAll checks that a change reaches every process within 20 seconds if 30% of the pushes are lost.
func TestChangeReachesAll(t *testing.T) {
	for _, carried := range []bool{false, true} {
		t.Run(fmt.Sprintf("carried=%v", carried), func(t *testing.T) {
			s := testConfig(420)
			s.WatermarksOnRequests = carried
			r := Run(s)
			assert.LessOrEqual(t, r.All, 20*time.Second)
			assert.Positive(t, r.PushedCount)
		})
	}
}

// BenchmarkFreshness compares the replication with and without watermarks on requests, for several fleet sizes and
// push loss rates.
func BenchmarkFreshness(b *testing.B) {
	for _, agents := range []int{140, 420, 1400} {
		for _, lossRate := range []float64{0.1, 0.5, 1} {
			for _, onRequests := range []bool{false, true} {
				b.Run(fmt.Sprintf("agents=%d/lost=%v/carried=%v", agents, lossRate, onRequests), func(b *testing.B) {
					var all, p99 time.Duration
					const seeds = 3
					for b.Loop() {
						all, p99 = 0, 0
						for seed := range uint64(seeds) {
							s := testConfig(agents)
							s.PushLossRate, s.WatermarksOnRequests, s.Seed = lossRate, onRequests, seed+1
							r := Run(s)
							all += r.All / seeds
							p99 += r.P99 / seeds
						}
					}
					b.ReportMetric(all.Seconds(), "s-all")
					b.ReportMetric(p99.Seconds(), "s-99%")
				})
			}
		}
	}
}
