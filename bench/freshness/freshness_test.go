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
	for _, onRequests := range []bool{false, true} {
		t.Run(fmt.Sprintf("watermarks on requests=%v", onRequests), func(t *testing.T) {
			config := testConfig(420)
			config.WatermarksOnRequests = onRequests
			result := Run(config)
			assert.LessOrEqual(t, result.All, 20*time.Second)
			assert.Positive(t, result.PushedCount)
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
							config := testConfig(agents)
							config.PushLossRate, config.WatermarksOnRequests, config.Seed = lossRate, onRequests, seed+1
							result := Run(config)
							all += result.All / seeds
							p99 += result.P99 / seeds
						}
					}
					b.ReportMetric(all.Seconds(), "s-all")
					b.ReportMetric(p99.Seconds(), "s-99%")
				})
			}
		}
	}
}
