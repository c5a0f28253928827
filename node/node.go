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
	// DefaultLead is how long after its recording an epoch of key owners comes into force.
	DefaultLead = 30 * time.Second
	// DefaultGrace is how long a planned stop waits for running requests.
	DefaultGrace = 5 * time.Minute

	noticeTimeout = time.Second
	// settleMost bounds the wait for peers to read the last answers: a peer that is well does so within one way there and
	// back, and one that is not must not hold the process up.
	settleMost    = time.Second
	headerTimeout = 10 * time.Second
)

// Node is the common part of a process.
type Node struct {
	// Self is this process.
	Self rillreach.Instance
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// TLS authenticates peers both ways; nil means plain TCP.
	TLS *tls.Config
	// Listener takes the connections of peers.
	Listener net.Listener
	// Clock tells the time.
	Clock rillreach.Clock
	// Log takes decisions and what goes wrong.
	Log logr.Logger
	// Lead is how long after its recording an epoch of key owners comes into force; the same in the whole fleet.
	Lead time.Duration
	// DigestEvery and WatchWait are the rhythm of the spreading of objects; zero means its defaults.
	DigestEvery time.Duration
	WatchWait   time.Duration

	// Metrics are the process's instruments; nil means none.
	Metrics *telemetry.Metrics
	// RowChanged is told of each row that is applied; it may be nil.
	RowChanged func(before, after rillreach.Row)

	// Copy, Table, Members and Owners are what the process knows; Start makes them.
	Copy    *replicate.Replica
	Table   *table.Table
	Members *membership.Members
	Owners  *once.OwnerView
	// Pool and Mux connect it to its peers.
	Pool *peer.Pool
	Mux  *peer.Mux
	// Spread and Register are its controllers.
	Spread   *spread.Controller
	Register *register.Controller

	leaving atomic.Bool
}

// Start makes the node's parts; handlers may then be set on Mux before Run.
func (n *Node) Start() {
	if n.Lead == 0 {
		n.Lead = DefaultLead
	}
	n.Table = &table.Table{}
	n.Members = membership.New()
	n.Owners = &once.OwnerView{LeadTime: n.Lead}
	n.Mux = &peer.Mux{Log: n.Log}
	n.Pool = &peer.Pool{Self: n.Self, Mux: n.Mux, TLS: n.TLS, Log: n.Log, Met: n.Members.Upsert}
	n.followAll()
	n.Spread = &spread.Controller{
		Self: n.Self, Store: n.Store, Copy: n.Copy, Members: n.Members, Pool: n.Pool, Clock: n.Clock, Log: n.Log,
		DigestEvery: n.DigestEvery, WatchWait: n.WatchWait,
	}
	n.Spread.Register(n.Mux)
	n.Register = &register.Controller{Self: n.Self, Store: n.Store, Log: n.Log, Superseded: n.markLeaving}
}

// Run runs the node's controllers, and the given ones, until the context ends.
func (n *Node) Run(ctx context.Context, more ...rillreach.Controller) error {
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
	}, more...)
	return controller.Run(ctx, n.Log, controllers...)
}

// addGauges has the metrics show what the node knows and what its spreading has cost.
func (n *Node) addGauges() error {
	for name, gauge := range map[string]struct {
		description string
		read        func() float64
	}{
		"rillreach.members":        {"instances that are known", func() float64 { return float64(len(n.Members.All())) }},
		"rillreach.rows.version":   {"version up to which the copy of the rows goes", func() float64 { return float64(n.Copy.Watermark(rillreach.KindRow).Version) }},
		"rillreach.platform.calls": {"calls of the platform for the copies of objects", func() float64 { return float64(n.Spread.Stats.PlatformCalls.Load()) }},
		"rillreach.pushes":         {"changes handed on to peers", func() float64 { return float64(n.Spread.Stats.Pushes.Load()) }},
		"rillreach.digests":        {"comparisons of marks with peers", func() float64 { return float64(n.Spread.Stats.Digests.Load()) }},
		"rillreach.peer.bytes":     {"bytes sent to peers", func() float64 { return float64(n.Pool.Traffic.Bytes.Load()) }},
		"rillreach.peer.conns":     {"connections to peers", func() float64 { return float64(len(n.Pool.Conns())) }},
	} {
		if err := n.Metrics.AddGauge(name, gauge.description, gauge.read); err != nil {
			return err
		}
	}
	return nil
}

// Ready reports whether the node knows the table.
func (n *Node) Ready() bool {
	return n.Copy.Watermark(rillreach.KindRow).Version > 0 && !n.Leaving()
}

// Leaving reports whether the node takes no new work.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Leave says to the platform and to every connected peer that this process leaves.
func (n *Node) Leave(ctx context.Context) {
	n.markLeaving()
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := n.Register.Leave(ctx); err != nil {
			n.Log.Info("platform not told of leaving", "cause", err.Error())
		}
	})
	leaving := n.Self
	leaving.Leaving = true
	for _, c := range n.Pool.Conns() {
		wg.Go(func() { n.notify(ctx, c, leaving) })
	}
	wg.Wait()
}

// Settle waits, at the end of a planned stop, until peers have read the answers that they were given. One that is not well
// must not hold the process up for longer than the last words of the grace take.
func (n *Node) Settle(ctx context.Context, grace time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, FinalAnswerTime(grace))
	defer cancel()
	n.Pool.Settle(ctx)
}

// Removed takes the process off the platform's list, at the end of a planned stop.
func (n *Node) Removed(ctx context.Context) {
	if err := n.Register.Remove(ctx); err != nil {
		n.Log.Info("record not removed", "cause", err.Error())
	}
}

func (n *Node) markLeaving() {
	n.leaving.Store(true)
	n.Members.MarkLeaving(n.Self.ID, n.Self.Incarnation)
}

func (n *Node) notify(ctx context.Context, c *peer.Conn, leaving rillreach.Instance) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if _, err := peer.Ask[fleet.Notice, fleet.Noted](ctx, c, peer.MethodNotice, fleet.Notice{Instance: leaving}); err != nil {
		n.Log.V(1).Info("peer not told of leaving", "peer", c.Peer.ID, "cause", err.Error())
	}
}

func (n *Node) followAll() {
	n.Copy = replicate.NewReplica()
	n.Copy.AddKind(rillreach.KindRow, n.applyRow, nil)
	n.Copy.AddKind(rillreach.KindInstance, n.applyInstance, nil)
	n.Copy.AddKind(rillreach.KindOwners, n.applyOwners, func(m replicate.Watermark) { n.Owners.Confirm(m.Time) })
}

func (n *Node) applyRow(o rillreach.Object) {
	applied := n.Table.Apply(o)
	if applied.Verdict == table.VerdictRejected {
		n.Log.Error(applied.Err, "row not applied, the last good one stays in force", "row", o.Name, "version", o.Version)
		return
	}
	if n.RowChanged != nil && applied.Verdict == table.VerdictApplied {
		n.RowChanged(applied.Before, applied.After)
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
		n.Log.Info("epoch of owners not applied", "epoch", o.Name, "cause", err.Error())
	}
}

// peerServer accepts the connections of peers.
type peerServer struct{ node *Node }

// Name is the controller's name.
func (s *peerServer) Name() string { return "peers" }

// Run accepts connections until the context ends.
func (s *peerServer) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, s.node.Pool)
	listener := s.node.Listener
	if s.node.TLS != nil {
		listener = tls.NewListener(listener, s.node.TLS)
	}
	return ServeHTTP(ctx, listener, mux)
}

// ServeHTTP serves a handler on a listener until the context ends, and then closes its connections.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", listener.Addr())
	}
	return nil
}
