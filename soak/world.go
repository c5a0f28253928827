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
	// restartDelay is how long after its end a process or runner is started again.
	restartDelay = 300 * time.Millisecond
	// leaveDuration is how long a leaving runner goes on.
	leaveDuration = 3 * time.Second
	keyCount      = 6
)

// cluster is a site: a store, runners behind proxies, entries as processes, callers.
type cluster struct {
	store       *site.Store
	server      *httptest.Server
	runnerSlots []*runnerSlot
	entries     []*entry
	engines     []*engine
	balancer    *balancer
	callers     *callers
	events      eventLog
	report      func(format string, args ...any)

	// restoreMu is held while the store comes back from a copy, until what that has lost is written again.
	restoreMu sync.Mutex
	prober    prober

	mu            sync.Mutex
	configVersion int
	// versionAckedAt is when the version was acknowledged.
	versionAckedAt   time.Time
	weightsVersion   uint64
	weightsPublished map[uint64]time.Time
	keysRemoved      map[string]time.Time
	leavingSince     map[string]time.Time
	disturbances     map[int][]interval
	storeOutages     map[int][]interval
	runnerFaults     map[string][]interval
	evacuations      []interval
	lastFaultEnd     time.Time
	scheduled        sync.WaitGroup
}

// clusterSize is how much a world has of everything.
type clusterSize struct{ Entries, Runners, Callers int }

func newCluster(binary, dir string, n clusterSize, report func(string, ...any)) (*cluster, error) {
	w := &cluster{
		store: site.NewStore(), report: report, keysRemoved: map[string]time.Time{}, leavingSince: map[string]time.Time{}, disturbances: map[int][]interval{},
		storeOutages: map[int][]interval{}, weightsPublished: map[uint64]time.Time{}, runnerFaults: map[string][]interval{},
	}
	w.server = httptest.NewServer(w.store)
	for i := range n.Runners {
		p, err := newProxy(runnerHost(i), netip.AddrPort{})
		if err != nil {
			return nil, err
		}
		one := &runnerSlot{proxy: p, events: &w.events, number: i}
		one.crashAndReplace = func() bool { return one.replaceMu.TryLock() && w.replaceRunner(one) }
		w.runnerSlots = append(w.runnerSlots, one)
		w.register(one, one.start(), "ready")
	}
	w.publishConfig()
	w.publishWeights()
	store := netip.MustParseAddrPort(strings.TrimPrefix(w.server.URL, "http://"))
	peers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	peerPort := netip.MustParseAddrPort(peers).Port()
	for i := range n.Runners {
		if err := w.addEngine(i, binary, dir, store, peerPort); err != nil {
			return nil, err
		}
	}
	for i := range n.Entries {
		e, err := newEntry(i, binary, dir, store, peerPort)
		if err != nil {
			return nil, err
		}
		if err := e.start(); err != nil {
			return nil, err
		}
		w.entries = append(w.entries, e)
	}
	w.balancer = newBalancer(w.entries)
	w.callers = &callers{balancer: w.balancer, host: host, keys: w.keys(), callerCount: n.Callers}
	return w, w.awaitReady()
}

// addEngine starts an engine and the agent beside it.
func (w *cluster) addEngine(number int, binary, dir string, store netip.AddrPort, peerPort uint16) error {
	p, err := newProxy(engineHost(number), netip.AddrPort{})
	if err != nil {
		return err
	}
	n := &engine{proxy: p, events: &w.events, number: number}
	n.crashAndReplace = func() bool { return n.replaceMu.TryLock() && w.replaceEngine(n) }
	n.start(1)
	w.registerEngine(n)
	if n.agent, err = newAgent(number, binary, dir, store, p.address(), peerPort); err != nil {
		return err
	}
	w.engines = append(w.engines, n)
	return n.agent.start()
}

func (w *cluster) registerEngine(n *engine) {
	id, spec := n.storeRecord()
	w.store.Put("servers", id, spec)
}

const (
	maxReadyProbes     = 200
	readyProbeInterval = 50 * time.Millisecond
)

// awaitReady waits until every entry calls itself ready.
func (w *cluster) awaitReady() error {
	for _, e := range w.entries {
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

func (w *cluster) keys() []string {
	keys := []string{permanentKey}
	for i := range keyCount {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	return keys
}

func (w *cluster) register(p *runnerSlot, id, state string) {
	spec := site.RecordOf(p.proxy.address(), state)
	spec["zone"] = zoneOf(p.number)
	w.store.Put("servers", id, spec)
}

// publishConfig writes the next version, without the keys that are taken away.
func (w *cluster) publishConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configVersion += 3
	var keys []string
	for _, key := range w.keys() {
		if _, gone := w.keysRemoved[key]; !gone {
			keys = append(keys, key)
		}
	}
	defer func() { w.versionAckedAt = time.Now() }()
	w.store.Put("config", "main", site.ConfigOf(
		w.configVersion, keys,
		site.Route{Name: versionRoute(w.configVersion), Host: host, Kind: "idempotent", Attempts: 1},
		site.Route{Name: string(kindRepeat), Host: host, Kind: "idempotent", Attempts: 2},
		site.Route{Name: string(kindOnce), Host: host, Kind: "non_idempotent", Attempts: 2},
		site.Route{Name: string(kindStream), Host: host, Kind: "streaming", Attempts: 3, Resumable: true, Timeout: streamTimeout},
		site.Route{Name: string(kindFlow), Host: host, Kind: "streaming", Attempts: 1, Timeout: streamTimeout},
		site.Route{Name: string(kindPrompt), Host: host, Kind: "streaming", Attempts: 3, Resumable: true, Engines: true, Timeout: streamTimeout},
		site.Route{Name: string(kindChat), Host: host, Kind: "streaming", Attempts: 2, Resumable: true, Engines: true, Timeout: streamTimeout},
	))
}

// recordDisturbance notes that an entry is under a fault of its own for a time.
func (w *cluster) recordDisturbance(e *entry, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.disturbances[e.number] = append(w.disturbances[e.number], interval{From: now, To: now.Add(d)})
}

// recordStoreOutage notes that an entry has no path to the object store, or that the store serves nobody, for a time.
func (w *cluster) recordStoreOutage(e *entry, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.storeOutages[e.number] = append(w.storeOutages[e.number], interval{From: now, To: now.Add(d)})
}

// recordRunnerFault notes that the runners of a place, or their links, are under a fault for a time.
func (w *cluster) recordRunnerFault(place string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.runnerFaults[place] = append(w.runnerFaults[place], interval{From: now, To: now.Add(d)})
}

// schedule does something after a time, and keeps the end of the soak waiting for it.
func (w *cluster) schedule(d time.Duration, do func()) {
	w.scheduled.Go(func() {
		time.Sleep(d)
		do()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lastFaultEnd = time.Now()
	})
}

// run runs the schedule and returns what was seen.
func (w *cluster) run(actions []action, length time.Duration) *observations {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	w.prober.world = w
	callers.Go(func() { w.balancer.run(stop) })
	callers.Go(func() { w.prober.run(stop) })
	callers.Go(func() { w.callers.run(stop) })
	begun := time.Now()
	for _, a := range actions {
		time.Sleep(time.Until(begun.Add(a.At)))
		w.report("%7.3f s  %s, number %d, for %s", time.Since(begun).Seconds(), a.Fault, a.Target, a.Duration)
		w.inject(a)
	}
	w.scheduled.Wait()
	time.Sleep(max(time.Until(begun.Add(length)), time.Until(w.lastFaultEnd.Add(coolDown))))
	close(stop)
	callers.Wait()
	return w.collect()
}

func (w *cluster) collect() *observations {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events.mu.Lock()
	defer w.events.mu.Unlock()
	r := &observations{
		Executions: slices.Clone(w.events.executions), Arrivals: slices.Clone(w.events.arrivals), ReceivedOrders: slices.Clone(w.events.orders), Disturbances: w.disturbances, LeavingSince: maps.Clone(w.leavingSince),
		KeysRemoved: w.keysRemoved, LastFaultEnd: w.lastFaultEnd, WeightsPublished: maps.Clone(w.weightsPublished), LoadedWeights: map[string]uint64{}, Ended: time.Now(),
		RunnerFaults: w.runnerFaults, Evacuations: slices.Clone(w.evacuations), StoreOutages: maps.Clone(w.storeOutages), Entries: map[int]processHistory{},
	}
	for _, n := range w.engines {
		id, weights := n.idAndWeights()
		r.LoadedWeights[id] = weights
	}
	for _, e := range w.entries {
		past := e.historySnapshot()
		r.Entries[e.number] = past
		r.Disturbances[e.number] = append(r.Disturbances[e.number], past.disturbances()...)
	}
	w.callers.mu.Lock()
	defer w.callers.mu.Unlock()
	r.Calls = slices.Clone(w.callers.calls)
	w.prober.mu.Lock()
	defer w.prober.mu.Unlock()
	r.Probes = slices.Clone(w.prober.probes)
	return r
}

// close ends everything that the soak has started.
func (w *cluster) close() {
	for _, e := range w.entries {
		e.terminate(syscall.SIGKILL)
	}
	for _, n := range w.engines {
		n.agent.terminate(syscall.SIGKILL)
	}
	w.server.CloseClientConnections()
	w.server.Close()
}
