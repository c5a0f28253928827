package gateway

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// maxRestartDelay bounds a plausible delay until a restart is known. A longer one means that the runner's clock
// disagrees with the runners' common clock.
const maxRestartDelay = time.Minute

// handleRunnerRestart discards the cache index and the connections of a runner's earlier process.
func (g *Gateway) handleRunnerRestart(info deployment.Runner) {
	now := time.Now()
	g.cache.index.ObserveRun(info.Address, info.Run())
	g.pool.Reconnect(info.Address)
	g.queue.notify()
	delay, known := g.restartDelay(info.Generation, now)
	g.Log.Info("runner restarted", "decision", "forget", "runner", info.ID, "generation", info.Generation, "address", info.Address,
		"delay", delay.String(), "delayKnown", known)
	if known {
		g.Metrics.RecordRestartDelay(delay)
	}
}

// restartDelay returns how long ago a process started, by the runners' common clock. The second result is false if that
// is not known.
func (g *Gateway) restartDelay(generation rillreach.Generation, now time.Time) (time.Duration, bool) {
	clock, known := g.cache.clock.estimate(now)
	delay := clock.Sub(generation.StartTime())
	return delay, known && delay >= 0 && delay < maxRestartDelay
}
