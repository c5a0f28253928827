package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backpressure"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/permit"
)

// quotaLease is how long the agent allocates permits under a runner's limit after an entry last reported the limit.
// Entries report a limit with each response that states one, so the lease is longer than the time between two responses
// under the lowest limit.
const quotaLease = 15 * time.Second

// quotas are the rate limits of runners that the agent divides among its followers. The zero value has none.
type quotas struct {
	mu       sync.Mutex
	byRunner map[rillreach.InstanceID]*quota
}

// quota is the rate limit of one run of a runner.
type quota struct {
	run       rillreach.InstanceRun
	allocator permit.Allocator

	// observation has times on the runners' clock; expiresAt is when the lease ends, on the agent's clock.
	observation backpressure.Observation
	expiresAt   time.Time
}

// observe merges a limit that an entry reports, renews its lease, and reports whether the limit in force has changed.
func (q *quotas) observe(now time.Time, reported *bulletin.RunnerLimit) (changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byRunner == nil {
		q.byRunner = map[rillreach.InstanceID]*quota{}
	}
	known := q.byRunner[reported.Runner]
	switch {
	case known == nil || reported.Run().Supersedes(known.run):
		known = &quota{run: reported.Run()}
		known.allocator.Start(now)
		q.byRunner[reported.Runner] = known
	case known.run.Supersedes(reported.Run()):
		return false
	}
	before := known.observation.Limit
	known.observation = backpressure.Merge(known.observation, reported.Observation())
	known.expiresAt = now.Add(quotaLease)
	return known.observation.Limit != before
}

// active returns the limits whose lease has not expired, and removes the others.
func (q *quotas) active(now time.Time) []activeQuota {
	q.mu.Lock()
	defer q.mu.Unlock()
	var active []activeQuota
	for id, known := range q.byRunner {
		if now.After(known.expiresAt) {
			delete(q.byRunner, id)
			continue
		}
		active = append(active, activeQuota{run: known.run, observation: known.observation, allocator: &known.allocator})
	}
	return active
}

// activeQuota is a snapshot of a quota.
type activeQuota struct {
	run         rillreach.InstanceRun
	observation backpressure.Observation
	allocator   *permit.Allocator
}

// runnerLimit returns the limit as it is sent to followers.
func (q *activeQuota) runnerLimit() bulletin.RunnerLimit {
	return bulletin.RunnerLimit{
		Runner: q.run.ID, Generation: q.run.Generation, Limit: q.observation.Limit,
		SentAt: q.observation.Sent.UnixMilli(), ReceivedAt: q.observation.Received.UnixMilli(),
	}
}

// handleLimitReport records the limits that an entry reports, and wakes all followers if any of them has changed.
func (s *Sidecar) handleLimitReport(_ context.Context, from *peer.Conn, report bulletin.LimitReport) (bulletin.LimitReceipt, error) {
	now, changed := time.Now(), 0
	for i := range report.Limits {
		l := &report.Limits[i]
		if !s.quotas.observe(now, l) {
			continue
		}
		changed++
		s.Log.Info("limit of a runner changed", "decision", "allot", "entry", from.Peer.ID, "runner", l.Runner, "bounded", l.Limit.Bounded, "perSecond", l.Limit.PerSecond)
	}
	if changed > 0 {
		s.publisher.urgent.Wake()
	}
	return bulletin.LimitReceipt{Changed: changed}, nil
}

// allocateQuotas returns the follower's permits for the runners with a limit. Permits for the agent's own runner are
// allocated only to followers that send requests to it.
func (f *follower) allocateQuotas(now time.Time, active []activeQuota) []bulletin.Quota {
	p, own := f.publisher, f.publisher.ownRunner()
	shares := make(map[rillreach.InstanceID]*permit.Share, len(active))
	var allocated []bulletin.Quota
	for i := range active {
		q := &active[i]
		share := f.quotaShares[q.run.ID]
		if share == nil {
			share = &permit.Share{}
		}
		shares[q.run.ID] = share
		allocation := bulletin.Quota{RunnerLimit: q.runnerLimit()}
		switch {
		case q.run.ID != own:
			allocation.Permits = q.allocator.Allocate(now, share, int(p.followers.Load()), q.observation.Limit.Rate())
		case !f.loadOnly:
			allocation.Permits = q.allocator.Allocate(now, share, int(p.senders.Load()), q.observation.Limit.Rate())
		}
		allocated = append(allocated, allocation)
	}
	f.quotaShares = shares
	return allocated
}

// ownRunner returns the identifier of the agent's own runner, or "" if it is not listed.
func (p *publisher) ownRunner() rillreach.InstanceID {
	if self := p.sidecar.state.Roster.ByAddress(p.sidecar.Settings.RunnerAddress); self != nil {
		return self.Info().ID
	}
	return ""
}

// sameLimits reports whether the follower already knows the active limits.
func (f *follower) sameLimits(active []activeQuota) bool {
	if len(active) != len(f.lastSent.Quotas) {
		return false
	}
	sent := make(map[rillreach.InstanceID]backpressure.Limit, len(active))
	for _, q := range f.lastSent.Quotas {
		sent[q.RunnerLimit.Runner] = q.RunnerLimit.Limit
	}
	for i := range active {
		if limit, ok := sent[active[i].run.ID]; !ok || limit != active[i].observation.Limit {
			return false
		}
	}
	return true
}
