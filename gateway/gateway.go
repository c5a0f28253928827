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
	"github.com/rillreach/rillreach/callerconn"
	"github.com/rillreach/rillreach/controller"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/drain"
	"github.com/rillreach/rillreach/entrycount"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/internal/bounded"
	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/poison"
	"github.com/rillreach/rillreach/replica"
	"github.com/rillreach/rillreach/retry"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	// watchMargin is subtracted from the bounds on how soon changes are in force, so that a watch that hangs since a
	// fault of the store is replaced in time: the client gives up 0.7 s after the watch's wait time and asks again.
	watchMargin = 1200 * time.Millisecond
	// minWatchWait and maxWatchWait bound how long one watch of the store waits.
	minWatchWait = time.Second
	maxWatchWait = 3 * time.Second
	// weightsWatchWait is how long a watch of the desired weights waits. It may be long since agents report them, too.
	weightsWatchWait = 20 * time.Second
	// rolloutsWatchWait is how long a watch of the rollouts waits. A change ends it at once, and rollouts are rare.
	rolloutsWatchWait = 10 * time.Second
	// coalesceDivisor gives the delay between watches of the runners, whose records change in quick succession, as a
	// fraction of RunnerDrainDelay, at most maxCoalesceDelay. An entry that finds a new run at an address asks at
	// once.
	coalesceDivisor  = 3
	maxCoalesceDelay = time.Second
	// defaultIdleTimeout applies until the configuration is known.
	defaultIdleTimeout = 15 * time.Second
	// maxHeaderTimeout and maxHeaderBytes limit request heads in the HTTP server. The server's limits are fixed when it
	// starts, so they must not be lower than any that a configuration may set.
	maxHeaderTimeout = 30 * time.Second
	maxHeaderBytes   = 256 << 10
	// connTimeoutSlack is added to the configured idle and header timeouts.
	connTimeoutSlack = time.Second
	sweepInterval    = time.Second
	// maxTrialOffset is the period over which entries spread their trials of a quarantined request.
	maxTrialOffset = 2 * time.Second
	// bufferMemoryShare is the share of the process's memory that bodies of requests and buffered answers may take together.
	// A buffer that grows takes up to twice as much for a moment.
	bufferMemoryShare = 0.25
	// noTimeout disables the idle timeout of package http; zero would mean ReadHeaderTimeout.
	noTimeout = -1
)

// Gateway is an entry. Exported fields are set before Run.
type Gateway struct {
	// Settings are the deployment settings of the platform.
	Settings *deployment.Settings
	// Configs, Runners and Weights are the sources in the platform's object store.
	Configs rillreach.Source[*deployment.Config]
	Runners rillreach.Source[*deployment.Runner]
	Weights rillreach.Source[deployment.DesiredWeights]
	// Evacuations is the source of evacuated zones, whose runners must get no requests. It is followed if the settings
	// bound how soon an evacuation is in force.
	Evacuations rillreach.Source[rillreach.ZoneID]
	// Rollouts is the source of the requested rollouts of software versions, and RolloutRecorder records their states.
	// They are followed if the settings bound the exposure to a bad version.
	Rollouts        rillreach.Source[*deployment.Rollout]
	RolloutRecorder RolloutRecorder
	// Replica is the process's copy of the objects in the store, from which the sources read; nil if they read the store
	// itself. Its Pool is set by Run.
	Replica *replica.Replica
	// Callers and Readiness are the listeners for callers and for the load balancer's readiness checks.
	Callers   net.Listener
	Readiness net.Listener
	// Clock includes the time for which the machine was suspended. Nil means the system clock.
	Clock rillreach.Clock
	// Log and Metrics record decisions.
	Log     logr.Logger
	Metrics *telemetry.Metrics

	state         localstate.State
	localServices localServices
	homes         homeRing
	rollouts      rolloutController
	agents        *agentFollower
	peers         *peer.Pool
	cache         cacheState
	// prefillSizes averages the tokens that requests have runners prefill, and requestSizes the tokens of KV cache
	// that they take there.
	prefillSizes sizeBiasedMean
	requestSizes sizeBiasedMean
	ttft         ttftEstimators
	queue        *admissionQueue
	pool         forward.Pool
	// listenProbes lets concurrent checks whether a runner still accepts connections share one probe.
	listenProbes singleflight.Group
	// suspects tracks all crashes that this entry knows of, observedCrashes those that it has observed itself.
	suspects        poison.Tracker
	observedCrashes poison.Tracker
	outages         poison.OutageDetector
	quarantineLog   quarantineLog
	silentRuns      silentRunChecker
	// crashesChanged signals that observedCrashes has a new crash or has cleared one.
	crashesChanged broadcast.Signal
	budgets        retry.ServiceBudgets
	entries        entrycount.Counter
	// pins are the software versions at which streams began.
	pins streamPins
	// limited tracks the runners that announce a limit on requests.
	limited  limitedRunners
	inflight node.Inflight
	// buffers bounds the bodies of all requests and all buffered answers together. It is nil if the process has no memory
	// limit.
	buffers *bounded.Budget
	// choices counts choices of a runner, each of which starts at another candidate.
	choices atomic.Uint64
	// startedAt is when Run was called.
	startedAt time.Time
	// shuttingDown reports whether shutdown is set. drainCtx ends at the shutdown deadline, when requests that have no
	// answer yet get an error response.
	shuttingDown atomic.Bool
	shutdown     drain.Shutdown
	drainCtx     context.Context
	// answerTimes tracks the time to the complete answer by route. firstTokenDelays tracks the time from send to first
	// token, minus the time to prefill the part of the prompt that other prompts do not share.
	answerTimes      routeDurations
	firstTokenDelays routeDurations
	// refreshRunners wakes the follower of the runners when another run than the listed one answers at an address.
	refreshRunners chan struct{}
	server         *http.Server
	idleConns      *callerconn.IdleCloser
	listener       *callerconn.Listener
}

// Run serves until the context ends, and then shuts down gracefully within the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	g.startedAt = time.Now()
	g.state.Log, g.state.Metrics, g.state.RunnerRestarted = g.Log, g.Metrics, g.handleRunnerRestart
	g.state.SuspendedTime = node.SuspendedTime
	g.refreshRunners = make(chan struct{}, 1)
	g.suspects.TrialOffset = time.Duration(hash.String(g.Settings.Name) % uint64(maxTrialOffset))
	g.queue = newAdmissionQueue(g)
	g.rollouts.gateway = g
	g.silentRuns.gateway = g
	if g.Clock == nil {
		g.Clock = node.SystemClock()
	}
	g.budgets = g.newBudgets()
	if limit := g.Settings.MemoryBytes(); limit > 0 {
		g.buffers = bounded.NewBudget(int64(float64(limit) * bufferMemoryShare))
	}
	g.server = g.newServer()
	g.listener = &callerconn.Listener{Listener: node.Listener{Listener: g.Callers}, IdleConns: g.idleConns, Log: g.Log}
	runCtx, endRun := context.WithCancel(context.WithoutCancel(ctx))
	defer endRun()
	drainCtx, endDrain := context.WithCancel(runCtx)
	defer endDrain()
	g.drainCtx = drainCtx
	self, err := fleet.NewInstance(rillreach.RoleEntry, g.Settings)
	if err != nil {
		return err
	}
	if err := g.Metrics.AddGauges(g.gauges()); err != nil {
		return err
	}
	peers := &peer.Pool{Self: self, Mux: &peer.Mux{Log: g.Log}, Log: g.Log}
	peers.Start(runCtx)
	stop := context.AfterFunc(ctx, func() {
		g.shutDown(time.Now(), endDrain)
		endRun()
	})
	defer stop()
	controllers := []rillreach.Controller{
		g.state.ConfigFollower(g.Configs, g.watchWait()),
		g.state.RunnersFollower(g.Runners, g.watchWait(), g.coalesceDelay(), g.refreshRunners),
		g.state.WeightsFollower(g.Weights, weightsWatchWait),
		g.state.Expirer(),
		&serverController{name: "callers", server: g.server, listener: g.listener},
		&serverController{name: "readiness", server: &http.Server{Handler: http.HandlerFunc(g.handleReadiness), ReadHeaderTimeout: maxHeaderTimeout}, listener: g.Readiness},
		&poolSweeper{pool: &g.pool},
		&g.silentRuns,
		g.queue,
	}
	controllers = append(controllers, g.peerControllers(peers)...)
	if g.Replica != nil {
		g.Replica.Pool = peers
		controllers = append(controllers, g.Replica.Controller(), &digestFollower{gateway: g, pool: peers})
	}
	if g.Settings.Bounds.ZoneEvacuation > 0 {
		controllers = append(controllers, g.state.EvacuationsFollower(g.Evacuations, g.evacuationsWatchWait()))
	}
	if g.Settings.Bounds.VersionExposure > 0 {
		g.rollouts.recorder = g.RolloutRecorder
		controllers = append(controllers, g.state.RolloutsFollower(g.Rollouts, rolloutsWatchWait), &g.rollouts)
	}
	return controller.Run(runCtx, g.Log, controllers...)
}

// peerControllers returns the controllers that talk to agents.
func (g *Gateway) peerControllers(peers *peer.Pool) []rillreach.Controller {
	g.peers = peers
	g.agents = &agentFollower{gateway: g, pool: peers}
	return []rillreach.Controller{
		peers,
		g.agents,
		&crashReporter{gateway: g, pool: peers, agents: g.agents},
		&limitReporter{gateway: g, pool: peers, agents: g.agents},
		&pinReporter{gateway: g},
	}
}

// relayed reports whether the entry follows a relay rather than all agents.
func (g *Gateway) relayed() bool { return g.Replica != nil && g.Replica.Relayed() }

// evacuationsWatchWait returns how long one watch of the evacuated zones waits. A watch that hangs is replaced within
// the bound on evacuations.
func (g *Gateway) evacuationsWatchWait() time.Duration {
	return max(g.Settings.Bounds.ZoneEvacuation-watchMargin, minWatchWait)
}

// watchWait returns how long one watch of the configuration or the runners waits.
func (g *Gateway) watchWait() time.Duration {
	return min(max(g.Settings.Bounds.Recovery-watchMargin, minWatchWait), maxWatchWait)
}

// coalesceDelay returns the delay between watches of the runners.
func (g *Gateway) coalesceDelay() time.Duration {
	return min(g.Settings.Bounds.RunnerDrainDelay/coalesceDivisor, maxCoalesceDelay)
}

func (g *Gateway) newServer() *http.Server {
	g.idleConns = &callerconn.IdleCloser{IdleTimeout: g.callerIdleTimeout, HeadTimeout: g.callerHeadTimeout}
	return &http.Server{
		Handler:           http.HandlerFunc(g.handle),
		ReadHeaderTimeout: maxHeaderTimeout,
		IdleTimeout:       noTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.idleConns.ConnState,
		ConnContext:       withConnOpenedAt,
		ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(g.Log), slog.LevelError),
	}
}

// handleReadiness answers readiness checks: 200 if the entry's state has synced and it is not shutting down, else 503.
func (g *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.shuttingDown.Load() || !g.state.HasSynced() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serverController runs one HTTP server.
type serverController struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Name returns the name of the controller.
func (s *serverController) Name() string { return s.name }

// Run serves connections until the context ends.
func (s *serverController) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", s.name)
	}
	<-ctx.Done()
	return nil
}

// poolSweeper closes connections to runners that have been idle for too long.
type poolSweeper struct{ pool *forward.Pool }

// Name returns the name of the controller.
func (s *poolSweeper) Name() string { return "sweep-connections" }

// Run sweeps until the context ends.
func (s *poolSweeper) Run(ctx context.Context) error {
	pause.Every(ctx, sweepInterval, func(context.Context) { s.pool.CloseExpired() })
	return nil
}
