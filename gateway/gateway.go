package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/retry"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	// watchMargin is kept from the time after which an undisturbed instance has to know everything, for a watch that hung
	// since before the end of the store's trouble: the client gives it up 0.7 s after its wait, and asks again.
	watchMargin = 1200 * time.Millisecond
	// leastWatch and mostWatch bound how long one watch of the store waits.
	leastWatch = time.Second
	mostWatch  = 3 * time.Second
	// weightsWait is the same for the names of weights, of which the agents tell, too.
	weightsWait = 20 * time.Second
	// gatherShare is the part of the bound on leaving runners that passes between watches of the runners, whose records
	// change in quick succession; an entry that meets a new run at an address asks at once.
	gatherShare = 3
	mostGather  = time.Second
	// defaultIdle serves until the configuration is known.
	defaultIdle = 15 * time.Second
	// mostHeaderTimeout and mostHeader (in bytes) bound a request's head before the configuration's own limits are asked:
	// the server's are fixed when it starts, and must not be under what a configuration may allow.
	mostHeaderTimeout = 30 * time.Second
	mostHeader        = 256 << 10
	// idleSlack is how much longer than promised a connection is kept.
	idleSlack = time.Second
	// lameFor is how long after a stop's signal new connections are still taken: the balancer asks every second and takes an
	// entry out after two misses.
	lameFor = 3200 * time.Millisecond
	// callerTimeout is how long bytes to a caller may stay without acknowledgement.
	callerTimeout = 5 * time.Second
	sweepEvery    = time.Second
	// noTimeout switches a time-out of package http off; zero would stand for that of the head.
	noTimeout = -1
)

// EndMargin is kept from the grace for the process's own end: its log alone may take 0.2 s, and the smallest entries have a
// seventh of a core.
const EndMargin = 900 * time.Millisecond

// Gateway is one entry; exported fields are set before Run.
type Gateway struct {
	// Settings are the platform's.
	Settings *deployment.Settings
	// Configs, Runners and Weights are what the platform's store holds.
	Configs rillreach.Source[*deployment.Config]
	Runners rillreach.Source[*deployment.Runner]
	Weights rillreach.Source[deployment.NamedWeights]
	// Callers and Readiness are the listeners for callers and for the balancer's question.
	Callers   net.Listener
	Readiness net.Listener
	// Log takes decisions; Metrics count them.
	Log     logr.Logger
	Metrics *telemetry.Metrics

	state   localstate.State
	stores  storeBook
	reads   sizeMean
	pool    forward.Pool
	budgets retry.Shares
	running node.Inflight
	leaving atomic.Bool
	seq     atomic.Uint64
	// restarted is told when a runner turns out to be another run than the list says.
	restarted chan struct{}
	server    *http.Server
}

// Run serves until the context ends, then stops in order within the grace.
func (g *Gateway) Run(ctx context.Context) error {
	g.state.Log = g.Log
	g.restarted = make(chan struct{}, 1)
	g.budgets = retry.Shares{Ratio: g.Settings.Bounds.RetryRatio, Window: g.Settings.Bounds.RetryWindow, Slack: g.Settings.Bounds.RetrySlack}
	g.server = g.newServer()
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	self, err := fleet.Self(rillreach.RoleEntry, g.Settings)
	if err != nil {
		return err
	}
	if err := g.Metrics.AddGauges(g.gauges()); err != nil {
		return err
	}
	peers := &peer.Pool{Self: self, Mux: &peer.Mux{Log: g.Log}, Log: g.Log}
	peers.Start(life)
	stop := context.AfterFunc(ctx, func() {
		g.stop(time.Now())
		end()
	})
	defer stop()
	return controller.Run(life, g.Log,
		g.state.ConfigFollower(g.Configs, g.watchWait()),
		g.state.RunnersFollower(g.Runners, g.watchWait(), g.gatherRunners(), g.restarted),
		g.state.WeightsFollower(g.Weights, weightsWait),
		g.state.Expirer(),
		&serverController{name: "callers", server: g.server, listener: g.Callers},
		&serverController{name: "readiness", server: &http.Server{Handler: http.HandlerFunc(g.ready), ReadHeaderTimeout: mostHeaderTimeout}, listener: g.Readiness},
		&sweeper{pool: &g.pool},
		peers,
		&agents{gateway: g, pool: peers},
	)
}

// watchWait is how long one watch of what is bound in time waits.
func (g *Gateway) watchWait() time.Duration {
	return min(max(g.Settings.Bounds.Contact-watchMargin, leastWatch), mostWatch)
}

// gatherRunners is the pause between watches of the runners.
func (g *Gateway) gatherRunners() time.Duration {
	return min(g.Settings.Bounds.RunnerStop/gatherShare, mostGather)
}

func (g *Gateway) newServer() *http.Server {
	rests := &restKeeper{Allowed: g.restAllowed}
	return &http.Server{
		Handler:           http.HandlerFunc(g.handle),
		ReadHeaderTimeout: mostHeaderTimeout,
		IdleTimeout:       noTimeout,
		MaxHeaderBytes:    mostHeader,
		ConnState:         rests.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if err := forward.SetUserTimeout(c, callerTimeout); err != nil {
				g.Log.Error(err, "caller's connection has no user time-out")
			}
			return ctx
		},
	}
}

// ready answers the balancer: 200 while the entry knows enough to serve and is not about to end.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.leaving.Load() || !g.state.Complete() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop ends the entry's work without cutting any of it: it says that it is not ready, goes on taking what still comes until
// the balancer has noticed, and waits for what runs.
func (g *Gateway) stop(signalled time.Time) {
	g.leaving.Store(true)
	g.Log.Info("stopping", "decision", "stop", "running", g.running.Count())
	time.Sleep(lameFor)
	ctx, cancel := context.WithDeadline(context.Background(), signalled.Add(g.Settings.Bounds.Grace-EndMargin))
	defer cancel()
	if err := g.server.Shutdown(ctx); err != nil {
		g.Log.Error(err, "grace is over, requests are cut", "running", g.running.Count())
	}
	g.Log.Info("stopped", "decision", "stop")
}

// serverController runs one HTTP server.
type serverController struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Name is the controller's name.
func (s *serverController) Name() string { return s.name }

// Run accepts connections until the context ends.
func (s *serverController) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", s.name)
	}
	<-ctx.Done()
	return nil
}

// sweeper closes connections to runners that have rested too long.
type sweeper struct{ pool *forward.Pool }

// Name is the controller's name.
func (s *sweeper) Name() string { return "sweep-connections" }

// Run sweeps until the context ends.
func (s *sweeper) Run(ctx context.Context) error {
	pause.Every(ctx, sweepEvery, func(context.Context) { s.pool.Sweep() })
	return nil
}
