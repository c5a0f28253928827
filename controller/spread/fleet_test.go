package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	standin "github.com/rillreach/rillreach/internal/standin/platform"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/objectstore"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/replicate"
)

const (
	zoneCount = 4
	patience  = 60 * time.Second
)

// network lets a test cut and freeze processes.
type network struct {
	mu     sync.Mutex
	cut    map[string]bool
	frozen map[string]chan struct{}
	conns  map[string][]net.Conn
}

func newNetwork() *network {
	return &network{cut: map[string]bool{}, frozen: map[string]chan struct{}{}, conns: map[string][]net.Conn{}}
}

// dialFrom makes the connections of one process.
func (n *network) dialFrom(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		refused := n.cut[from] || n.cut[address]
		n.mu.Unlock()
		if refused {
			return nil, net.ErrClosed
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[from] = append(n.conns[from], conn)
		n.conns[address] = append(n.conns[address], conn)
		return &heldConn{Conn: conn, network: n, ends: [2]string{from, address}}, nil
	}
}

// cutOff ends a process's connections, and has it make no new ones until it is joined again.
func (n *network) cutOff(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = true
	for _, conn := range n.conns[address] {
		_ = conn.Close()
	}
	n.conns[address] = nil
}

func (n *network) join(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, address)
}

// freeze has nothing get to or from a process, while its connections stay open.
func (n *network) freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = make(chan struct{})
}

func (n *network) thaw(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.frozen[address])
	delete(n.frozen, address)
}

func (n *network) hold(ends [2]string) {
	for _, end := range ends {
		n.mu.Lock()
		frozen := n.frozen[end]
		n.mu.Unlock()
		if frozen != nil {
			<-frozen
		}
	}
}

type heldConn struct {
	net.Conn
	network *network
	ends    [2]string
}

func (c *heldConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	c.network.hold(c.ends)
	return count, err
}

func (c *heldConn) Write(p []byte) (int, error) {
	c.network.hold(c.ends)
	return c.Conn.Write(p)
}

// testFleet is a number of processes' spreading over loopback, in one process.
type testFleet struct {
	t        testing.TB
	platform *standin.Server
	store    *objectstore.Client
	network  *network
	zones    int
	nodes    []*node
}

type node struct {
	*Controller
	gate    *gate
	address netip.AddrPort
	stop    func()
}

func newFleet(tb testing.TB, count int) *testFleet {
	tb.Helper()
	return newFleetInZones(tb, count, zoneCount)
}

func newFleetInZones(tb testing.TB, count, zones int) *testFleet {
	tb.Helper()
	f := &testFleet{t: tb, platform: standin.New(), network: newNetwork(), zones: zones}
	server := httptest.NewServer(f.platform)
	tb.Cleanup(server.Close)
	f.store = &objectstore.Client{Base: server.URL}
	f.write("row-0", "first")
	listeners := make([]net.Listener, count)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(tb, err)
		listeners[i] = listener
		f.list(f.instance(i, listener, 1))
	}
	for i, listener := range listeners {
		f.nodes = append(f.nodes, f.start(i, listener, 1))
	}
	tb.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
	})
	return f
}

func (f *testFleet) instance(i int, listener net.Listener, incarnation int) rillreach.Instance {
	role := rillreach.RoleAgent
	if i%6 < 2 {
		role = rillreach.RoleEntry
	}
	return rillreach.Instance{
		ID:          rillreach.InstanceID(fmt.Sprintf("n%03d", i)),
		Role:        role,
		Side:        rillreach.SideOld,
		Incarnation: rillreach.Incarnation(fmt.Sprintf("%03d", incarnation)),
		Address:     listener.Addr().(*net.TCPAddr).AddrPort(),
		Zone:        rillreach.ZoneID(fmt.Sprintf("z%d", i%f.zones)),
		Model:       "m",
	}
}

func (f *testFleet) start(i int, listener net.Listener, incarnation int) *node {
	ctx, cancel := context.WithCancel(context.Background())
	self := f.instance(i, listener, incarnation)
	members := membership.New()
	mux := &peer.Mux{Log: logr.Discard()}
	pool := &peer.Pool{Self: self, Mux: mux, Log: logr.Discard(), OnConnect: members.Upsert, Dial: f.network.dialFrom(self.Address.String())}
	pool.Start(ctx)
	copied := replicate.NewReplica()
	copied.AddKind(rillreach.KindRow, func(rillreach.Object) {}, nil)
	copied.AddKind(rillreach.KindInstance, func(o rillreach.Object) { _ = members.Apply(o) }, nil)
	g := &gate{ObjectStore: f.store}
	c := &Controller{
		Self: self, Store: g, Replica: copied, Members: members, Pool: pool, Log: logr.Discard(),
		Clock:        rillreach.ClockFunc(time.Now),
		SyncInterval: 100 * time.Millisecond,
		WatchTimeout: time.Second,
	}
	c.Register(mux)
	server := &http.Server{Handler: pool, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	return &node{Controller: c, gate: g, address: self.Address, stop: func() {
		cancel()
		_ = server.Close()
		<-done
	}}
}

// gate is the platform as one process reaches it, or does not while the gate is shut.
type gate struct {
	rillreach.ObjectStore
	shut atomic.Bool
}

// List lists unless the gate is shut.
func (g *gate) List(ctx context.Context, kind rillreach.ObjectKind) (rillreach.ObjectPage, error) {
	if g.shut.Load() {
		return rillreach.ObjectPage{}, net.ErrClosed
	}
	return g.ObjectStore.List(ctx, kind)
}

// Watch watches unless the gate is shut.
func (g *gate) Watch(ctx context.Context, kind rillreach.ObjectKind, after uint64, wait time.Duration) (rillreach.ObjectPage, error) {
	if g.shut.Load() {
		return rillreach.ObjectPage{}, net.ErrClosed
	}
	return g.ObjectStore.Watch(ctx, kind, after, wait)
}

// restart replaces a process by a new incarnation at the same address.
func (f *testFleet) restart(i int) {
	f.t.Helper()
	f.nodes[i].stop()
	listener, err := net.Listen("tcp", f.nodes[i].address.String())
	require.NoError(f.t, err)
	f.nodes[i] = f.start(i, listener, 2)
}

func (f *testFleet) list(instance rillreach.Instance) {
	f.t.Helper()
	value, err := json.Marshal(instance)
	require.NoError(f.t, err)
	_, err = f.store.Put(context.Background(), rillreach.KindInstance, string(instance.ID), 0, value)
	require.NoError(f.t, err)
}

// write changes a row in the platform and returns its version.
func (f *testFleet) write(name, value string) uint64 {
	f.t.Helper()
	ctx := context.Background()
	var seen uint64
	if old, err := f.store.Get(ctx, rillreach.KindRow, name); err == nil {
		seen = old.Version
	}
	o, err := f.store.Put(ctx, rillreach.KindRow, name, seen, []byte(value))
	require.NoError(f.t, err)
	return o.Version
}

func (f *testFleet) holding(version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.Replica.Watermark(rillreach.KindRow).Version >= version {
			count++
		}
	}
	return count
}

// awaitAll waits until all processes, or the given number of them, hold a version of the rows.
func (f *testFleet) awaitAll(version uint64, count int) time.Duration {
	f.t.Helper()
	start := time.Now()
	for f.holding(version) < count {
		if time.Since(start) > patience {
			require.FailNow(f.t, "change does not get around", "%d of %d hold version %d", f.holding(version), count, version)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// settled waits until every process knows all the others.
func (f *testFleet) settled() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, n := range f.nodes {
			if len(n.Members.All()) < len(f.nodes) {
				return false
			}
		}
		return true
	}, patience, 10*time.Millisecond)
	f.awaitAll(f.write("row-0", "second"), len(f.nodes))
}

// callsFail waits until the processes have called the platform some times more.
func (f *testFleet) callsFail(count int64) {
	f.t.Helper()
	before := f.cost().calls
	require.Eventually(f.t, func() bool { return f.cost().calls >= before+count }, patience, 10*time.Millisecond)
}

// cost is what the fleet has spent so far.
type cost struct {
	calls, pushes, digests, frames, bytes int64
}

func (f *testFleet) cost() cost {
	var c cost
	for _, n := range f.nodes {
		c.calls += n.Stats.PlatformCalls.Load()
		c.pushes += n.Stats.Pushes.Load()
		c.digests += n.Stats.Syncs.Load()
		c.frames += n.Pool.Traffic.Frames.Load()
		c.bytes += n.Pool.Traffic.Bytes.Load()
	}
	return c
}
