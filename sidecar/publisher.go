package sidecar

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/digest"
	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/permit"
)

const (
	// publishInterval is the shortest interval of bulletins to a follower, and maxBulletinInterval the longest time
	// between two of them, unless the follower asked for the load only.
	publishInterval     = 40 * time.Millisecond
	maxBulletinInterval = 400 * time.Millisecond
	// intervalPerAgent times the number of agents is the interval of bulletins, so that the smallest entries, with a
	// seventh of a core, spend a tenth of it on the bulletins of all agents. otherZoneFactor multiplies the interval
	// for followers in other zones.
	intervalPerAgent = time.Millisecond
	otherZoneFactor  = 2
	// loadOnlyInterval is the interval for followers that asked for the load only.
	loadOnlyInterval = time.Second
	// weightLoadAtTolerance is the difference below which two start times of a weight load count as equal: readings of
	// the runners' clock vary by a few milliseconds.
	weightLoadAtTolerance = 50 * time.Millisecond
	// firstSeenTolerance is the difference up to which two times of one request for weights count as equal.
	firstSeenTolerance = 200 * time.Millisecond
)

// publisher sends bulletins to the followers of the agent, with the load of its runner and what the runner and the
// stores hold.
type publisher struct {
	sidecar   *Sidecar
	followers atomic.Int64
	// senders counts the followers that send requests to the runner and so share the permits for it.
	senders atomic.Int64
	permits permit.Allocator
	// serving counts the followers that the agent waits for on shutdown.
	serving followerGroup
	// urgent wakes all followers for an urgent change.
	urgent broadcast.Signal

	mu         sync.Mutex
	load       deployment.Load
	reportedAt time.Time
	weightLoad weightLoadStatus
	// firstSeen is the last result of weightsFirstSeen, and firstSeenRevision the revision of the desired versions that
	// it was computed from.
	firstSeen         []bulletin.WeightsFirstSeen
	firstSeenRevision uint64
}

// setReport records the runner's newest report, and wakes the followers if the runner stops or resumes accepting
// requests.
func (p *publisher) setReport(load deployment.Load, weightLoad weightLoadStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if weightLoad.loading != p.weightLoad.loading || load.Leaving != p.load.Leaving || load.Unresponsive != p.load.Unresponsive {
		p.urgent.Wake()
	}
	p.load, p.reportedAt, p.weightLoad = load, time.Now(), weightLoad
}

// markUnresponsive records that the runner does not answer, and wakes the followers if that is new.
func (p *publisher) markUnresponsive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.load.Unresponsive {
		p.urgent.Wake()
	}
	p.load.Unresponsive = true
}

// latestReport returns the runner's newest report, when it arrived, and the status of the next weight load. The time is
// zero before the first report.
func (p *publisher) latestReport() (load deployment.Load, reportedAt time.Time, weightLoad weightLoadStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load, p.reportedAt, p.weightLoad
}

// serve sends bulletins to one follower until it disconnects.
func (p *publisher) serve(ctx context.Context, call *peer.ServerStream) error {
	request, err := peer.Decode[bulletin.FollowRequest](call.Body)
	if err != nil {
		return err
	}
	if !p.serving.enter() {
		return nil
	}
	defer p.serving.leave()
	p.sidecar.Log.Info("follower connected", "decision", "send", "follower", request.Name, "followers", p.followers.Add(1))
	defer func() {
		p.sidecar.Log.Info("follower disconnected", "decision", "end", "follower", request.Name, "followers", p.followers.Add(-1))
	}()
	f := newFollower(p)
	f.loadOnly, f.relay = request.LoadOnly, request.Relay
	if !f.loadOnly {
		p.senders.Add(1)
		defer p.senders.Add(-1)
	}
	f.otherZone = request.Zone != "" && request.Zone != p.sidecar.Settings.Zone
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

// interval returns the interval of bulletins to a follower. It grows with the number of agents, so that the rate at
// which an entry receives bulletins from all of them stays about the same, and is longer for other zones, whose entries
// send fewer requests to this runner. A follower that asked for the load only gets bulletins at maxBulletinInterval if
// the agent owns stores, since they count as alive only while it reports on them, or if the follower was sent quotas.
func (p *publisher) interval(f *follower) time.Duration {
	s := p.sidecar
	switch {
	case f.relay:
		return digest.TickInterval
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

// ownZoneInterval returns the interval of bulletins to followers in the agent's own zone.
func (p *publisher) ownZoneInterval() time.Duration {
	s := p.sidecar
	interval := publishInterval
	if self := s.state.Roster.ByAddress(s.Settings.RunnerAddress); self != nil {
		interval = max(interval, intervalPerAgent*time.Duration(len(s.state.Roster.ByService(self.Info().Service))))
	}
	return min(interval, maxBulletinInterval)
}

// weightsFirstSeen returns when each version of weights was requested, on the runners' clock, whose current reading is
// given. A time is computed again only if another agent knows a much earlier one, so that bulletins differ only if something
// new is known, and relays do not correct each other for ever.
func (p *publisher) weightsFirstSeen(clock int64) []bulletin.WeightsFirstSeen {
	if clock == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.sidecar.state.DesiredVersionsRevision()
	if revision == p.firstSeenRevision {
		return p.firstSeen
	}
	versions := p.sidecar.state.DesiredVersions()
	firstSeen := make([]bulletin.WeightsFirstSeen, 0, len(versions))
	for _, version := range versions {
		seen := bulletin.WeightsFirstSeen{Model: version.Model, Version: version.Version, At: clock - time.Since(version.At).Milliseconds()}
		i := slices.IndexFunc(p.firstSeen, func(w bulletin.WeightsFirstSeen) bool { return w.Model == seen.Model && w.Version == seen.Version })
		if i >= 0 && p.firstSeen[i].At-seen.At < firstSeenTolerance.Milliseconds() {
			seen = p.firstSeen[i]
		}
		firstSeen = append(firstSeen, seen)
	}
	p.firstSeen, p.firstSeenRevision = firstSeen, revision
	return firstSeen
}
