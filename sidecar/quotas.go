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
	run      rillreach.InstanceRun
	allotter permit.Allocator

	// observed is by the runners' clock, and until when the lease ends.
	observed backpressure.Observation
	until    time.Time
}

// report takes over what an entry knows of a limit, and reports whether another one holds now.
func (q *quotas) report(now time.Time, l *bulletin.RunnerLimit) (changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byRunner == nil {
		q.byRunner = map[rillreach.InstanceID]*quota{}
	}
	known := q.byRunner[l.Runner]
	switch {
	case known == nil || l.Run().Supersedes(known.run):
		known = &quota{run: l.Run()}
		known.allotter.Start(now)
		q.byRunner[l.Runner] = known
	case known.run.Supersedes(l.Run()):
		return false
	}
	was := known.observed.Limit
	known.observed = backpressure.Merge(known.observed, l.Observation())
	known.until = now.Add(quotaLease)
	return known.observed.Limit != was
}

// current are the limits whose lease goes on.
func (q *quotas) current(now time.Time) []currentQuota {
	q.mu.Lock()
	defer q.mu.Unlock()
	var all []currentQuota
	for id, known := range q.byRunner {
		if now.After(known.until) {
			delete(q.byRunner, id)
			continue
		}
		all = append(all, currentQuota{run: known.run, observed: known.observed, allotter: &known.allotter})
	}
	return all
}

// currentQuota is the limit of one runner at a moment.
type currentQuota struct {
	run      rillreach.InstanceRun
	observed backpressure.Observation
	allotter *permit.Allocator
}

// limit is the limit as followers are told of it.
func (q *currentQuota) limit() bulletin.RunnerLimit {
	return bulletin.RunnerLimit{
		Runner: q.run.ID, Generation: q.run.Generation, Limit: q.observed.Limit,
		SentAt: q.observed.Sent.UnixMilli(), ReceivedAt: q.observed.Received.UnixMilli(),
	}
}

// takeLimits takes an entry's report of limits over, and has all followers told of what is new at once.
func (s *Sidecar) takeLimits(_ context.Context, from *peer.Conn, r bulletin.LimitReport) (bulletin.LimitReceipt, error) {
	now, changed := time.Now(), 0
	for i := range r.Limits {
		l := &r.Limits[i]
		if !s.quotas.report(now, l) {
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

// allotQuotas gives the follower its permits for the runners whose limits the agent shares out. Those for the agent's own runner are for the followers
// that send to it.
func (f *follower) allotQuotas(now time.Time, current []currentQuota) []bulletin.Quota {
	p, own := f.publisher, f.publisher.ownRunner()
	shares := make(map[rillreach.InstanceID]*permit.Share, len(current))
	var given []bulletin.Quota
	for i := range current {
		q := &current[i]
		share := f.quotas[q.run.ID]
		if share == nil {
			share = &permit.Share{}
		}
		shares[q.run.ID] = share
		one := bulletin.Quota{RunnerLimit: q.limit()}
		switch {
		case q.run.ID != own:
			one.Permits = q.allotter.Allocate(now, share, int(p.followers.Load()), q.observed.Limit.Rate())
		case !f.sparse:
			one.Permits = q.allotter.Allocate(now, share, int(p.sending.Load()), q.observed.Limit.Rate())
		}
		given = append(given, one)
	}
	f.quotas = shares
	return given
}

// ownRunner is the runner beside the agent, empty where none is listed.
func (p *publisher) ownRunner() rillreach.InstanceID {
	if self := p.sidecar.state.Roster.ByAddress(p.sidecar.Settings.RunnerAddress); self != nil {
		return self.Info().ID
	}
	return ""
}

// sameLimits reports that the follower has been told of the limits as they are.
func (f *follower) sameLimits(current []currentQuota) bool {
	if len(current) != len(f.told.Quotas) {
		return false
	}
	told := make(map[rillreach.InstanceID]backpressure.Limit, len(current))
	for _, q := range f.told.Quotas {
		told[q.RunnerLimit.Runner] = q.RunnerLimit.Limit
	}
	for i := range current {
		if limit, ok := told[current[i].run.ID]; !ok || limit != current[i].observed.Limit {
			return false
		}
	}
	return true
}
