package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller"
	"github.com/rillreach/rillreach/controller/probe"
	"github.com/rillreach/rillreach/controller/register"
	"github.com/rillreach/rillreach/controller/spread"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/replicate"
	"github.com/rillreach/rillreach/table"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	// DefaultLeadTime is the default minimum time between the recording of an epoch of key owners and its start.
	DefaultLeadTime = 30 * time.Second
	// DefaultGrace is the default time that a planned stop waits for running requests to finish.
	DefaultGrace = 5 * time.Minute

	leaveNoticeTimeout = time.Second
	// deliveryTimeout limits the wait for peers to read the last responses. A healthy peer does so within a round
	// trip, and an unhealthy one must not delay the exit of the process.
	deliveryTimeout = time.Second
	headerTimeout   = 10 * time.Second
)

// Node is the common part of a process.
type Node struct {
	// Self is this process.
	Self rillreach.Instance
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// TLS is the configuration for mutual authentication of peers. Nil means plain TCP.
	TLS *tls.Config
	// Listener accepts the connections of peers.
	Listener net.Listener
	// Clock returns the current time.
	Clock rillreach.Clock
	// Log receives decisions and errors.
	Log logr.Logger
	// LeadTime is the minimum time between the recording of an epoch of key owners and its start. It must be the same
	// in the whole fleet. Zero means DefaultLeadTime.
	LeadTime time.Duration
	// DigestInterval is the interval at which watermarks are compared with a peer, WatchTimeout how long one watch
	// waits for a change. Zero means the defaults of package spread.
	DigestInterval time.Duration
	WatchTimeout   time.Duration

	// Metrics records the process's metrics. Nil means none.
	Metrics *telemetry.Metrics
	// OnRowChange is called for each row that is applied. It may be nil.
	OnRowChange func(before, after rillreach.Row)

	// Replica, Table, Members and Owners are the process's view of the fleet. Init creates them.
	Replica *replicate.Replica
	Table   *table.Table
	Members *membership.Members
	Owners  *once.OwnerView
	// Pool and Mux handle the connections to peers and the calls from them.
	Pool *peer.Pool
	Mux  *peer.Mux
	// Spread replicates objects between processes, Register maintains the instance's record on the platform.
	Spread   *spread.Controller
	Register *register.Controller

	leaving atomic.Bool
}

// Init creates the node's parts. Handlers may then be registered on Mux before Run.
func (n *Node) Init() {
	if n.LeadTime == 0 {
		n.LeadTime = DefaultLeadTime
	}
	n.Table = &table.Table{}
	n.Members = membership.New()
	n.Owners = &once.OwnerView{LeadTime: n.LeadTime}
	n.Mux = &peer.Mux{Log: n.Log}
	n.Pool = &peer.Pool{Self: n.Self, Mux: n.Mux, TLS: n.TLS, Log: n.Log, OnConnect: n.Members.Upsert}
	n.initReplica()
	n.Spread = &spread.Controller{
		Self: n.Self, Store: n.Store, Replica: n.Replica, Members: n.Members, Pool: n.Pool, Clock: n.Clock, Log: n.Log,
		SyncInterval: n.DigestInterval, WatchTimeout: n.WatchTimeout,
	}
	n.Spread.Register(n.Mux)
	n.Register = &register.Controller{Self: n.Self, Store: n.Store, Log: n.Log, OnSuperseded: n.markLeaving}
}

// Run runs the node's controllers and the given ones until the context ends.
func (n *Node) Run(ctx context.Context, extra ...rillreach.Controller) error {
	n.Pool.Start(ctx)
	if err := n.addGauges(); err != nil {
		return err
	}
	controllers := append([]rillreach.Controller{
		n.Pool,
		n.Spread,
		n.Register,
		&probe.Controller{Members: n.Members, Pool: n.Pool, Clock: n.Clock, Log: n.Log},
		&peerServer{node: n},
	}, extra...)
	return controller.Run(ctx, n.Log, controllers...)
}

// addGauges registers the gauges for the state of the node and for its replication traffic.
func (n *Node) addGauges() error {
	for name, gauge := range map[string]struct {
		description string
		read        func() float64
	}{
		"rillreach.members":        {"instances that are known", func() float64 { return float64(len(n.Members.All())) }},
		"rillreach.rows.version":   {"version up to which the copy of the rows goes", func() float64 { return float64(n.Replica.Watermark(rillreach.KindRow).Version) }},
		"rillreach.platform.calls": {"calls of the platform for the copies of objects", func() float64 { return float64(n.Spread.Stats.PlatformCalls.Load()) }},
		"rillreach.pushes":         {"changes handed on to peers", func() float64 { return float64(n.Spread.Stats.Pushes.Load()) }},
		"rillreach.digests":        {"comparisons of marks with peers", func() float64 { return float64(n.Spread.Stats.Syncs.Load()) }},
		"rillreach.peer.bytes":     {"bytes sent to peers", func() float64 { return float64(n.Pool.Traffic.Bytes.Load()) }},
		"rillreach.peer.conns":     {"connections to peers", func() float64 { return float64(len(n.Pool.Conns())) }},
	} {
		if err := n.Metrics.AddGauge(name, gauge.description, gauge.read); err != nil {
			return err
		}
	}
	return nil
}

// Ready reports whether the node has received the table and is not leaving.
func (n *Node) Ready() bool {
	return n.Replica.Watermark(rillreach.KindRow).Version > 0 && !n.Leaving()
}

// Leaving reports whether the node accepts no new work.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// AnnounceLeaving tells the platform and all connected peers that this process is leaving.
func (n *Node) AnnounceLeaving(ctx context.Context) {
	n.markLeaving()
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := n.Register.MarkLeaving(ctx); err != nil {
			n.Log.Info("failed to tell the platform that the instance is leaving", "cause", err.Error())
		}
	})
	leaving := n.Self
	leaving.Leaving = true
	for _, c := range n.Pool.Conns() {
		wg.Go(func() { n.sendLeaveNotice(ctx, c, leaving) })
	}
	wg.Wait()
}

// AwaitDelivery waits, at the end of a planned stop, until peers have read their responses. An unhealthy peer must not
// delay the exit by more than FinalResponseWindow.
func (n *Node) AwaitDelivery(ctx context.Context, grace time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, FinalResponseWindow(grace))
	defer cancel()
	n.Pool.Drain(ctx)
}

// Deregister deletes the instance's record from the platform at the end of a planned stop.
func (n *Node) Deregister(ctx context.Context) {
	if err := n.Register.Remove(ctx); err != nil {
		n.Log.Info("failed to delete the record of the instance", "cause", err.Error())
	}
}

func (n *Node) markLeaving() {
	n.leaving.Store(true)
	n.Members.MarkLeaving(n.Self.ID, n.Self.Incarnation)
}

func (n *Node) sendLeaveNotice(ctx context.Context, c *peer.Conn, leaving rillreach.Instance) {
	ctx, cancel := context.WithTimeout(ctx, leaveNoticeTimeout)
	defer cancel()
	if _, err := peer.Invoke[fleet.AnnounceRequest, fleet.AnnounceResponse](ctx, c, peer.MethodAnnounce, fleet.AnnounceRequest{Instance: leaving}); err != nil {
		n.Log.V(1).Info("failed to tell a peer that the instance is leaving", "peer", c.Peer.ID, "cause", err.Error())
	}
}

func (n *Node) initReplica() {
	n.Replica = replicate.NewReplica()
	n.Replica.AddKind(rillreach.KindRow, n.applyRow, nil)
	n.Replica.AddKind(rillreach.KindInstance, n.applyInstance, nil)
	n.Replica.AddKind(rillreach.KindOwners, n.applyOwners, func(m replicate.Watermark) { n.Owners.Confirm(m.Time) })
}

func (n *Node) applyRow(o rillreach.Object) {
	applied := n.Table.Apply(o)
	if applied.Verdict == table.VerdictRejected {
		n.Log.Error(applied.Err, "row not applied, keeping the last valid one", "row", o.Name, "version", o.Version)
		return
	}
	if n.OnRowChange != nil && applied.Verdict == table.VerdictApplied {
		n.OnRowChange(applied.Before, applied.After)
	}
	n.Log.V(1).Info("row", "decision", applied.Verdict, "row", o.Name, "version", o.Version)
}

func (n *Node) applyInstance(o rillreach.Object) {
	if err := n.Members.Apply(o); err != nil {
		n.Log.Error(err, "instance not applied", "instance", o.Name, "version", o.Version)
	}
}

func (n *Node) applyOwners(o rillreach.Object) {
	if err := n.Owners.Apply(o); err != nil {
		n.Log.Info("epoch of key owners not applied", "epoch", o.Name, "cause", err.Error())
	}
}

// peerServer serves the connections of peers.
type peerServer struct{ node *Node }

// Name returns the controller's name.
func (s *peerServer) Name() string { return "peers" }

// Run serves connections until the context ends.
func (s *peerServer) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, s.node.Pool)
	listener := s.node.Listener
	if s.node.TLS != nil {
		listener = tls.NewListener(listener, s.node.TLS)
	}
	return ServeHTTP(ctx, listener, mux)
}

// ServeHTTP serves HTTP on a listener until the context ends, and then closes all connections.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", listener.Addr())
	}
	return nil
}
