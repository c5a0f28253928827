package sidecar

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/permit"
)

const (
	// publishInterval is how often followers are told what has changed, and quietMost how long they hear nothing at the most.
	publishInterval     = 40 * time.Millisecond
	maxBulletinInterval = 400 * time.Millisecond
	// intervalPerAgent is how much of a follower's time each agent takes for one bulletin, so that the smallest entries, with a
	// seventh of a core, spend a tenth of it on them; farSlower is by how much seldomer those of other zones are told.
	intervalPerAgent = time.Millisecond
	otherZoneFactor  = 2
	// loadOnlyInterval is how often a follower is told that asked for little.
	loadOnlyInterval = time.Second
	// weightLoadAtTolerance is how far the start of a load has to move for followers to be told: the runners' clock is read some milliseconds
	// early or late.
	weightLoadAtTolerance = 50 * time.Millisecond
)

// publisher tells the entries how the runner is and what the stores hold.
type publisher struct {
	sidecar   *Sidecar
	followers atomic.Int64
	// senders are the followers that send to the runner, and share the permits for it.
	senders atomic.Int64
	permits permit.Allocator
	// serving are the followers that the agent waits for when it ends, urgent wakes them.
	serving followerGroup
	urgent  broadcast.Signal
	relay   relayRole

	mu         sync.Mutex
	load       deployment.Load
	loadAt     time.Time
	weightLoad weightLoadStatus
	// firstSeen are the namings as they were told, and namedVersion is that of what the agent knew then.
	firstSeen         []bulletin.WeightsFirstSeen
	firstSeenRevision uint64
}

// setReport takes the runner's newest report, and wakes the followers where the runner is no longer fit for new requests or is so again.
func (p *publisher) setReport(load deployment.Load, weightLoad weightLoadStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if weightLoad.loading != p.weightLoad.loading || load.Leaving != p.load.Leaving || load.Unresponsive != p.load.Unresponsive {
		p.urgent.Wake()
	}
	p.load, p.loadAt, p.weightLoad = load, time.Now(), weightLoad
}

// markUnresponsive records that the runner does not answer.
func (p *publisher) markUnresponsive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.load.Unresponsive {
		p.urgent.Wake()
	}
	p.load.Unresponsive = true
}

func (p *publisher) latestReport() (load deployment.Load, reportedAt time.Time, weightLoad weightLoadStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load, p.loadAt, p.weightLoad
}

// serve sends bulletins to one follower until it leaves.
func (p *publisher) serve(ctx context.Context, call *peer.Call) error {
	follow, err := peer.Decode[bulletin.FollowRequest](call.Body)
	if err != nil {
		return err
	}
	if !p.serving.enter() {
		return nil
	}
	defer p.serving.leave()
	p.sidecar.Log.Info("follower came", "decision", "send", "follower", follow.Name, "followers", p.followers.Add(1))
	defer func() {
		p.sidecar.Log.Info("follower left", "decision", "end", "follower", follow.Name, "followers", p.followers.Add(-1))
	}()
	f := newFollower(p)
	f.loadOnly = follow.LoadOnly
	if !f.loadOnly {
		p.senders.Add(1)
		defer p.senders.Add(-1)
	}
	f.otherZone = follow.Zone != "" && follow.Zone != p.sidecar.Settings.Zone
	var pacer pacer
	for ctx.Err() == nil {
		urgent := p.urgent.Wait()
		if b, due := f.next(); due {
			body, err := peer.Encode(b)
			if err != nil {
				return err
			}
			if err := call.Send(ctx, body); err != nil {
				return err
			}
		}
		pacer.wait(ctx, p.interval(f), urgent)
	}
	return nil
}

// interval is how often a follower is told: the more agents there are, the seldomer, so that what an entry hears from all of
// them stays about the same; and seldomer in other zones, whose entries send fewer requests here. Who asked for little hears as often as the
// stores need that the agent owns, which count as alive for as long as it speaks of them.
func (p *publisher) interval(f *follower) time.Duration {
	s := p.sidecar
	switch {
	case f.loadOnly && (len(s.collector.ownedStores()) > 0 || len(f.lastSent.Quotas) > 0):
		return maxBulletinInterval
	case f.loadOnly:
		return loadOnlyInterval
	}
	interval := p.ownZoneInterval()
	if f.otherZone {
		interval *= otherZoneFactor
	}
	return min(interval, maxBulletinInterval)
}

// ownZoneInterval is how often followers of the agent's own zone are told.
func (p *publisher) ownZoneInterval() time.Duration {
	s := p.sidecar
	interval := publishInterval
	if self := s.state.Roster.ByAddress(s.Settings.RunnerAddress); self != nil {
		interval = max(interval, intervalPerAgent*time.Duration(len(s.state.Roster.ByService(self.Info().Service))))
	}
	return min(interval, maxBulletinInterval)
}

// weightsFirstSeen are the times at which versions of weights were named, on the runners' clock, which reads clock now. Each is worked out
// once, so that bulletins differ only where something new is known.
func (p *publisher) weightsFirstSeen(clock int64) []bulletin.WeightsFirstSeen {
	if clock == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.sidecar.state.NamedVersionsRevision()
	if revision == p.firstSeenRevision {
		return p.firstSeen
	}
	versions := p.sidecar.state.NamedVersions()
	firstSeen := make([]bulletin.WeightsFirstSeen, 0, len(versions))
	for _, version := range versions {
		seen := bulletin.WeightsFirstSeen{Model: version.Model, Version: version.Version, At: clock - time.Since(version.At).Milliseconds()}
		i := slices.IndexFunc(p.firstSeen, func(w bulletin.WeightsFirstSeen) bool { return w.Model == seen.Model && w.Version == seen.Version })
		if i >= 0 {
			seen = p.firstSeen[i]
		}
		firstSeen = append(firstSeen, seen)
	}
	p.firstSeen, p.firstSeenRevision = firstSeen, revision
	return firstSeen
}
