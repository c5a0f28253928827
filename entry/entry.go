package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/callerconn"
	"github.com/rillreach/rillreach/controller/lease"
	"github.com/rillreach/rillreach/filter"
	"github.com/rillreach/rillreach/filter/admit"
	"github.com/rillreach/rillreach/filter/authenticate"
	"github.com/rillreach/rillreach/filter/dispatch"
	"github.com/rillreach/rillreach/filter/identify"
	"github.com/rillreach/rillreach/filter/resolve"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/retry"
)

const (
	// DefaultMaxBody is the default maximum size of a request body, in bytes.
	DefaultMaxBody = 8 << 20

	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	bodyTimeout    = 60 * time.Second
	idleTimeout    = 2 * time.Minute
)

// errGraceExpired is the final refusal of requests that are still running when the grace period expires.
var errGraceExpired = rillreach.MayHaveRun(rillreach.ReasonLeaving, "entry ends before the answer is whole")

// Entry accepts requests from callers. Exported fields must be set before Run.
type Entry struct {
	// Node provides what processes of all roles have in common.
	Node *node.Node
	// Listener accepts the connections of callers.
	Listener net.Listener
	// Secret is shared by the whole fleet.
	Secret []byte
	// MaxBody is the maximum size of a request body, in bytes. Zero means DefaultMaxBody.
	MaxBody int64
	// AckTimeout is the time within which an agent must acknowledge a request. Zero means dispatch.DefaultAckTimeout.
	AckTimeout time.Duration
	// Grace is how long a planned stop waits for running requests to finish. Zero means node.DefaultGrace.
	Grace time.Duration

	chain       *filter.Chain
	ticketChain *filter.Chain
	dispatch    *dispatch.Filter
	lease       *lease.Controller
	running     node.Inflight
	server      *http.Server
	listener    *node.Listener
}

// Run serves requests until the context ends. It then announces that the entry is leaving, refuses new requests and
// finishes the running ones.
func (e *Entry) Run(ctx context.Context) error {
	e.setDefaults()
	e.Node.Init()
	e.initChains()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		e.shutdown(runCtx)
		cancel()
	})
	defer stop()
	return e.Node.Run(runCtx, e.lease, &callerServer{entry: e})
}

func (e *Entry) setDefaults() {
	if e.MaxBody == 0 {
		e.MaxBody = DefaultMaxBody
	}
	if e.Grace == 0 {
		e.Grace = node.DefaultGrace
	}
	e.listener = &node.Listener{Listener: e.Listener}
	e.server = &http.Server{
		Handler:           e.resetUnlessComplete(e.routes()),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       callerconn.WithConn,
	}
}

func (e *Entry) initChains() {
	e.dispatch = &dispatch.Filter{
		Node:       e.Node,
		Budget:     &retry.Budget{},
		Signer:     once.NewSigner(e.Secret),
		AckTimeout: e.AckTimeout,
		Log:        e.Node.Log,
	}
	e.lease = &lease.Controller{
		Self: e.Node.Self, Members: e.Node.Members, Table: e.Node.Table, Pool: e.Node.Pool, Clock: e.Node.Clock, Log: e.Node.Log,
	}
	e.lease.Register(e.Node.Mux)
	common := []rillreach.Filter{
		authenticate.Filter{Table: e.Node.Table},
		identify.Filter{Clock: e.Node.Clock},
		resolve.Filter{Table: e.Node.Table, KeyDeriver: keep.NewKeyDeriver(e.Secret)},
	}
	observe := func(step string, duration time.Duration, _ error) { e.Node.Metrics.RecordStep(step, duration) }
	e.chain = &filter.Chain{Log: e.Node.Log, Observe: observe, Filters: append(common[:len(common):len(common)], admit.Filter{Limiter: e.lease}, e.dispatch)}
	e.ticketChain = &filter.Chain{Log: e.Node.Log, Filters: append(common[:len(common):len(common)], ticketFilter{e.dispatch})}
}

// shutdown stops the entry within the grace period. It accepts new connections almost until the process exits, but
// refuses the requests on them and closes the connections. Requests that do not finish in time get a final refusal.
func (e *Entry) shutdown(ctx context.Context) {
	e.Node.Log.Info("leaving", "instance", e.Node.Self.ID)
	deadline := time.Now().Add(e.Grace - node.FinalResponseWindow(e.Grace))
	e.Node.AnnounceLeaving(ctx)
	pause.For(ctx, min(node.ReadinessLag, time.Until(deadline)))
	if !e.running.Wait(time.Until(deadline)) {
		e.Node.Log.Info("grace period has expired, canceling requests", "decision", "give-up", "requests", e.running.Count())
		e.running.CancelAll(errGraceExpired)
	}
	e.Node.Deregister(ctx)
	e.close(ctx)
}

// close stops accepting connections, waits until the last responses and refusals are sent, and closes all
// connections.
func (e *Entry) close(ctx context.Context) {
	if err := e.listener.StopAccepting(); err != nil {
		e.Node.Log.Error(err, "failed to close the listener for callers")
	}
	pause.For(ctx, node.LateRequestWindow)
	if !e.running.Wait(node.FinalResponseWindow(e.Grace)) {
		e.Node.Log.Info("closing connections of callers that have requests in progress", "requests", e.running.Count())
	}
	if err := e.server.Close(); err != nil {
		e.Node.Log.Error(err, "failed to close connections of callers")
	}
}

// callerServer serves the connections of callers.
type callerServer struct{ entry *Entry }

// Name returns the controller's name.
func (s *callerServer) Name() string { return "callers" }

// Run serves connections until the context ends.
func (s *callerServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.entry.server.Close() })
	defer stop()
	if err := s.entry.server.Serve(s.entry.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}
