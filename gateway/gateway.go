package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/singleflight"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/drain"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/notify"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/poison"
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
	// trustShare is the part of that bound for which the word of relays holds, at most mostTrust.
	trustShare = 2
	mostTrust  = 2 * time.Second
	// defaultIdle serves until the configuration is known.
	defaultIdle = 15 * time.Second
	// mostHeaderTimeout and mostHeader (in bytes) bound a request's head before the configuration's own limits are asked:
	// the server's are fixed when it starts, and must not be under what a configuration may allow.
	mostHeaderTimeout = 30 * time.Second
	mostHeader        = 256 << 10
	// idleSlack is how much longer than promised a connection is kept.
	idleSlack = time.Second
	// callerTimeout is how long bytes to a caller may stay without acknowledgement.
	callerTimeout = 5 * time.Second
	sweepEvery    = time.Second
	// trialSpread is the time over which entries spread their trials of a request that runners have ended under.
	trialSpread = 2 * time.Second
	// noTimeout switches a time-out of package http off; zero would stand for that of the head.
	noTimeout = -1
)

// Gateway is one entry; exported fields are set before Run.
type Gateway struct {
	// Settings are the platform's.
	Settings *deployment.Settings
	// Configs, Runners and Weights are what the platform's store holds.
	Configs rillreach.Source[*deployment.Config]
	Runners rillreach.Source[*deployment.Runner]
	Weights rillreach.Source[deployment.DesiredWeights]
	// Evacuations are the zones whose runners are to get nothing; they are followed where the settings bound how soon they are in force.
	Evacuations rillreach.Source[rillreach.ZoneID]
	// Callers and Readiness are the listeners for callers and for the balancer's question.
	Callers   net.Listener
	Readiness net.Listener
	// Clock counts the time for which the machine was suspended; nil means the system's.
	Clock rillreach.Clock
	// Log takes decisions; Metrics count them.
	Log     logr.Logger
	Metrics *telemetry.Metrics

	state  localstate.State
	relays notify.Tracker
	local  localServices
	stores storeBook
	reads  sizeMean
	sizes  sizeMean
	firsts firstTokens
	line   *line
	pool   forward.Pool
	probes singleflight.Group
	// suspects are the crashes that this entry knows of, observed those that it has seen itself.
	suspects poison.Tracker
	observed poison.Tracker
	outages  poison.OutageDetector
	// crashed is told when the entry itself has seen a crash, or that one is no longer held against a request.
	crashed broadcast.Signal
	budgets retry.ServiceBudgets
	// limited are the runners that name a limit.
	limited limitedRunners
	running node.Inflight
	seq     atomic.Uint64
	// began is when Run was called.
	began time.Time
	// leaving says that plan holds what was planned for the stop; over ends when requests without an answer get their last one.
	leaving atomic.Bool
	plan    drain.Shutdown
	over    context.Context
	// usual are the times to the whole answer, firstWaits those from a send to the first token beyond the time to read the prompt's own part.
	usual      routeTimes
	firstWaits routeTimes
	// restarted is told when a runner turns out to be another run than the list says.
	restarted chan struct{}
	server    *http.Server
	idles     *idleKeeper
	listener  *callerListener
}

// Run serves until the context ends, then stops in order within the grace.
func (g *Gateway) Run(ctx context.Context) error {
	g.began = time.Now()
	g.state.Log, g.state.Metrics, g.state.RunnerRestarted = g.Log, g.Metrics, g.runnerRestarted
	g.state.SuspendedTime = node.Suspended
	g.state.Relays, g.state.NoticeTTL = &g.relays, g.trustRelays()
	g.restarted = make(chan struct{}, 1)
	g.suspects.TrialOffset = time.Duration(hash.String(g.Settings.Name) % uint64(trialSpread))
	g.line = newLine(g)
	if g.Clock == nil {
		g.Clock = node.SystemClock()
	}
	g.budgets = retry.ServiceBudgets{Ratio: g.Settings.Bounds.RetryRatio, Window: g.Settings.Bounds.RetryWindow, Slack: g.Settings.Bounds.RetrySlack}
	g.server = g.newServer()
	g.listener = &callerListener{Listener: node.Listener{Listener: g.Callers}, idles: g.idles, log: g.Log}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	over, finish := context.WithCancel(life)
	defer finish()
	g.over = over
	self, err := fleet.NewInstance(rillreach.RoleEntry, g.Settings)
	if err != nil {
		return err
	}
	if err := g.Metrics.AddGauges(g.gauges()); err != nil {
		return err
	}
	peers := &peer.Pool{Self: self, Mux: &peer.Mux{Log: g.Log}, Log: g.Log}
	peers.Start(life)
	stop := context.AfterFunc(ctx, func() {
		g.stop(time.Now(), finish)
		end()
	})
	defer stop()
	followed := &agents{gateway: g, pool: peers}
	controllers := []rillreach.Controller{
		g.state.ConfigFollower(g.Configs, g.watchWait()),
		g.state.RunnersFollower(g.Runners, g.watchWait(), g.gatherRunners(), g.restarted),
		g.state.WeightsFollower(g.Weights, weightsWait),
		g.state.Expirer(),
		&serverController{name: "callers", server: g.server, listener: g.listener},
		&serverController{name: "readiness", server: &http.Server{Handler: http.HandlerFunc(g.ready), ReadHeaderTimeout: mostHeaderTimeout}, listener: g.Readiness},
		&sweeper{pool: &g.pool},
		g.line,
		peers,
		followed,
		&crashReporter{gateway: g, pool: peers, agents: followed},
		&limitReporter{gateway: g, pool: peers, agents: followed},
	}
	if g.Settings.Bounds.ZoneEvacuation > 0 {
		controllers = append(controllers, g.state.EvacuationsFollower(g.Evacuations, g.evacuationsWait()))
	}
	return controller.Run(life, g.Log, controllers...)
}

// evacuationsWait is how long one watch of the evacuated zones waits: one that hangs is noticed within their bound.
func (g *Gateway) evacuationsWait() time.Duration {
	return max(g.Settings.Bounds.ZoneEvacuation-watchMargin, leastWatch)
}

// watchWait is how long one watch of what is bound in time waits.
func (g *Gateway) watchWait() time.Duration {
	return min(max(g.Settings.Bounds.Recovery-watchMargin, leastWatch), mostWatch)
}

// trustRelays is for how long the word of a relay holds: half of the bound on leaving runners is left for an entry's own watch.
func (g *Gateway) trustRelays() time.Duration {
	return min(g.Settings.Bounds.RunnerDrainDelay/trustShare, mostTrust)
}

// gatherRunners is the pause between watches of the runners.
func (g *Gateway) gatherRunners() time.Duration {
	return min(g.Settings.Bounds.RunnerDrainDelay/gatherShare, mostGather)
}

func (g *Gateway) newServer() *http.Server {
	g.idles = &idleKeeper{Allowed: g.idleAllowed, AllowedHead: g.headAllowed}
	return &http.Server{
		Handler:           http.HandlerFunc(g.handle),
		ReadHeaderTimeout: mostHeaderTimeout,
		IdleTimeout:       noTimeout,
		MaxHeaderBytes:    mostHeader,
		ConnState:         g.idles.connState,
		ConnContext:       withOpened,
		ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(g.Log), slog.LevelError),
	}
}

// ready answers the balancer: 200 while the entry knows enough to serve and is not about to end.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.leaving.Load() || !g.state.HasSynced() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
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
