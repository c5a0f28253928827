package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

// clockDecay is by how much per second the estimated offset of the runners' clock decreases, so that one wrong message
// with a clock that is ahead does not distort the estimate for long.
const clockDecay = 0.001

// applyBulletin applies a bulletin to the entry's state.
func (g *Gateway) applyBulletin(b *bulletin.Bulletin, now time.Time) {
	runner := g.state.ObserveRun(b.Run())
	g.applyLoad(runner, b, now)
	g.applyStoreState(b.DesiredWeights, b.Config, now)
	g.state.ApplyWeightsFirstSeen(b.Clock, b.WeightsFirstSeen, now)
	g.applyCrashes(b.Crashes)
	g.observeFollowers(b.Runner, b.Followers, now)
	g.cache.clock.observe(b.Clock, now)
	for i := range b.CacheUpdates {
		if update := &b.CacheUpdates[i]; update.Store {
			g.cache.applyStoreUpdate(b.Runner, b.Clock, update, now)
		} else {
			g.cache.applyRunnerUpdate(b.Run(), update)
		}
	}
}

// applyStoreState applies what an agent knows from the object store.
func (g *Gateway) applyStoreState(weights []deployment.DesiredWeights, config *deployment.ConfigVersion, now time.Time) {
	for _, w := range weights {
		g.state.SetWeightsOfUnknownAge(w)
	}
	if config != nil {
		g.state.ObservePeerConfig(*config, now)
	}
}

// applyLoad applies a runner's load report. The runner is nil if it is not listed or the bulletin is from an earlier
// run. An invalid report is ignored, so that the runner counts as one without a report.
func (g *Gateway) applyLoad(r *roster.Runner, b *bulletin.Bulletin, now time.Time) {
	if r == nil {
		return
	}
	load := loadOf(&b.Load)
	if err := load.Check(); err != nil {
		g.logInvalidReport(b.Runner, &b.Load, err)
		return
	}
	if r.SetReport(roster.Report{ReceivedAt: now, Load: load, WeightLoadAt: weightLoadTime(b, now)}) {
		g.state.MarkCold(r, now) // it may have restarted while it was silent
	}
	g.queue.notify()
}

// loadOf returns the load in a bulletin.
func loadOf(l *bulletin.Load) deployment.Load {
	return deployment.Load{
		Running: l.Running, Waiting: l.Waiting, UsedTokens: l.UsedTokens, AwaitingFirstEvent: l.AwaitingFirstEvent, Unresponsive: l.Unresponsive,
		LoadingWeights: l.LoadingWeights, Leaving: l.Leaving, Weights: l.Weights,
	}
}

// logInvalidReport logs and counts a report with values that no runner can have.
func (g *Gateway) logInvalidReport(runner rillreach.InstanceID, l *bulletin.Load, err error) {
	g.Log.Error(err, "invalid load report ignored", "decision", "ignore", "runner", runner, "running", l.Running, "waiting", l.Waiting, "used", l.UsedTokens)
	g.Metrics.CountInvalidReport()
}

// weightLoadTime returns when the runner's next weight load is scheduled on this process's clock, or zero if the
// bulletin has no such time.
func weightLoadTime(b *bulletin.Bulletin, now time.Time) time.Time {
	if b.Clock == 0 || b.Load.WeightLoadAt == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(b.Load.WeightLoadAt-b.Clock) * time.Millisecond)
}

// runnerClock estimates the runners' clock from bulletins. These arrive some milliseconds late, so the greatest
// difference to the local clock is the best estimate.
type runnerClock struct {
	mu        sync.Mutex
	known     bool
	offset    time.Duration
	updatedAt time.Time
	start     time.Time
}

func (c *runnerClock) observe(clock int64, now time.Time) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		c.known, c.start, c.updatedAt = true, now, now
		c.offset = time.Duration(clock) * time.Millisecond
		return
	}
	c.offset -= time.Duration(float64(now.Sub(c.updatedAt)) * clockDecay)
	c.updatedAt = now
	c.offset = max(c.offset, time.Duration(clock)*time.Millisecond-now.Sub(c.start))
}

// estimate returns the runners' clock at a time of the local clock, and whether it is known.
func (c *runnerClock) estimate(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.UnixMilli((c.offset + now.Sub(c.start)).Milliseconds()), c.known
}
