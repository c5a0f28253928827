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
	zoneCount   = 4
	waitTimeout = 60 * time.Second
)

// network connects the processes of a test, which can disconnect and freeze them.
type network struct {
	mu           sync.Mutex
	disconnected map[string]bool
	frozen       map[string]chan struct{}
	conns        map[string][]net.Conn
}

func newNetwork() *network {
	return &network{disconnected: map[string]bool{}, frozen: map[string]chan struct{}{}, conns: map[string][]net.Conn{}}
}

// dialFrom returns the dial function of one process.
func (n *network) dialFrom(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		refused := n.disconnected[from] || n.disconnected[address]
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
		return &freezableConn{Conn: conn, network: n, ends: [2]string{from, address}}, nil
	}
}

// disconnect closes a process's connections and rejects new ones until reconnect is called.
func (n *network) disconnect(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[address] = true
	for _, conn := range n.conns[address] {
		_ = conn.Close()
	}
	n.conns[address] = nil
}

func (n *network) reconnect(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.disconnected, address)
}

// freeze blocks all traffic from and to a process, while its connections stay open.
func (n *network) freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = make(chan struct{})
}

func (n *network) unfreeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.frozen[address])
	delete(n.frozen, address)
}

func (n *network) waitWhileFrozen(ends [2]string) {
	for _, end := range ends {
		n.mu.Lock()
		frozen := n.frozen[end]
		n.mu.Unlock()
		if frozen != nil {
			<-frozen
		}
	}
}

type freezableConn struct {
	net.Conn
	network *network
	ends    [2]string
}

func (c *freezableConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	c.network.waitWhileFrozen(c.ends)
	return count, err
}

func (c *freezableConn) Write(p []byte) (int, error) {
	c.network.waitWhileFrozen(c.ends)
	return c.Conn.Write(p)
}

// testFleet runs the controllers of several processes in the test's process, connected over loopback.
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
	store   *blockableStore
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
	f.store = &objectstore.Client{BaseURL: server.URL}
	f.write("row-0", "first")
	listeners := make([]net.Listener, count)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(tb, err)
		listeners[i] = listener
		f.register(f.instance(i, listener, 1))
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
	replica := replicate.NewReplica()
	replica.AddKind(rillreach.KindRow, func(rillreach.Object) {}, nil)
	replica.AddKind(rillreach.KindInstance, func(o rillreach.Object) { _ = members.Apply(o) }, nil)
	store := &blockableStore{ObjectStore: f.store}
	c := &Controller{
		Self: self, Store: store, Replica: replica, Members: members, Pool: pool, Log: logr.Discard(),
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
	return &node{Controller: c, store: store, address: self.Address, stop: func() {
		cancel()
		_ = server.Close()
		<-done
	}}
}

// blockableStore is one process's access to the platform, which a test can block.
type blockableStore struct {
	rillreach.ObjectStore
	blocked atomic.Bool
}

// List calls the store unless it is blocked.
func (s *blockableStore) List(ctx context.Context, kind rillreach.ObjectKind) (rillreach.ObjectPage, error) {
	if s.blocked.Load() {
		return rillreach.ObjectPage{}, net.ErrClosed
	}
	return s.ObjectStore.List(ctx, kind)
}

// Watch calls the store unless it is blocked.
func (s *blockableStore) Watch(ctx context.Context, kind rillreach.ObjectKind, after uint64, wait time.Duration) (rillreach.ObjectPage, error) {
	if s.blocked.Load() {
		return rillreach.ObjectPage{}, net.ErrClosed
	}
	return s.ObjectStore.Watch(ctx, kind, after, wait)
}

// restart replaces a process with a new incarnation at the same address.
func (f *testFleet) restart(i int) {
	f.t.Helper()
	f.nodes[i].stop()
	listener, err := net.Listen("tcp", f.nodes[i].address.String())
	require.NoError(f.t, err)
	f.nodes[i] = f.start(i, listener, 2)
}

func (f *testFleet) register(instance rillreach.Instance) {
	f.t.Helper()
	value, err := json.Marshal(instance)
	require.NoError(f.t, err)
	_, err = f.store.Put(context.Background(), rillreach.KindInstance, string(instance.ID), 0, value)
	require.NoError(f.t, err)
}

// write writes a row to the platform and returns its version.
func (f *testFleet) write(name, value string) uint64 {
	f.t.Helper()
	ctx := context.Background()
	var expected uint64
	if old, err := f.store.Get(ctx, rillreach.KindRow, name); err == nil {
		expected = old.Version
	}
	o, err := f.store.Put(ctx, rillreach.KindRow, name, expected, []byte(value))
	require.NoError(f.t, err)
	return o.Version
}

func (f *testFleet) countAtVersion(version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.Replica.Watermark(rillreach.KindRow).Version >= version {
			count++
		}
	}
	return count
}

// awaitVersion waits until count processes have reached a version of the rows.
func (f *testFleet) awaitVersion(version uint64, count int) time.Duration {
	f.t.Helper()
	start := time.Now()
	for f.countAtVersion(version) < count {
		if time.Since(start) > waitTimeout {
			require.FailNow(f.t, "change has not reached all processes", "%d of %d have version %d", f.countAtVersion(version), count, version)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// awaitSettled waits until every process knows all others and has received a change.
func (f *testFleet) awaitSettled() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, n := range f.nodes {
			if len(n.Members.All()) < len(f.nodes) {
				return false
			}
		}
		return true
	}, waitTimeout, 10*time.Millisecond)
	f.awaitVersion(f.write("row-0", "second"), len(f.nodes))
}

// awaitCalls waits until the processes have called the platform count more times.
func (f *testFleet) awaitCalls(count int64) {
	f.t.Helper()
	before := f.cost().calls
	require.Eventually(f.t, func() bool { return f.cost().calls >= before+count }, waitTimeout, 10*time.Millisecond)
}

// cost is the work of the fleet so far.
type cost struct {
	calls, pushes, syncs, frames, bytes int64
}

func (f *testFleet) cost() cost {
	var c cost
	for _, n := range f.nodes {
		c.calls += n.Stats.PlatformCalls.Load()
		c.pushes += n.Stats.Pushes.Load()
		c.syncs += n.Stats.Syncs.Load()
		c.frames += n.Pool.Traffic.Frames.Load()
		c.bytes += n.Pool.Traffic.Bytes.Load()
	}
	return c
}
