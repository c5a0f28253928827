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

// quotaLease is for how long the agent allots permits for a runner after an entry has last reported its limit, longer than the time between two
// answers under the lowest limit: entries report each answer that names one.
const quotaLease = 15 * time.Second

// quotas are the limits that the agent shares out among its followers; the zero value has none.
type quotas struct {
	mu       sync.Mutex
	byRunner map[rillreach.InstanceID]*quota
}

// quota is the limit of one runner.
type quota struct {
	run       rillreach.InstanceRun
	allocator permit.Allocator

	// observation is by the runners' clock, and until when the lease ends.
	observation backpressure.Observation
	expiresAt   time.Time
}

// observe takes over what an entry knows of a limit, and reports whether another one holds now.
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

// active are the limits whose lease goes on.
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

// activeQuota is the limit of one runner at a moment.
type activeQuota struct {
	run         rillreach.InstanceRun
	observation backpressure.Observation
	allocator   *permit.Allocator
}

// runnerLimit is the runnerLimit as followers are told of it.
func (q *activeQuota) runnerLimit() bulletin.RunnerLimit {
	return bulletin.RunnerLimit{
		Runner: q.run.ID, Generation: q.run.Generation, Limit: q.observation.Limit,
		SentAt: q.observation.Sent.UnixMilli(), ReceivedAt: q.observation.Received.UnixMilli(),
	}
}

// handleLimitReport takes an entry's report of limits over, and has all followers told of what is new at once.
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

// allocateQuotas gives the follower its permits for the runners whose limits the agent shares out. Those for the agent's own runner are for the followers
// that send to it.
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

// ownRunner is the runner beside the agent, empty where none is listed.
func (p *publisher) ownRunner() rillreach.InstanceID {
	if self := p.sidecar.state.Roster.ByAddress(p.sidecar.Settings.RunnerAddress); self != nil {
		return self.Info().ID
	}
	return ""
}

// sameLimits reports that the follower has been told of the limits as they are.
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
