package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/roster"
)

// clockDrift is by how much per second the estimate of the runners' clock falls back, so that one message that came early by mistake does
// not spoil it for long.
const clockDrift = 0.001

// applyBulletin takes a bulletin over.
func (g *Gateway) applyBulletin(b *bulletin.Bulletin, now time.Time) {
	runner := g.state.ObserveRun(b.Run())
	g.applyLoad(runner, b, now)
	for _, w := range b.DesiredWeights {
		g.state.SetWeightsOfUnknownAge(w)
	}
	if b.Config != nil {
		g.state.ObservePeerConfig(*b.Config, now)
	}
	g.applyNamings(b, now)
	for _, n := range b.Notices {
		g.relays.Receive(n, now)
	}
	g.applyCrashes(b.Crashes)
	g.budgets.SetEntries(b.Followers)
	g.stores.clock.hear(b.Clock, now)
	for i := range b.CacheUpdates {
		if h := &b.CacheUpdates[i]; h.Store {
			g.stores.apply(b.Runner, b.Clock, h, now)
		} else {
			g.stores.applyRunner(b.Run(), h)
		}
	}
}

// applyLoad takes over how the runner is, which is nil where it is not listed or the bulletin is late. A report that can't be true is
// not used: the runner counts as one without a report.
func (g *Gateway) applyLoad(r *roster.Runner, b *bulletin.Bulletin, now time.Time) {
	if r == nil {
		return
	}
	load := deployment.Load{
		Running: b.Load.Running, Waiting: b.Load.Waiting, UsedTokens: b.Load.UsedTokens,
		AwaitingFirstEvent: b.Load.AwaitingFirstEvent, Unresponsive: b.Load.Unresponsive, LoadingWeights: b.Load.LoadingWeights, Leaving: b.Load.Leaving, Weights: b.Load.Weights,
	}
	if err := load.Check(); err != nil {
		g.Log.Error(err, "report not used", "decision", "ignore", "runner", b.Runner, "running", load.Running, "waiting", load.Waiting, "used", load.UsedTokens)
		g.Metrics.InvalidReport()
		return
	}
	if r.SetReport(roster.Report{ReceivedAt: now, Load: load, WeightLoadAt: loadsAt(b, now)}) {
		g.state.MarkCold(r, now) // it may have started anew in its silence
	}
	g.line.notify()
}

// loadsAt is when the runner's next load of weights is scheduled, by this process's clock; zero where the bulletin does not tell.
func loadsAt(b *bulletin.Bulletin, now time.Time) time.Time {
	if b.Clock == 0 || b.Load.WeightLoadAt == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(b.Load.WeightLoadAt-b.Clock) * time.Millisecond)
}

// applyNamings takes over when versions of weights were named: an entry that has just started knows only that they are.
func (g *Gateway) applyNamings(b *bulletin.Bulletin, now time.Time) {
	if b.Clock == 0 {
		return
	}
	for _, n := range b.WeightsFirstSeen {
		ago := time.Duration(b.Clock-n.At) * time.Millisecond
		g.state.ApplyNamedVersion(localstate.NamedVersion{Model: n.Model, Version: n.Version, At: now.Add(-ago)})
	}
}

// runnersClock estimates the runners' clock from the bulletins, which come late by some milliseconds: the greatest of the
// differences is the truest.
type runnersClock struct {
	mu     sync.Mutex
	known  bool
	offset time.Duration
	at     time.Time
	start  time.Time
}

func (c *runnersClock) hear(clock int64, now time.Time) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		c.known, c.start, c.at = true, now, now
		c.offset = time.Duration(clock) * time.Millisecond
		return
	}
	c.offset -= time.Duration(float64(now.Sub(c.at)) * clockDrift)
	c.at = now
	c.offset = max(c.offset, time.Duration(clock)*time.Millisecond-now.Sub(c.start))
}

// read is the runners' clock at a moment of ours; it reports whether that is known.
func (c *runnersClock) read(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.UnixMilli((c.offset + now.Sub(c.start)).Milliseconds()), c.known
}
