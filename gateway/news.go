package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/controller/subscribe"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/roster"
)

const (
	// followEvery is how often it is looked at whether each runner's agent is followed.
	followEvery = 200 * time.Millisecond
	// clockDrift is by how much per second the estimate of the runners' clock falls back, so that one message that came
	// early by mistake does not spoil it for long.
	clockDrift = 0.001
)

// agents follows the agents of all listed runners of engines.
type agents struct {
	gateway *Gateway
	pool    *peer.Pool

	wg        conc.WaitGroup
	mu        sync.Mutex
	following map[netip.AddrPort]context.CancelFunc
}

// Name is the controller's name.
func (a *agents) Name() string { return "follow-agents" }

// Run follows the agents until the context ends.
func (a *agents) Run(ctx context.Context) error {
	a.following = map[netip.AddrPort]context.CancelFunc{}
	pause.Every(ctx, followEvery, a.look)
	a.wg.Wait()
	return nil
}

// look begins to follow the agents of new runners, and ends with those of runners that are gone.
func (a *agents) look(ctx context.Context) {
	wanted := a.wanted()
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, stop := range a.following {
		if !wanted[address] {
			stop()
			delete(a.following, address)
		}
	}
	for address := range wanted {
		if a.following[address] != nil {
			continue
		}
		one, stop := context.WithCancel(ctx)
		a.following[address] = stop
		s := &subscribe.Subscription{
			Pool: a.pool, Agent: address, Log: a.gateway.Log, Take: a.gateway.learn,
			Ask: bulletin.Follow{Name: rillreach.InstanceID(a.gateway.Settings.Name), Zone: a.gateway.Settings.Zone},
		}
		a.wg.Go(func() { s.Run(one) })
	}
}

// wanted are the addresses of the agents beside listed runners of engines.
func (a *agents) wanted() map[netip.AddrPort]bool {
	wanted := map[netip.AddrPort]bool{}
	config := a.gateway.state.Config()
	if config == nil {
		return wanted
	}
	for name, service := range config.Services {
		if service.Engine == nil {
			continue
		}
		for _, r := range a.gateway.state.Roster.Group(name) {
			wanted[netip.AddrPortFrom(r.Info().Address.Addr(), a.gateway.Settings.FirstPort)] = true
		}
	}
	return wanted
}

// learn takes a bulletin over.
func (g *Gateway) learn(b *bulletin.Bulletin, now time.Time) {
	runner := g.state.Observe(b.Run())
	g.learnLoad(runner, b, now)
	for _, w := range b.Named {
		g.state.AdoptWeights(w)
	}
	g.learnNamings(b, now)
	for _, n := range b.Notices {
		g.relays.Hear(n, now)
	}
	g.budgets.SetEntries(b.Followers)
	g.stores.clock.hear(b.Clock, now)
	for i := range b.Holders {
		if h := &b.Holders[i]; h.Store {
			g.stores.learn(b.Runner, b.Clock, h, now)
		} else {
			g.stores.learnRunner(b.Run(), h)
		}
	}
}

// learnLoad takes over how the runner is, which is nil where it is not listed or the bulletin is late. A report that can't be true is
// not used: the runner counts as one without a report.
func (g *Gateway) learnLoad(r *roster.Runner, b *bulletin.Bulletin, now time.Time) {
	if r == nil {
		return
	}
	load := deployment.Load{
		Running: b.Load.Running, Waiting: b.Load.Waiting, Used: b.Load.Used,
		Unread: b.Load.Unread, Silent: b.Load.Silent, Busy: b.Load.Loading, Leaving: b.Load.Leaving, Weights: b.Load.Weights,
	}
	if err := load.Check(); err != nil {
		g.Log.Error(err, "report not used", "decision", "ignore", "runner", b.Runner, "running", load.Running, "waiting", load.Waiting, "used", load.Used)
		g.Metrics.InvalidReport()
		return
	}
	r.SetReport(roster.Report{At: now, Load: load, LoadsAt: loadsAt(b, now)})
	g.line.changed()
}

// loadsAt is when the runner's next load of weights is scheduled, by this process's clock; zero where the bulletin does not tell.
func loadsAt(b *bulletin.Bulletin, now time.Time) time.Time {
	if b.Clock == 0 || b.Load.LoadsAt == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(b.Load.LoadsAt-b.Clock) * time.Millisecond)
}

// learnNamings takes over when versions of weights were named: an entry that has just started knows only that they are.
func (g *Gateway) learnNamings(b *bulletin.Bulletin, now time.Time) {
	if b.Clock == 0 {
		return
	}
	for _, n := range b.Namings {
		ago := time.Duration(b.Clock-n.At) * time.Millisecond
		g.state.ApplyNaming(localstate.Naming{Model: n.Model, Version: n.Version, At: now.Add(-ago)})
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
