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
	// publishEvery is how often followers are told what has changed, and quietMost how long they hear nothing at the most.
	publishEvery = 40 * time.Millisecond
	quietMost    = 400 * time.Millisecond
	// eachTakes is how much of a follower's time each agent takes for one bulletin, so that the smallest entries, with a
	// seventh of a core, spend a tenth of it on them; farSlower is by how much seldomer those of other zones are told.
	eachTakes = time.Millisecond
	farSlower = 2
	// sparseEvery is how often a follower is told that asked for little.
	sparseEvery = time.Second
	// startMoved is how far the start of a load has to move for followers to be told: the runners' clock is read some milliseconds
	// early or late.
	startMoved = 50 * time.Millisecond
)

// publisher tells the entries how the runner is and what the stores hold.
type publisher struct {
	sidecar   *Sidecar
	followers atomic.Int64
	// sending are the followers that send to the runner, and share the permits for it.
	sending atomic.Int64
	permits permit.Allocator
	// serving are the followers that the agent waits for when it ends, urgent wakes them.
	serving followerGroup
	urgent  broadcast.Signal
	role    relayRole

	mu      sync.Mutex
	load    deployment.Load
	loadAt  time.Time
	rollout rollout
	// named are the namings as they were told, and namedVersion is that of what the agent knew then.
	named        []bulletin.WeightsFirstSeen
	namedVersion uint64
}

// set takes the runner's newest report, and wakes the followers where the runner is no longer fit for new requests or is so again.
func (p *publisher) set(load deployment.Load, next rollout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next.loading != p.rollout.loading || load.Leaving != p.load.Leaving || load.Unresponsive != p.load.Unresponsive {
		p.urgent.Wake()
	}
	p.load, p.loadAt, p.rollout = load, time.Now(), next
}

// silence records that the runner does not answer.
func (p *publisher) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.load.Unresponsive {
		p.urgent.Wake()
	}
	p.load.Unresponsive = true
}

func (p *publisher) get() (load deployment.Load, at time.Time, next rollout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load, p.loadAt, p.rollout
}

// serve sends bulletins to one follower until it leaves.
func (p *publisher) serve(ctx context.Context, call *peer.ServerStream) error {
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
	f.sparse = follow.LoadOnly
	if !f.sparse {
		p.sending.Add(1)
		defer p.sending.Add(-1)
	}
	f.far = follow.Zone != "" && follow.Zone != p.sidecar.Settings.Zone
	var pacer pacer
	for ctx.Err() == nil {
		urgent := p.urgent.Wait()
		if b, worth := f.next(); worth {
			body, err := peer.Encode(b)
			if err != nil {
				return err
			}
			if err := call.Send(ctx, body); err != nil {
				return err
			}
		}
		pacer.wait(ctx, p.pace(f), urgent)
	}
	return nil
}

// pace is how often a follower is told: the more agents there are, the seldomer, so that what an entry hears from all of
// them stays about the same; and seldomer in other zones, whose entries send fewer requests here. Who asked for little hears as often as the
// stores need that the agent owns, which count as alive for as long as it speaks of them.
func (p *publisher) pace(f *follower) time.Duration {
	s := p.sidecar
	switch {
	case f.sparse && (len(s.stores.all()) > 0 || len(f.told.Quotas) > 0):
		return quietMost
	case f.sparse:
		return sparseEvery
	}
	pace := p.ownZonePace()
	if f.far {
		pace *= farSlower
	}
	return min(pace, quietMost)
}

// ownZonePace is how often followers of the agent's own zone are told.
func (p *publisher) ownZonePace() time.Duration {
	s := p.sidecar
	pace := publishEvery
	if self := s.state.Roster.ByAddress(s.Settings.RunnerAddress); self != nil {
		pace = max(pace, eachTakes*time.Duration(len(s.state.Roster.ByService(self.Info().Service))))
	}
	return min(pace, quietMost)
}

// namings are the times at which versions of weights were named, on the runners' clock, which reads clock now. Each is worked out
// once, so that bulletins differ only where something new is known.
func (p *publisher) namings(clock int64) []bulletin.WeightsFirstSeen {
	if clock == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.sidecar.state.NamedVersionsRevision()
	if version == p.namedVersion {
		return p.named
	}
	known := p.sidecar.state.NamedVersions()
	told := make([]bulletin.WeightsFirstSeen, 0, len(known))
	for _, k := range known {
		one := bulletin.WeightsFirstSeen{Model: k.Model, Version: k.Version, At: clock - time.Since(k.At).Milliseconds()}
		i := slices.IndexFunc(p.named, func(w bulletin.WeightsFirstSeen) bool { return w.Model == one.Model && w.Version == one.Version })
		if i >= 0 {
			one = p.named[i]
		}
		told = append(told, one)
	}
	p.named, p.namedVersion = told, version
	return told
}
