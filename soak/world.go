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
	host    = "shop.example"
	keptKey = "key-that-stays"
	// restartAfter is how long after its end a process or runner is started again.
	restartAfter = 300 * time.Millisecond
	// gracePause is how long a leaving runner goes on.
	gracePause = 3 * time.Second
	keyCount   = 6
)

// world is a site: a store, runners behind proxies, entries as processes, callers.
type world struct {
	store    *site.Store
	server   *httptest.Server
	places   []*place
	entries  []*entry
	engines  []*engine
	balancer *balancer
	callers  *callers
	ledger   ledger
	report   func(format string, args ...any)

	// restoring is held while the store comes back from a copy, until what that has lost is written again.
	restoring sync.Mutex
	prober    prober

	mu      sync.Mutex
	version int
	// versionAt is when the version was acknowledged.
	versionAt time.Time
	weights   uint64
	named     map[uint64]time.Time
	removed   map[string]time.Time
	left      map[string]time.Time
	disturbed map[int][]span
	cutOffs   map[int][]span
	harmed    map[string][]span
	evacuated []span
	last      time.Time
	work      sync.WaitGroup
}

// size is how much a world has of everything.
type size struct{ Entries, Runners, Callers int }

func newWorld(binary, dir string, n size, report func(string, ...any)) (*world, error) {
	w := &world{
		store: site.NewStore(), report: report, removed: map[string]time.Time{}, left: map[string]time.Time{}, disturbed: map[int][]span{},
		cutOffs: map[int][]span{}, named: map[uint64]time.Time{}, harmed: map[string][]span{},
	}
	w.server = httptest.NewServer(w.store)
	for i := range n.Runners {
		p, err := newProxy(runnerHost(i), netip.AddrPort{})
		if err != nil {
			return nil, err
		}
		one := &place{proxy: p, ledger: &w.ledger, number: i}
		one.fatal = func() bool { return one.replacing.TryLock() && w.replacePlace(one) }
		w.places = append(w.places, one)
		w.list(one, one.start(), "ready")
	}
	w.configure()
	w.nameWeights()
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
	w.callers = &callers{balancer: w.balancer, host: host, keys: w.keys(), count: n.Callers}
	return w, w.awaitReady()
}

// addEngine starts an engine and the agent beside it.
func (w *world) addEngine(number int, binary, dir string, store netip.AddrPort, peerPort uint16) error {
	p, err := newProxy(engineHost(number), netip.AddrPort{})
	if err != nil {
		return err
	}
	n := &engine{proxy: p, ledger: &w.ledger, number: number}
	n.fatal = func() bool { return n.replacing.TryLock() && w.replaceEngine(n) }
	n.start(1)
	w.listEngine(n)
	if n.agent, err = newAgent(number, binary, dir, store, p.address(), peerPort); err != nil {
		return err
	}
	w.engines = append(w.engines, n)
	return n.agent.start()
}

func (w *world) listEngine(n *engine) {
	id, spec := n.record()
	w.store.Put("servers", id, spec)
}

const (
	readyTries = 200
	readyPause = 50 * time.Millisecond
)

// awaitReady waits until every entry calls itself ready.
func (w *world) awaitReady() error {
	for _, e := range w.entries {
		tries := 0
		for !isReady(e) {
			if tries++; tries > readyTries {
				return errors.Newf("entry %d does not become ready", e.number)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

func (w *world) keys() []string {
	keys := []string{keptKey}
	for i := range keyCount {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	return keys
}

func (w *world) list(p *place, id, state string) {
	spec := site.NewRunnerRecord(p.proxy.address(), state)
	spec["zone"] = zoneOf(p.number)
	w.store.Put("servers", id, spec)
}

// configure writes the next version, without the keys that are taken away.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	var keys []string
	for _, key := range w.keys() {
		if _, gone := w.removed[key]; !gone {
			keys = append(keys, key)
		}
	}
	defer func() { w.versionAt = time.Now() }()
	w.store.Put("config", "main", site.NewConfig(
		w.version, keys,
		site.Route{Name: versionRoute(w.version), Host: host, Kind: "idempotent", Attempts: 1},
		site.Route{Name: string(kindRepeat), Host: host, Kind: "idempotent", Attempts: 2},
		site.Route{Name: string(kindOnce), Host: host, Kind: "non_idempotent", Attempts: 2},
		site.Route{Name: string(kindStream), Host: host, Kind: "streaming", Attempts: 3, Resumable: true, Timeout: streamTimeout},
		site.Route{Name: string(kindFlow), Host: host, Kind: "streaming", Attempts: 1, Timeout: streamTimeout},
		site.Route{Name: string(kindPrompt), Host: host, Kind: "streaming", Attempts: 3, Resumable: true, UsesEngines: true, Timeout: streamTimeout},
		site.Route{Name: string(kindChat), Host: host, Kind: "streaming", Attempts: 2, Resumable: true, UsesEngines: true, Timeout: streamTimeout},
	))
}

// disturb notes that an entry is under a fault of its own for a time.
func (w *world) disturb(e *entry, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.disturbed[e.number] = append(w.disturbed[e.number], span{From: now, To: now.Add(d)})
}

// cutOff notes that an entry has no path to the object store, or that the store serves nobody, for a time.
func (w *world) cutOff(e *entry, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.cutOffs[e.number] = append(w.cutOffs[e.number], span{From: now, To: now.Add(d)})
}

// harm notes that the runners of a place, or their links, are under a fault for a time.
func (w *world) harm(place string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.harmed[place] = append(w.harmed[place], span{From: now, To: now.Add(d)})
}

// later does something after a time, and keeps the end of the soak waiting for it.
func (w *world) later(d time.Duration, do func()) {
	w.work.Go(func() {
		time.Sleep(d)
		do()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.last = time.Now()
	})
}

// play runs the schedule and returns what was seen.
func (w *world) play(actions []action, length time.Duration) *record {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	w.prober.world = w
	callers.Go(func() { w.balancer.run(stop) })
	callers.Go(func() { w.prober.run(stop) })
	callers.Go(func() { w.callers.run(stop) })
	begun := time.Now()
	for _, a := range actions {
		time.Sleep(time.Until(begun.Add(a.At)))
		w.report("%7.3f s  %s, number %d, for %s", time.Since(begun).Seconds(), a.Fault, a.Which, a.For)
		w.inject(a)
	}
	w.work.Wait()
	time.Sleep(max(time.Until(begun.Add(length)), time.Until(w.last.Add(quietAfter))))
	close(stop)
	callers.Wait()
	return w.record()
}

func (w *world) record() *record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	r := &record{
		Runs: slices.Clone(w.ledger.runs), Arrivals: slices.Clone(w.ledger.arrivals), Orders: slices.Clone(w.ledger.orders), Disturbed: w.disturbed, Left: maps.Clone(w.left),
		Removed: w.removed, Quiet: w.last, Named: maps.Clone(w.named), Loaded: map[string]uint64{}, Ended: time.Now(),
		Harmed: w.harmed, Evacuated: slices.Clone(w.evacuated), CutOff: maps.Clone(w.cutOffs), Entries: map[int]history{},
	}
	for _, n := range w.engines {
		id, weights := n.run()
		r.Loaded[id] = weights
	}
	for _, e := range w.entries {
		past := e.past()
		r.Entries[e.number] = past
		r.Disturbed[e.number] = append(r.Disturbed[e.number], past.disturbed()...)
	}
	w.callers.mu.Lock()
	defer w.callers.mu.Unlock()
	r.Calls = slices.Clone(w.callers.calls)
	w.prober.mu.Lock()
	defer w.prober.mu.Unlock()
	r.Probes = slices.Clone(w.prober.seen)
	return r
}

// close ends everything that the soak has started.
func (w *world) close() {
	for _, e := range w.entries {
		e.end(syscall.SIGKILL)
	}
	for _, n := range w.engines {
		n.agent.end(syscall.SIGKILL)
	}
	w.server.CloseClientConnections()
	w.server.Close()
}
