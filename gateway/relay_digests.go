package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/controller/subscribe"
	"github.com/rillreach/rillreach/digest"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/roster"
)

// digestRetryDelay is the pause before a relay is asked again for its digests.
const digestRetryDelay = 200 * time.Millisecond

// digestFollower follows the digests of the relay from which the entry gets the store's objects.
type digestFollower struct {
	gateway *Gateway
	pool    *peer.Pool

	mu sync.Mutex
	// reports are those of the current subscription that hold until the relay names them again.
	reports map[rillreach.InstanceID]digest.Report
}

// Name returns the name of the controller.
func (f *digestFollower) Name() string { return "follow-relay" }

// Run follows the digests until the context ends.
func (f *digestFollower) Run(ctx context.Context) error {
	g := f.gateway
	for ctx.Err() == nil {
		changed := g.Replica.RelayChanged()
		relay, ok := g.Replica.Relay()
		if ok {
			f.begin()
			err := f.follow(ctx, relay.Address, changed)
			g.Log.Info("digests end", "decision", "retry", "relay", relay.Address, "cause", err.Error())
		}
		f.pause(ctx, ok, changed)
	}
	return nil
}

// begin prepares for a new subscription.
func (f *digestFollower) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = map[rillreach.InstanceID]digest.Report{}
}

// pause waits until another relay is known, and after a failure until the same one may be asked again.
func (f *digestFollower) pause(ctx context.Context, retry bool, changed <-chan struct{}) {
	var after <-chan time.Time
	if retry {
		after = time.After(digestRetryDelay)
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-after:
	}
}

// follow follows the digests of one relay until they end or another relay is used.
func (f *digestFollower) follow(ctx context.Context, relay netip.AddrPort, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	s := f.gateway.Settings
	request := digest.Subscribe{Name: rillreach.InstanceID(s.Name), Zone: s.Zone}
	return subscribe.Digests(ctx, f.pool, relay, request, f.apply)
}

// apply applies a digest to the entry's state.
func (f *digestFollower) apply(d *digest.Digest, now time.Time) {
	g := f.gateway
	g.cache.clock.observe(d.Clock, now)
	g.applyStoreState(d.DesiredWeights, d.Config, now)
	g.state.ApplyWeightsFirstSeen(d.Clock, d.WeightsFirstSeen, now)
	g.applyCrashes(d.Crashes)
	g.observeZones(d.Entries, now)
	for i := range d.Stores {
		g.cache.applyStoreUpdate(d.Stores[i].Agent, d.Stores[i].Clock, &d.Stores[i].Update, now)
	}
	f.applyReports(d.Reports, now)
}

// applyReports applies changed reports, and confirms all others that hold.
func (f *digestFollower) applyReports(changed []digest.Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range changed {
		r := &changed[i]
		if r.Lost {
			delete(f.reports, r.Runner)
			continue
		}
		f.reports[r.Runner] = *r
	}
	for id := range f.reports {
		r := f.reports[id]
		f.gateway.applyRelayedReport(&r, now)
	}
	f.gateway.queue.notify()
}

// applyRelayedReport applies a report that a relay has passed on and that holds. Its load may be as old as the interval at
// which relays pass on loads.
func (g *Gateway) applyRelayedReport(r *digest.Report, now time.Time) {
	runner := g.state.ObserveRun(r.Run())
	if runner == nil {
		return
	}
	load := loadOf(&r.Load)
	if err := load.Check(); err != nil {
		g.logInvalidReport(r.Runner, &r.Load, err)
		return
	}
	receivedAt := now.Add(-digest.LoadAge(r.Zone == g.Settings.Zone))
	if receivedAt.Before(runner.ReportedAt()) {
		return // the agent itself has sent a fresher one
	}
	if runner.SetReport(roster.Report{ReceivedAt: receivedAt, Load: load, WeightLoadAt: g.relayedWeightLoadTime(&r.Load, now)}) {
		g.state.MarkCold(runner, now) // it may have restarted while it was silent
	}
}

// relayedWeightLoadTime returns when the runner's next weight load is scheduled on this process's clock, or zero if it is not
// known.
func (g *Gateway) relayedWeightLoadTime(l *bulletin.Load, now time.Time) time.Time {
	clock, known := g.cache.clock.estimate(now)
	if l.WeightLoadAt == 0 || !known {
		return time.Time{}
	}
	return now.Add(time.UnixMilli(l.WeightLoadAt).Sub(clock))
}
