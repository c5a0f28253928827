package main

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	host         = "shop.example"
	permanentKey = "key-that-stays"
	// restartDelay is the time between the end of a process or runner and its restart.
	restartDelay = 300 * time.Millisecond
	// leaveDuration is how long a leaving runner keeps running.
	leaveDuration = 3 * time.Second
	keyCount      = 6
)

// cluster is the system under test: an object store, runners and engines behind proxies, entry and agent processes, and
// callers.
type cluster struct {
	store        *site.Store
	server       *httptest.Server
	network      *network
	plainRunners []*plainRunner
	entries      []*entry
	engines      []*engine
	balancer     *balancer
	callers      *callers
	events       eventLog
	report       func(format string, args ...any)

	// restoreMu is held while the store is restored from a copy, until the lost changes have been written again.
	restoreMu sync.Mutex
	prober    prober

	mu            sync.Mutex
	configVersion int
	// versionAckedAt is when the current version of the configuration was acknowledged.
	versionAckedAt   time.Time
	weightsVersion   uint64
	weightsPublished map[uint64]time.Time
	keysRemoved      map[string]time.Time
	leavingSince     map[string]time.Time
	disturbances     map[int][]interval
	storeOutages     map[int][]interval
	runnerFaults     map[string][]interval
	silences         map[string][]interval
	evacuations      []interval
	lastFaultEnd     time.Time
	scheduled        sync.WaitGroup
}

// clusterSize is the number of entries, of runners and of callers in a cluster. There are as many engines as runners.
// With Versions, runners have two versions of their software, and callers take up streams that are cut.
type clusterSize struct {
	Entries, Runners, Callers int
	Versions                  bool
}

func newCluster(binary, dir string, counts clusterSize, report func(string, ...any)) (*cluster, error) {
	c := &cluster{
		store: site.NewStore(), report: report, keysRemoved: map[string]time.Time{}, leavingSince: map[string]time.Time{}, disturbances: map[int][]interval{},
		storeOutages: map[int][]interval{}, weightsPublished: map[uint64]time.Time{}, runnerFaults: map[string][]interval{}, silences: map[string][]interval{},
	}
	var err error
	if c.network, err = claimNetwork(); err != nil {
		return nil, err
	}
	c.server = site.Serve(c.network.host(), c.store)
	for i := range counts.Runners {
		if err := c.addPlainRunner(i, counts.softwareOf(i)); err != nil {
			return nil, err
		}
	}
	c.publishConfig()
	c.publishWeights()
	store := netip.MustParseAddrPort(strings.TrimPrefix(c.server.URL, "http://"))
	peers, err := c.network.ports.Free(c.network.host())
	if err != nil {
		return nil, err
	}
	for i := range counts.Runners {
		if err := c.addEngine(i, counts.softwareOf(i), binary, dir, store, peers.Port()); err != nil {
			return nil, err
		}
	}
	for i := range counts.Entries {
		e, err := newEntry(i, binary, dir, c.network, store, peers.Port())
		if err != nil {
			return nil, err
		}
		if err := e.start(); err != nil {
			return nil, err
		}
		c.entries = append(c.entries, e)
	}
	c.balancer = newBalancer(c.entries)
	c.callers = &callers{balancer: c.balancer, host: host, keys: c.keys(), tag: c.network.tag, callerCount: counts.Callers, takesUp: counts.Versions}
	return c, c.awaitReady()
}

// addPlainRunner starts a plain runner.
func (c *cluster) addPlainRunner(number int, software string) error {
	p, err := newProxy(c.network.runnerHost(number), netip.AddrPort{})
	if err != nil {
		return err
	}
	runner := &plainRunner{proxy: p, events: &c.events, number: number, software: software}
	runner.crashAndReplace = func(label string) bool {
		return c.events.endOnce(label, &runner.replaceMu, func() bool { return c.replaceRunner(runner) })
	}
	c.plainRunners = append(c.plainRunners, runner)
	c.register(runner, runner.start(), "ready")
	return nil
}

// addEngine starts an engine and its agent.
func (c *cluster) addEngine(number int, software, binary, dir string, store netip.AddrPort, peerPort uint16) error {
	p, err := newProxy(c.network.engineHost(number), netip.AddrPort{})
	if err != nil {
		return err
	}
	n := &engine{proxy: p, events: &c.events, number: number, software: software}
	n.crashAndReplace = func(label string) bool {
		return c.events.endOnce(label, &n.replaceMu, func() bool { return c.replaceEngine(n) })
	}
	n.start(1)
	c.registerEngine(n)
	if n.agent, err = newAgent(number, binary, dir, c.network, store, p.address(), peerPort); err != nil {
		return err
	}
	c.engines = append(c.engines, n)
	return n.agent.start()
}

func (c *cluster) registerEngine(n *engine) {
	id, spec := n.storeRecord()
	c.store.Put("servers", id, spec)
}

const (
	maxReadyProbes     = 200
	readyProbeInterval = 50 * time.Millisecond
)

// awaitReady waits until every entry reports being ready.
func (c *cluster) awaitReady() error {
	for _, e := range c.entries {
		tries := 0
		for !probeReady(e) {
			if tries++; tries > maxReadyProbes {
				return errors.Newf("entry %d does not become ready", e.number)
			}
			time.Sleep(readyProbeInterval)
		}
	}
	return nil
}

func (c *cluster) keys() []string {
	keys := []string{permanentKey}
	for i := range keyCount {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	return keys
}

func (c *cluster) register(p *plainRunner, id, state string) {
	spec := site.NewRunnerRecord(p.proxy.address(), state)
	spec["zone"], spec["version"] = zoneOf(p.number), p.softwareVersion()
	c.store.Put("servers", id, spec)
}

// publishConfig publishes the next version of the configuration, without the removed keys.
func (c *cluster) publishConfig() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configVersion += 3
	var keys []string
	for _, key := range c.keys() {
		if _, gone := c.keysRemoved[key]; !gone {
			keys = append(keys, key)
		}
	}
	defer func() { c.versionAckedAt = time.Now() }()
	c.store.Put("config", "main", site.NewConfig(
		c.configVersion, keys,
		site.Route{Name: versionRoute(c.configVersion), Host: host, Kind: "idempotent", Attempts: 1},
		site.Route{Name: string(kindRepeat), Host: host, Kind: "idempotent", Attempts: 2},
		site.Route{Name: string(kindOnce), Host: host, Kind: "non_idempotent", Attempts: 2},
		site.Route{Name: string(kindStream), Host: host, Kind: "streaming", Attempts: 3, Resumable: true, Timeout: streamTimeout},
		site.Route{Name: string(kindFlow), Host: host, Kind: "streaming", Attempts: 1, Timeout: streamTimeout},
		site.Route{Name: string(kindPrompt), Host: host, Kind: "streaming", Attempts: 3, Resumable: true, UsesEngines: true, Timeout: streamTimeout},
		site.Route{Name: string(kindChat), Host: host, Kind: "streaming", Attempts: 2, Resumable: true, UsesEngines: true, Timeout: streamTimeout},
	))
}

// recordDisturbance records that an entry is under a fault for the given time.
func (c *cluster) recordDisturbance(e *entry, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.disturbances[e.number] = append(c.disturbances[e.number], interval{From: now, To: now.Add(d)})
}

// recordStoreOutage records that an entry cannot reach the object store, or that the store serves nobody, for the given
// time.
func (c *cluster) recordStoreOutage(e *entry, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.storeOutages[e.number] = append(c.storeOutages[e.number], interval{From: now, To: now.Add(d)})
}

// recordRunnerFault records a fault of a plain runner or engine, or of its connections, that lasts for the given time.
func (c *cluster) recordRunnerFault(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.runnerFaults[name] = append(c.runnerFaults[name], interval{From: now, To: now.Add(d)})
}

// recordSilence records that a plain runner or engine is out of reach for the given time.
func (c *cluster) recordSilence(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.silences[name] = append(c.silences[name], interval{From: now, To: now.Add(d)})
}

// schedule runs fn after the given time. The soak does not end before it has returned.
func (c *cluster) schedule(d time.Duration, fn func()) {
	c.scheduled.Go(func() {
		time.Sleep(d)
		fn()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastFaultEnd = time.Now()
	})
}

// run runs the schedule and returns the observations.
func (c *cluster) run(actions []action, length time.Duration) *observations {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	c.prober.cluster = c
	callers.Go(func() { c.balancer.run(stop) })
	callers.Go(func() { c.prober.run(stop) })
	callers.Go(func() { c.watchMemory(stop) })
	callers.Go(func() { c.callers.run(stop) })
	begun := time.Now()
	for _, a := range actions {
		time.Sleep(time.Until(begun.Add(a.At)))
		c.report("%7.3f s %s, number %d, for %s", time.Since(begun).Seconds(), a.Fault, a.Target, a.Duration)
		c.inject(a)
	}
	c.scheduled.Wait()
	time.Sleep(max(time.Until(begun.Add(length)), time.Until(c.lastFaultEnd.Add(coolDown))))
	close(stop)
	callers.Wait()
	return c.collect()
}

func (c *cluster) collect() *observations {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events.mu.Lock()
	defer c.events.mu.Unlock()
	r := &observations{
		Executions: slices.Clone(c.events.executions), Arrivals: slices.Clone(c.events.arrivals), ReceivedOrders: slices.Clone(c.events.orders), Disturbances: c.disturbances, LeavingSince: maps.Clone(c.leavingSince),
		KeysRemoved: c.keysRemoved, LastFaultEnd: c.lastFaultEnd, WeightsPublished: maps.Clone(c.weightsPublished), LoadedWeights: map[string]uint64{}, Ended: time.Now(),
		SoftwareRuns: slices.Clone(c.events.softwareRuns), RunnerFaults: c.runnerFaults, Silences: c.silences, Evacuations: slices.Clone(c.evacuations), StoreOutages: maps.Clone(c.storeOutages), Entries: map[int]processHistory{},
	}
	for _, n := range c.engines {
		id, weights := n.idAndWeights()
		r.LoadedWeights[id] = weights
	}
	for _, e := range c.entries {
		history := e.historySnapshot()
		r.Entries[e.number] = history
		r.Disturbances[e.number] = append(r.Disturbances[e.number], history.disturbances()...)
	}
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	r.Calls = slices.Clone(c.callers.calls)
	c.prober.mu.Lock()
	defer c.prober.mu.Unlock()
	r.Probes = slices.Clone(c.prober.probes)
	return r
}

// close ends all processes and servers of the cluster.
func (c *cluster) close() {
	for _, e := range c.entries {
		e.terminate(syscall.SIGKILL)
	}
	for _, n := range c.engines {
		n.agent.terminate(syscall.SIGKILL)
	}
	c.server.CloseClientConnections()
	c.server.Close()
	if err := c.network.release(); err != nil {
		c.report("network not released: %v", err)
	}
}
