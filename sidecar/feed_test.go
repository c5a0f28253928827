package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/subscribe"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/digest"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/poison"
	"github.com/rillreach/rillreach/replica"
)

// zonedDeployment has the records of as many engines as make a deployment use relays, of which a few run, with agents.
type zonedDeployment struct {
	t     *testing.T
	store *site.Store
	url   netip.AddrPort
	port  uint16
}

func newZonedDeployment(t *testing.T) *zonedDeployment {
	t.Helper()
	d := newSmallDeployment(t, map[string]any{"name": "s"})
	for i := range replica.MinAgents { // listed last, so that they are asked last
		d.listEngine(fmt.Sprintf("z-%03d", i), "y", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(i + 1)}), 9))
	}
	return d
}

// newSmallDeployment returns a deployment of one service, without engines.
func newSmallDeployment(t *testing.T, service map[string]any) *zonedDeployment {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &zonedDeployment{t: t, store: site.NewStore(), port: netip.MustParseAddrPort(probe.Addr().String()).Port()}
	require.NoError(t, probe.Close())
	server := httptest.NewServer(d.store)
	t.Cleanup(server.Close)
	d.url = addressOf(server.URL)
	d.store.Put("config", "main", map[string]any{"version": 1, "routes": []any{}, "services": []any{service}, "limits": map[string]any{}})
	return d
}

func (d *zonedDeployment) listEngine(id, zone string, address netip.AddrPort) {
	d.store.Put("servers", id, map[string]any{
		"service": "s", "address": address.String(), "zone": zone, "slots": 64, "state": "ready", "version": "1.7.3", "cold_remaining_ms": 0, "sequence": 1,
		"models": []map[string]any{{"name": "m", "version": 1}},
	})
}

// startEngine starts an engine with its agent on a loopback address of their own.
func (d *zonedDeployment) startEngine(i int, zone string) (agent *Sidecar, stop func()) {
	d.t.Helper()
	host := netip.AddrFrom4([4]byte{127, 0, 8, byte(i)})
	runner := httptest.NewUnstartedServer(&fakeEngine{version: 1})
	listener, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	require.NoError(d.t, err)
	runner.Listener = listener
	runner.Start()
	d.t.Cleanup(runner.Close)
	peers, err := net.Listen("tcp", netip.AddrPortFrom(host, d.port).String())
	require.NoError(d.t, err)
	client := platform.NewObjectStoreClient(d.url)
	objects := &replica.Replica{
		Store: client, Kinds: []string{platform.KindConfig, platform.KindRunners, platform.KindWeights}, Self: netip.AddrPortFrom(host, d.port), Zone: rillreach.ZoneID(zone),
		Name: rillreach.InstanceID(fmt.Sprint("agent-", i)), AgentPort: d.port, MaxAge: time.Second, Log: logr.Discard(),
	}
	agent = &Sidecar{
		Settings: &deployment.Settings{
			Name: fmt.Sprint("agent-", i), Zone: rillreach.ZoneID(zone), Host: host, FirstPort: d.port, LastPort: d.port, RunnerAddress: addressOf(runner.URL),
			Bounds: deployment.Bounds{WeightsRollout: 10 * time.Second},
		},
		Replica: objects, Configs: platform.Configs(objects), Runners: platform.Runners(objects), Weights: platform.DesiredWeights(objects),
		Runner: platform.NewRunnerClient(addressOf(runner.URL)), Listener: peers, Log: logr.Discard(),
	}
	d.listEngine(fmt.Sprintf("a-%03d", i), zone, addressOf(runner.URL))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		assert.NoError(d.t, <-ended)
	})
	d.t.Cleanup(stop)
	return agent, stop
}

// digestReader collects the digests of one subscription.
type digestReader struct {
	mu      sync.Mutex
	reports map[rillreach.InstanceID]digest.Report
	entries map[rillreach.ZoneID]int
	crashes int
	// firstSeen holds the versions of weights whose times are known.
	firstSeen map[deployment.WeightVersion]bool
}

// readDigests subscribes to the agent of an engine.
func (d *zonedDeployment) readDigests(agent *Sidecar, name string) *digestReader {
	d.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	d.t.Cleanup(stop)
	r := &digestReader{reports: map[rillreach.InstanceID]digest.Report{}, entries: map[rillreach.ZoneID]int{}, firstSeen: map[deployment.WeightVersion]bool{}}
	pool := &peer.Pool{Mux: &peer.Mux{}, Log: logr.Discard(), Self: rillreach.Instance{
		ID: rillreach.InstanceID(name), Role: rillreach.RoleEntry, Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "x", Side: rillreach.SideNew,
	}}
	pool.Start(ctx)
	address := netip.AddrPortFrom(agent.Settings.Host, agent.Settings.FirstPort)
	go func() {
		for ctx.Err() == nil {
			_ = subscribe.Digests(ctx, pool, address, digest.Subscribe{Name: rillreach.InstanceID(name), Zone: agent.Settings.Zone}, r.apply)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return r
}

func (r *digestReader) apply(d *digest.Digest, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes += len(d.Crashes)
	for _, seen := range d.WeightsFirstSeen {
		r.firstSeen[seen.Version] = true
	}
	for _, report := range d.Reports {
		r.reports[report.Runner] = report
	}
	for _, e := range d.Entries {
		r.entries[e.Zone] = e.Count
	}
}

// has returns a condition on what the reader has received.
func (r *digestReader) has(holds func() bool) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return holds()
	}
}

func (r *digestReader) running(id rillreach.InstanceID) func() bool {
	return r.has(func() bool { return r.reports[id].Load.Running == 2 && !r.reports[id].Lost })
}

func TestDigestsLackAgents(t *testing.T) {
	d := newZonedDeployment(t)
	relay, _ := d.startEngine(1, "x")
	_, stopOther := d.startEngine(2, "x")
	d.startEngine(3, "w")
	reader := d.readDigests(relay, "entry-1")
	eventually := func(t *testing.T, holds func() bool) {
		t.Helper()
		require.Eventually(t, holds, waitTimeout, 5*time.Millisecond)
	}
	t.Run("agents of the relay's own zone and of another are reported", func(t *testing.T) {
		eventually(t, reader.running("a-001"))
		eventually(t, reader.running("a-002"))
		eventually(t, reader.running("a-003"))
	})
	t.Run("the entries of the zone are counted", func(t *testing.T) {
		d.readDigests(relay, "entry-2")
		eventually(t, reader.has(func() bool { return reader.entries["x"] == 2 }))
	})
	t.Run("a crash that an entry has reported is passed on", func(t *testing.T) {
		relay.crashes.Record(relay.now(), poison.Crash{Request: poison.Fingerprint{1}, Runner: "a-002", Generation: 1})
		eventually(t, reader.has(func() bool { return reader.crashes == 1 }))
	})
	t.Run("an agent that has ended is reported as lost", func(t *testing.T) {
		stopOther()
		eventually(t, reader.has(func() bool { return reader.reports["a-002"].Lost }))
	})
}

// TestRelayHidesWhenWeightsWereRequested guards against a relay that has started after new weights were requested, and that
// keeps its entries from learning of the time, which other agents know.
func TestRelayHidesWhenWeightsWereRequested(t *testing.T) {
	for name, zone := range map[string]string{"an agent of its zone knows the time": "x", "an agent of another zone does": "w"} {
		t.Run(name, func(t *testing.T) {
			d := newZonedDeployment(t)
			earlier, _ := d.startEngine(2, zone)
			d.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
			knows := func(s *Sidecar, version deployment.WeightVersion) func() bool {
				return func() bool { w, _ := s.state.DesiredWeights("m"); return w.Version == version }
			}
			require.Eventually(t, knows(earlier, 1), waitTimeout, 5*time.Millisecond)
			d.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
			require.Eventually(t, knows(earlier, 2), waitTimeout, 5*time.Millisecond)
			relay, _ := d.startEngine(1, "x")
			reader := d.readDigests(relay, "entry-1")
			require.Eventually(t, reader.has(func() bool { return reader.firstSeen[2] }), waitTimeout, 5*time.Millisecond)
		})
	}
}

// TestFollowersGrowWithEntries guards against agents that each serve every entry. An agent is followed by the relay alone,
// however many entries subscribe to that.
func TestFollowersGrowWithEntries(t *testing.T) {
	d := newZonedDeployment(t)
	relay, _ := d.startEngine(1, "x")
	other, _ := d.startEngine(2, "x")
	for i := range 100 {
		reader := d.readDigests(relay, fmt.Sprint("entry-", i))
		if i == 9 || i == 29 || i == 99 {
			require.Eventually(t, reader.running("a-002"), waitTimeout, 5*time.Millisecond)
			assert.Equal(t, int64(1), other.publisher.followers.Load(), "%d entries", i+1)
		}
	}
}

func TestWeightsFirstSeenIsNotCorrected(t *testing.T) {
	const clock = 100_000 // of the runners, in milliseconds
	s := &Sidecar{Log: logr.Discard()}
	p := &publisher{sidecar: s}
	s.state.Log = logr.Discard()
	s.state.SetWeights(deployment.DesiredWeights{Model: "m", Version: 2, Revision: rillreach.Revision{Number: 2}})
	first := p.weightsFirstSeen(clock)[0].At
	report := func(earlier time.Duration) int64 {
		_, since := s.state.DesiredWeights("m")
		s.state.ApplyDesiredVersion(localstate.DesiredVersion{Model: "m", Version: 2, At: since.Add(-earlier)})
		return p.weightsFirstSeen(clock)[0].At
	}
	assert.Equal(t, first, report(firstSeenTolerance/4), "a difference of a message's delay is not passed on")
	assert.Less(t, report(2*time.Second), first-1500, "a much earlier time is passed on")
}
