package gateway

import (
	"net/netip"
	"time"

	"github.com/rillreach/rillreach/backpressure"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/roster"
)

// maxClockSkew is the maximum difference between two processes' readings of the runners' common clock.
const maxClockSkew = 20 * time.Millisecond

// observeLimit records what the response headers say about the runner's limit.
func (a *attempt) observeLimit(now time.Time) {
	g, r, limit := a.gateway, a.target.runner, a.headers.Limit
	changed := r.ObserveLimit(now, backpressure.Observation{Limit: limit, Sent: a.sentAt, Received: now})
	if changed || limit.Bounded {
		g.limited.markUnreported(r, now)
	}
	if changed {
		g.handleLimitChange(r, limit, now, "request", a.exchange.wire.ID)
	}
}

// handleLimitChange records the new limit of a runner, logs where it was learned from, and wakes the limit reporter and
// the waiting requests.
func (g *Gateway) handleLimitChange(r *roster.Runner, limit backpressure.Limit, now time.Time, sourceKey string, source any) {
	g.Log.Info("limit of a runner changed", "decision", "throttle", sourceKey, source, "runner", r.Info().ID, "bounded", limit.Bounded, "perSecond", limit.PerSecond)
	g.limited.recordChange(r, now)
	g.limited.changed.Wake()
	g.queue.notify()
}

// applyQuotas applies what an agent reports about limited runners, and adds the permits that it allocates to this entry
// if it is the one that allocates for the runner.
func (a *agentFollower) applyQuotas(agent netip.AddrPort, b *bulletin.Bulletin, now time.Time) {
	g := a.gateway
	for i := range b.Quotas {
		quota := &b.Quotas[i]
		limit := &quota.RunnerLimit
		r := g.state.ObserveRun(limit.Run())
		if r == nil {
			continue
		}
		if r.ObserveLimit(now, g.cache.clock.toLocal(limit.Observation(), now)) {
			g.handleLimitChange(r, limit.Limit, now, "agent", b.Runner)
		}
		if r.Limit().Limit != limit.Limit {
			g.limited.markUnreported(r, now) // the agent does not know of a later observation
		}
		if !a.isAllocatorOf(agent, r) {
			continue // it allocated for the runner earlier
		}
		r.AddLimitPermits(now, limit.Limit, quota.Permits, g.permitExpiry(b, now))
		if quota.Permits > 0 {
			g.queue.notify()
		}
	}
}

// toLocal converts the times of an observation from the runners' common clock to the local clock.
func (c *runnerClock) toLocal(o backpressure.Observation, now time.Time) backpressure.Observation {
	clock, known := c.estimate(now)
	if !known {
		clock = o.Received // the observation is not later than now
	}
	o.Sent, o.Received = now.Add(o.Sent.Sub(clock)), now.Add(o.Received.Sub(clock))
	return o
}

// toShared converts the times of an observation from the local clock to the runners' common clock. The second result is
// false if that clock is not known.
func (c *runnerClock) toShared(o backpressure.Observation, now time.Time) (backpressure.Observation, bool) {
	clock, known := c.estimate(now)
	o.Sent, o.Received = clock.Add(o.Sent.Sub(now)), clock.Add(o.Received.Sub(now))
	return o.Widen(maxClockSkew), known
}
