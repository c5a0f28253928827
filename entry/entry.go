package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
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
	// DefaultMaxBody bounds a request's body, in bytes.
	DefaultMaxBody = 8 << 20

	maxHeader     = 64 << 10
	headerTimeout = 10 * time.Second
	bodyTimeout   = 60 * time.Second
	idleTimeout   = 2 * time.Minute
)

// errEnding is the final answer to what runs when the entry's grace is over.
var errEnding = rillreach.MayHaveRun(rillreach.ReasonLeaving, "entry ends before the answer is whole")

// Entry is one entry; exported fields are set before Run.
type Entry struct {
	// Node is the common part of the process.
	Node *node.Node
	// Listener takes the connections of callers.
	Listener net.Listener
	// Secret is the fleet's.
	Secret []byte
	// MaxBody bounds a request's body; zero means DefaultMaxBody.
	MaxBody int64
	// AckTimeout is how long an agent may take to say that it has a request; zero means a default.
	AckTimeout time.Duration
	// Grace is how long a planned stop waits for running requests; zero means node.DefaultGrace.
	Grace time.Duration

	chain    *filter.Chain
	mint     *filter.Chain
	dispatch *dispatch.Filter
	lease    *lease.Controller
	running  node.Inflight
	server   *http.Server
	listener *node.Listener
}

// Run serves until the context ends, then leaves in order: it says so, takes nothing new and finishes what runs.
func (e *Entry) Run(ctx context.Context) error {
	e.setDefaults()
	e.Node.Start()
	e.makeChains()
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	stop := context.AfterFunc(ctx, func() {
		e.leave(life)
		end()
	})
	defer stop()
	return e.Node.Run(life, e.lease, &callerServer{entry: e})
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
		Handler:           e.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

func (e *Entry) makeChains() {
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
	understand := []rillreach.Filter{
		authenticate.Filter{Table: e.Node.Table},
		identify.Filter{Clock: e.Node.Clock},
		resolve.Filter{Table: e.Node.Table, KeyDeriver: keep.NewKeyDeriver(e.Secret)},
	}
	observe := func(step string, took time.Duration, _ error) { e.Node.Metrics.RecordStep(step, took) }
	e.chain = &filter.Chain{Log: e.Node.Log, Observe: observe, Filters: append(understand[:len(understand):len(understand)], admit.Filter{Limiter: e.lease}, e.dispatch)}
	e.mint = &filter.Chain{Log: e.Node.Log, Filters: append(understand[:len(understand):len(understand)], ticketStep{e.dispatch})}
}

// leave ends the entry's work within the grace. Until the process goes it takes the connections that still come, refuses what
// is new on them and has them closed; what cannot be answered in time gets its final answer instead.
func (e *Entry) leave(ctx context.Context) {
	e.Node.Log.Info("leaving", "instance", e.Node.Self.ID)
	end := time.Now().Add(e.Grace - node.FinalAnswerTime(e.Grace))
	e.Node.Leave(ctx)
	pause.For(ctx, min(node.ReadinessLag, time.Until(end)))
	if !e.running.Wait(time.Until(end)) {
		e.Node.Log.Info("grace is over, requests are given up", "decision", "give-up", "requests", e.running.Count())
		e.running.GiveUp(errEnding)
	}
	e.Node.Removed(ctx)
	e.close(ctx)
}

// close takes no more connections, and ends once the last answers, refusals too, have gone out.
func (e *Entry) close(ctx context.Context) {
	if err := e.listener.StopAccepting(); err != nil {
		e.Node.Log.Error(err, "listener for callers is not closed")
	}
	pause.For(ctx, node.LastRequestTime)
	if !e.running.Wait(node.FinalAnswerTime(e.Grace)) {
		e.Node.Log.Info("connections of callers are cut", "requests", e.running.Count())
	}
	if err := e.server.Close(); err != nil {
		e.Node.Log.Error(err, "connections of callers are not closed")
	}
}

// callerServer accepts the connections of callers.
type callerServer struct{ entry *Entry }

// Name is the controller's name.
func (s *callerServer) Name() string { return "callers" }

// Run accepts connections until the context ends.
func (s *callerServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.entry.server.Close() })
	defer stop()
	if err := s.entry.server.Serve(s.entry.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}
