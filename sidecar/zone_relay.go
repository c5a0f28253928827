package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/subscribe"
	"github.com/rillreach/rillreach/digest"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/replica"
)

const (
	// zoneCandidates is the number of agents of another zone that are tried as its relay.
	zoneCandidates = 3
	// zoneRetryDelay is the pause before the next candidate of a zone is tried.
	zoneRetryDelay = 400 * time.Millisecond
)

// zoneRelay follows a relay of another zone.
type zoneRelay struct {
	feed *feed
	zone rillreach.ZoneID
	stop context.CancelFunc

	mu         sync.Mutex
	candidates []replica.Agent
}

// followZone follows the first agent of another zone that can be reached.
func (f *feed) followZone(ctx context.Context, zone rillreach.ZoneID, agents []replica.Agent) {
	candidates := replica.FirstByZone(agents, zoneCandidates)[zone]
	if relay := f.relays[zone]; relay != nil {
		relay.setCandidates(candidates)
		return
	}
	ctx, stop := context.WithCancel(ctx)
	relay := &zoneRelay{feed: f, zone: zone, stop: stop, candidates: candidates}
	f.relays[zone] = relay
	f.wg.Go(func() { relay.run(ctx) })
}

func (z *zoneRelay) setCandidates(candidates []replica.Agent) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.candidates = candidates
}

func (z *zoneRelay) currentCandidates() []replica.Agent {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Clone(z.candidates)
}

// run follows one candidate after the other, as each fails, until the context is cancelled.
func (z *zoneRelay) run(ctx context.Context) {
	s := z.feed.sidecar
	request := digest.Subscribe{Name: rillreach.InstanceID(s.Settings.Name), Zone: s.Settings.Zone, Relay: true}
	for ctx.Err() == nil {
		for _, candidate := range z.currentCandidates() {
			err := subscribe.Digests(ctx, s.pool, candidate.Address, request, z.apply)
			if ctx.Err() != nil {
				return
			}
			s.Log.Info("relay of another zone lost", "decision", "next", "relay", candidate.Address, "zone", z.zone, "cause", err.Error())
			pause.For(ctx, zoneRetryDelay)
		}
		pause.For(ctx, zoneRetryDelay)
	}
}

// apply applies a digest of the zone.
func (z *zoneRelay) apply(d *digest.Digest, now time.Time) {
	s := z.feed.sidecar
	if ignored := z.feed.table.ApplyDigest(z.zone, d, now); ignored > 0 {
		s.Log.Info("reports of other zones ignored", "decision", "ignore", "zone", z.zone, "reports", ignored)
		s.Metrics.CountInvalidReport()
	}
	s.state.ApplyWeightsFirstSeen(d.Clock, d.WeightsFirstSeen, now)
	if len(d.Crashes) > 0 {
		s.crashes.Record(s.now(), d.Crashes...)
	}
}
