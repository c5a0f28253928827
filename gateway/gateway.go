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
	// minWatchWait and mostWatch bound how long one watch of the store waits.
	minWatchWait = time.Second
	maxWatchWait = 3 * time.Second
	// weightsWatchWait is the same for the names of weights, of which the agents tell, too.
	weightsWatchWait = 20 * time.Second
	// coalesceDivisor is the part of the bound on leaving runners that passes between watches of the runners, whose records
	// change in quick succession; an entry that meets a new run at an address asks at once.
	coalesceDivisor  = 3
	maxCoalesceDelay = time.Second
	// noticeTTLDivisor is the part of that bound for which the word of relays holds, at most mostTrust.
	noticeTTLDivisor = 2
	maxNoticeTTL     = 2 * time.Second
	// defaultIdleTimeout serves until the configuration is known.
	defaultIdleTimeout = 15 * time.Second
	// maxHeaderTimeout and mostHeader (in bytes) bound a request's head before the configuration's own limits are asked:
	// the server's are fixed when it starts, and must not be under what a configuration may allow.
	maxHeaderTimeout = 30 * time.Second
	maxHeaderBytes   = 256 << 10
	// connTimeoutSlack is how much longer than promised a connection is kept.
	connTimeoutSlack = time.Second
	// callerUserTimeout is how long bytes to a caller may stay without acknowledgement.
	callerUserTimeout = 5 * time.Second
	sweepInterval     = time.Second
	// maxTrialOffset is the time over which entries spread their trials of a request that runners have ended under.
	maxTrialOffset = 2 * time.Second
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

	state         localstate.State
	relays        notify.Tracker
	localServices localServices
	cache         cacheState
	prefillSizes  sizeMean
	requestSizes  sizeMean
	ttft          firstTokens
	queue         *line
	pool          forward.Pool
	listenProbes  singleflight.Group
	// suspects are the crashes that this entry knows of, observed those that it has seen itself.
	suspects        poison.Tracker
	observedCrashes poison.Tracker
	outages         poison.OutageDetector
	// crashesChanged is told when the entry itself has seen a crash, or that one is no longer held against a request.
	crashesChanged broadcast.Signal
	budgets        retry.ServiceBudgets
	// limited are the runners that name a limit.
	limited  limitedRunners
	inflight node.Inflight
	choices  atomic.Uint64
	// startedAt is when Run was called.
	startedAt time.Time
	// shuttingDown says that plan holds what was planned for the stop; over ends when requests without an answer get their last one.
	shuttingDown atomic.Bool
	shutdown     drain.Shutdown
	drainCtx     context.Context
	// answerTimes are the times to the whole answer, firstWaits those from a send to the first token beyond the time to read the prompt's own part.
	answerTimes      routeTimes
	firstTokenDelays routeTimes
	// refreshRunners is told when a runner turns out to be another run than the list says.
	refreshRunners chan struct{}
	server         *http.Server
	idleConns      *idleCloser
	listener       *callerListener
}

// Run serves until the context ends, then stops in order within the grace.
func (g *Gateway) Run(ctx context.Context) error {
	g.startedAt = time.Now()
	g.state.Log, g.state.Metrics, g.state.RunnerRestarted = g.Log, g.Metrics, g.runnerRestarted
	g.state.SuspendedTime = node.Suspended
	g.state.Relays, g.state.NoticeTTL = &g.relays, g.noticeTTL()
	g.refreshRunners = make(chan struct{}, 1)
	g.suspects.TrialOffset = time.Duration(hash.String(g.Settings.Name) % uint64(maxTrialOffset))
	g.queue = newLine(g)
	if g.Clock == nil {
		g.Clock = node.SystemClock()
	}
	g.budgets = retry.ServiceBudgets{Ratio: g.Settings.Bounds.RetryRatio, Window: g.Settings.Bounds.RetryWindow, Slack: g.Settings.Bounds.RetrySlack}
	g.server = g.newServer()
	g.listener = &callerListener{Listener: node.Listener{Listener: g.Callers}, idleConns: g.idleConns, log: g.Log}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	over, finish := context.WithCancel(life)
	defer finish()
	g.drainCtx = over
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
		g.shutDown(time.Now(), finish)
		end()
	})
	defer stop()
	followed := &agentFollower{gateway: g, pool: peers}
	controllers := []rillreach.Controller{
		g.state.ConfigFollower(g.Configs, g.watchWait()),
		g.state.RunnersFollower(g.Runners, g.watchWait(), g.coalesceDelay(), g.refreshRunners),
		g.state.WeightsFollower(g.Weights, weightsWatchWait),
		g.state.Expirer(),
		&serverController{name: "callers", server: g.server, listener: g.listener},
		&serverController{name: "readiness", server: &http.Server{Handler: http.HandlerFunc(g.handleReadiness), ReadHeaderTimeout: maxHeaderTimeout}, listener: g.Readiness},
		&poolSweeper{pool: &g.pool},
		g.queue,
		peers,
		followed,
		&crashReporter{gateway: g, pool: peers, agents: followed},
		&limitReporter{gateway: g, pool: peers, agents: followed},
	}
	if g.Settings.Bounds.ZoneEvacuation > 0 {
		controllers = append(controllers, g.state.EvacuationsFollower(g.Evacuations, g.evacuationsWatchWait()))
	}
	return controller.Run(life, g.Log, controllers...)
}

// evacuationsWatchWait is how long one watch of the evacuated zones waits: one that hangs is noticed within their bound.
func (g *Gateway) evacuationsWatchWait() time.Duration {
	return max(g.Settings.Bounds.ZoneEvacuation-watchMargin, minWatchWait)
}

// watchWait is how long one watch of what is bound in time waits.
func (g *Gateway) watchWait() time.Duration {
	return min(max(g.Settings.Bounds.Recovery-watchMargin, minWatchWait), maxWatchWait)
}

// noticeTTL is for how long the word of a relay holds: half of the bound on leaving runners is left for an entry's own watch.
func (g *Gateway) noticeTTL() time.Duration {
	return min(g.Settings.Bounds.RunnerDrainNotice/noticeTTLDivisor, maxNoticeTTL)
}

// coalesceDelay is the pause between watches of the runners.
func (g *Gateway) coalesceDelay() time.Duration {
	return min(g.Settings.Bounds.RunnerDrainNotice/coalesceDivisor, maxCoalesceDelay)
}

func (g *Gateway) newServer() *http.Server {
	g.idleConns = &idleCloser{IdleTimeout: g.callerIdleTimeout, HeadTimeout: g.callerHeadTimeout}
	return &http.Server{
		Handler:           http.HandlerFunc(g.handle),
		ReadHeaderTimeout: maxHeaderTimeout,
		IdleTimeout:       noTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.idleConns.connState,
		ConnContext:       withConnOpenedAt,
		ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(g.Log), slog.LevelError),
	}
}

// handleReadiness answers the balancer: 200 while the entry knows enough to serve and is not about to end.
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

// poolSweeper closes connections to runners that have rested too long.
type poolSweeper struct{ pool *forward.Pool }

// Name is the controller's name.
func (s *poolSweeper) Name() string { return "sweep-connections" }

// Run sweeps until the context ends.
func (s *poolSweeper) Run(ctx context.Context) error {
	pause.Every(ctx, sweepInterval, func(context.Context) { s.pool.Sweep() })
	return nil
}
