package gateway

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// mostRestartDelay bounds what is taken for the time in which a new start gets around; beyond it the runner's clock and the runners'
// common one don't agree.
const mostRestartDelay = time.Minute

// runnerRestarted forgets what a runner's earlier run held, and its connections, which ended with it.
func (g *Gateway) runnerRestarted(info deployment.Runner) {
	now := time.Now()
	g.cache.index.ObserveRun(info.Address, info.Run())
	g.pool.Forget(info.Address)
	g.queue.changed()
	delay, known := g.restartDelay(info.Generation, now)
	g.Log.Info("runner started anew", "decision", "forget", "runner", info.ID, "generation", info.Generation, "address", info.Address,
		"delay", delay.String(), "delayKnown", known)
	if known {
		g.Metrics.RestartHeard(delay)
	}
}

// restartDelay is how long ago a run started, by the runners' common clock; it reports whether that can be told.
func (g *Gateway) restartDelay(generation rillreach.Generation, now time.Time) (time.Duration, bool) {
	clock, known := g.cache.clock.estimate(now)
	delay := clock.Sub(generation.Started())
	return delay, known && delay >= 0 && delay < mostRestartDelay
}
