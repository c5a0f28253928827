package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/roster"
)

// clockDecay is by how much per second the estimated offset of the runners' clock decreases, so that one wrong message
// with a clock that is ahead does not distort the estimate for long.
const clockDecay = 0.001

// applyBulletin applies a bulletin to the entry's state.
func (g *Gateway) applyBulletin(b *bulletin.Bulletin, now time.Time) {
	runner := g.state.ObserveRun(b.Run())
	g.applyLoad(runner, b, now)
	for _, w := range b.DesiredWeights {
		g.state.SetWeightsOfUnknownAge(w)
	}
	if b.Config != nil {
		g.state.ObservePeerConfig(*b.Config, now)
	}
	g.applyWeightsFirstSeen(b, now)
	for _, n := range b.Notices {
		g.relays.Receive(n, now)
	}
	g.applyCrashes(b.Crashes)
	g.budgets.SetEntries(b.Followers)
	g.cache.clock.observe(b.Clock, now)
	for i := range b.CacheUpdates {
		if update := &b.CacheUpdates[i]; update.Store {
			g.cache.applyStoreUpdate(b.Runner, b.Clock, update, now)
		} else {
			g.cache.applyRunnerUpdate(b.Run(), update)
		}
	}
}

// applyLoad applies a runner's load report. The runner is nil if it is not listed or the bulletin is from an earlier
// run. An invalid report is ignored, so that the runner counts as one without a report.
func (g *Gateway) applyLoad(r *roster.Runner, b *bulletin.Bulletin, now time.Time) {
	if r == nil {
		return
	}
	load := deployment.Load{
		Running: b.Load.Running, Waiting: b.Load.Waiting, UsedTokens: b.Load.UsedTokens,
		AwaitingFirstEvent: b.Load.AwaitingFirstEvent, Unresponsive: b.Load.Unresponsive, LoadingWeights: b.Load.LoadingWeights, Leaving: b.Load.Leaving, Weights: b.Load.Weights,
	}
	if err := load.Check(); err != nil {
		g.Log.Error(err, "invalid load report ignored", "decision", "ignore", "runner", b.Runner, "running", load.Running, "waiting", load.Waiting, "used", load.UsedTokens)
		g.Metrics.CountInvalidReport()
		return
	}
	if r.SetReport(roster.Report{ReceivedAt: now, Load: load, WeightLoadAt: weightLoadTime(b, now)}) {
		g.state.MarkCold(r, now) // it may have restarted while it was silent
	}
	g.queue.notify()
}

// weightLoadTime returns when the runner's next weight load is scheduled on this process's clock, or zero if the
// bulletin has no such time.
func weightLoadTime(b *bulletin.Bulletin, now time.Time) time.Time {
	if b.Clock == 0 || b.Load.WeightLoadAt == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(b.Load.WeightLoadAt-b.Clock) * time.Millisecond)
}

// applyWeightsFirstSeen applies the agents' records of when versions of weights were requested. An entry that has just
// started does not know these times itself.
func (g *Gateway) applyWeightsFirstSeen(b *bulletin.Bulletin, now time.Time) {
	if b.Clock == 0 {
		return
	}
	for _, seen := range b.WeightsFirstSeen {
		age := time.Duration(b.Clock-seen.At) * time.Millisecond
		g.state.ApplyDesiredVersion(localstate.DesiredVersion{Model: seen.Model, Version: seen.Version, At: now.Add(-age)})
	}
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
