package gateway

import (
	"net/netip"
	"time"

	"github.com/rillreach/rillreach/backpressure"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/roster"
)

// clockSlack is by how much the runners' clock may be read differently by two processes.
const clockSlack = 20 * time.Millisecond

// observeLimit takes over what the head of an answer says of its runner's limit.
func (a *attempt) observeLimit(now time.Time) {
	g, r, limit := a.gateway, a.target.runner, a.head.Limit
	changed := r.ObserveLimit(now, backpressure.Observation{Limit: limit, Sent: a.sentAt, Received: now})
	if changed || limit.Bounded {
		g.limited.noteUnreported(r, now)
	}
	if changed {
		g.limitChanged(r, limit, now, "request", a.exchange.wire.ID)
	}
}

// limitChanged records the runner's new limit, and what told it, and has it looked at, and those that wait.
func (g *Gateway) limitChanged(r *roster.Runner, limit backpressure.Limit, now time.Time, teller string, id any) {
	g.Log.Info("limit of a runner changed", "decision", "throttle", teller, id, "runner", r.Info().ID, "bounded", limit.Bounded, "perSecond", limit.PerSecond)
	g.limited.noteChanged(r, now)
	g.limited.changed.Wake()
	g.queue.changed()
}

// applyQuotas takes over what an agent says of runners that name a limit, and what it allots to this entry for those that are its to share out.
func (a *agentFollower) applyQuotas(agent netip.AddrPort, b *bulletin.Bulletin, now time.Time) {
	g := a.gateway
	for i := range b.Quotas {
		q := &b.Quotas[i]
		limit := &q.RunnerLimit
		r := g.state.ObserveRun(limit.Run())
		if r == nil {
			continue
		}
		if r.ObserveLimit(now, g.cache.clock.toLocal(limit.Observation(), now)) {
			g.limitChanged(r, limit.Limit, now, "agent", b.Runner)
		}
		if r.Limit().Limit != limit.Limit {
			g.limited.noteUnreported(r, now) // the agent doesn't know of a later answer
		}
		if !a.isAllocatorOf(agent, r) {
			continue // it shared the limit out before
		}
		r.AddLimitPermits(now, limit.Limit, q.Permits, g.permitsEnd(b, now))
		if q.Permits > 0 {
			g.queue.changed()
		}
	}
}

// toLocal gives an observation by the runners' clock the times of this process's.
func (c *runnerClock) toLocal(o backpressure.Observation, now time.Time) backpressure.Observation {
	clock, known := c.estimate(now)
	if !known {
		clock = o.Received // all that is known is that it was not later
	}
	o.Sent, o.Received = now.Add(o.Sent.Sub(clock)), now.Add(o.Received.Sub(clock))
	return o
}

// toShared gives an observation of this process the times of the runners' clock, and reports whether that is known.
func (c *runnerClock) toShared(o backpressure.Observation, now time.Time) (backpressure.Observation, bool) {
	clock, known := c.estimate(now)
	o.Sent, o.Received = clock.Add(o.Sent.Sub(now)), clock.Add(o.Received.Sub(now))
	return o.Widen(clockSlack), known
}
