package sidecar

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
	"github.com/rillreach/rillreach/digest"
	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/replica"
)

const (
	// feedReconcileInterval is how often a relay compares the agents and relays that it follows with those that are
	// listed.
	feedReconcileInterval = time.Second
	// feedLinger is how long a relay goes on following agents after its last subscriber has left.
	feedLinger = 5 * time.Second
	// subscriberTTL is how long an entry counts after it has left, since it may only have moved to another relay.
	subscriberTTL = time.Minute
	// maxCrashesPerDigest is the most crashes in one digest.
	maxCrashesPerDigest = 256
)

// feed passes on the reports of many agents to subscribers. While it has any, it follows the agents of its own zone, and a
// relay of each other zone.
type feed struct {
	sidecar *Sidecar
	table   digest.Table
	// ticked is signalled at each tick.
	ticked broadcast.Signal
	wg     conc.WaitGroup

	mu          sync.Mutex
	subscribers int
	usedAt      time.Time
	tick        uint64
	// encoded caches the digests of the current tick by what the subscribers know.
	encoded map[digestKey][]byte
	// entries counts the subscriptions of each entry, and departed holds until when those that have left still count.
	entries  map[rillreach.InstanceID]int
	departed map[rillreach.InstanceID]time.Time

	// agents and relays are what the feed follows, by address and by zone. Only reconcile uses them.
	agents map[netip.AddrPort]context.CancelFunc
	relays map[rillreach.ZoneID]*zoneRelay
}

// digestKey selects a digest: the tick up to which the subscriber knows the reports, and whether it is a relay.
type digestKey struct {
	after   uint64
	ownZone bool
}

// Name returns the controller's name.
func (f *feed) Name() string { return "relay-reports" }

// Run follows agents while there are subscribers, until the context is cancelled.
func (f *feed) Run(ctx context.Context) error {
	f.agents, f.relays = map[netip.AddrPort]context.CancelFunc{}, map[rillreach.ZoneID]*zoneRelay{}
	lastReconcile := time.Time{}
	pause.Every(ctx, digest.TickInterval, func(ctx context.Context) {
		now := time.Now()
		if now.Sub(lastReconcile) >= feedReconcileInterval {
			lastReconcile = now
			f.reconcile(ctx, f.active(now))
		}
		if f.active(now) {
			f.endTick(now)
		}
	})
	f.wg.Wait()
	return nil
}

// active reports whether the feed has, or lately had, subscribers.
func (f *feed) active(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.subscribers > 0 || !f.usedAt.IsZero() && now.Sub(f.usedAt) < feedLinger
}

// endTick ends a tick and wakes the subscribers.
func (f *feed) endTick(now time.Time) {
	f.mu.Lock()
	f.table.CountEntries(f.countEntries(now), now)
	f.tick, f.encoded = f.table.Tick(now), map[digestKey][]byte{}
	f.mu.Unlock()
	f.ticked.Wake()
}

// countEntries returns the number of entries that were subscribed lately. The lock must be held.
func (f *feed) countEntries(now time.Time) int {
	count := len(f.entries)
	for name, until := range f.departed {
		if now.After(until) {
			delete(f.departed, name)
		} else if f.entries[name] == 0 {
			count++
		}
	}
	return count
}

// reconcile follows the agents of the zone and a relay of each other zone, or nobody while the feed is not in use.
func (f *feed) reconcile(ctx context.Context, active bool) {
	agents := map[netip.AddrPort]bool{}
	byZone := map[rillreach.ZoneID][]replica.Agent{}
	if active {
		for _, a := range f.listedAgents() {
			agents[a.Address] = a.Zone == f.table.Zone
			byZone[a.Zone] = append(byZone[a.Zone], a)
		}
	}
	for address, stop := range f.agents {
		if !agents[address] {
			stop()
			delete(f.agents, address)
		}
	}
	for address, inZone := range agents {
		if inZone && f.agents[address] == nil {
			f.agents[address] = f.followAgent(ctx, address)
		}
	}
	for zone, relay := range f.relays {
		if len(byZone[zone]) == 0 {
			relay.stop()
			delete(f.relays, zone)
		}
	}
	for zone, candidates := range byZone {
		if zone != f.table.Zone {
			f.followZone(ctx, zone, candidates)
		}
	}
}

// listedAgents returns the agents beside all listed engines.
func (f *feed) listedAgents() []replica.Agent {
	s := f.sidecar
	listed := s.state.Roster.All()
	runners := make([]deployment.Runner, len(listed))
	for i, r := range listed {
		runners[i] = r.Info()
	}
	return replica.AgentsOf(runners, s.Settings.FirstPort)
}

// followAgent follows an agent of the own zone.
func (f *feed) followAgent(ctx context.Context, address netip.AddrPort) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	s := f.sidecar
	subscription := &subscribe.Subscription{
		Pool: s.pool, Agent: address, Log: s.Log, OnBulletin: f.applyBulletin,
		Request: bulletin.FollowRequest{Name: rillreach.InstanceID(s.Settings.Name), Zone: s.Settings.Zone, LoadOnly: true, Relay: true},
	}
	f.wg.Go(func() { subscription.Run(ctx) })
	return stop
}

// applyBulletin applies a bulletin of an agent of the own zone. An agent may know when weights were requested although the
// relay, which may have started later, does not.
func (f *feed) applyBulletin(b *bulletin.Bulletin, now time.Time) {
	f.table.ApplyBulletin(b, now)
	f.sidecar.state.ApplyWeightsFirstSeen(b.Clock, b.WeightsFirstSeen, now)
}

// serve sends digests to one subscriber until it disconnects.
func (f *feed) serve(ctx context.Context, call *peer.ServerStream) error {
	request, err := peer.Decode[digest.Subscribe](call.Body)
	if err != nil {
		return rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	f.enter(request)
	defer f.leave(request)
	var known, crashes uint64
	for ctx.Err() == nil {
		ticked := f.ticked.Wait()
		body, tick, err := f.encode(digestKey{after: known, ownZone: request.Relay})
		if err == nil && tick > known {
			err = call.SendMessage(ctx, body)
		}
		if err != nil {
			return err
		}
		known = tick
		if crashes, err = f.sendCrashes(ctx, call, crashes); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-ticked:
		}
	}
	return nil
}

// enter counts a subscriber.
func (f *feed) enter(request digest.Subscribe) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers++
	if f.entries == nil {
		f.entries, f.departed = map[rillreach.InstanceID]int{}, map[rillreach.InstanceID]time.Time{}
	}
	if !request.Relay { // an entry of a zone without relays counts here, too
		f.entries[request.Name]++
	}
	f.sidecar.Log.Info("subscriber of digests connected", "decision", "relay", "subscriber", request.Name, "relay", request.Relay, "subscribers", f.subscribers)
}

// leave stops counting a subscriber.
func (f *feed) leave(request digest.Subscribe) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers--
	f.usedAt = time.Now()
	if !request.Relay {
		f.departed[request.Name] = f.usedAt.Add(subscriberTTL)
		if f.entries[request.Name]--; f.entries[request.Name] <= 0 {
			delete(f.entries, request.Name)
		}
	}
	f.sidecar.Log.Info("subscriber of digests disconnected", "decision", "relay", "subscriber", request.Name, "subscribers", f.subscribers)
}

// encode returns the encoded digest of the current tick, which it makes once for all subscribers that know the same.
func (f *feed) encode(key digestKey) ([]byte, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tick <= key.after {
		return nil, key.after, nil
	}
	if body, ok := f.encoded[key]; ok {
		return body, f.tick, nil
	}
	d := f.table.Since(key.after, key.ownZone)
	f.addState(&d)
	body, err := peer.Encode(d)
	if err != nil {
		return nil, key.after, err
	}
	f.encoded[key] = body
	return body, f.tick, nil
}

// addState adds what the agent knows from the object store and from its runner.
func (f *feed) addState(d *digest.Digest) {
	s := f.sidecar
	d.DesiredWeights = s.state.AllDesiredWeights()
	if c := s.state.Config(); c != nil {
		version := c.ConfigVersion()
		d.Config = &version
	}
	load, reportedAt, _ := s.publisher.latestReport()
	if !load.Clock.IsZero() {
		d.Clock = load.Clock.Add(time.Since(reportedAt)).UnixMilli()
	}
	d.WeightsFirstSeen = s.publisher.weightsFirstSeen(d.Clock)
}

// sendCrashes sends a subscriber the crashes that it has not been sent, and returns the version that it knows then.
func (f *feed) sendCrashes(ctx context.Context, call *peer.ServerStream, version uint64) (uint64, error) {
	s := f.sidecar
	for !s.crashes.Empty() {
		crashes, next := s.crashes.Since(s.now(), version, maxCrashesPerDigest)
		if len(crashes) == 0 {
			return next, nil
		}
		body, err := peer.Encode(digest.Digest{Crashes: crashes})
		if err == nil {
			err = call.SendMessage(ctx, body)
		}
		if err != nil {
			return version, err
		}
		version = next
	}
	return version, nil
}
