package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/digest"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/pinning"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/poison"
	"github.com/rillreach/rillreach/replica"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	// The watch timeouts are how long one watch of the object store waits for a change, and so how long a watch that
	// hangs goes unnoticed. The one for the configuration is long, since an agent needs little of that: the cache
	// stores, the limits of cold runners and the version number. The one for weights is short, since new weights must
	// be loaded within about ten seconds.
	configWatchTimeout  = 25 * time.Second
	runnersWatchTimeout = 6 * time.Second
	weightsWatchTimeout = 5 * time.Second
	// runnersCoalesceDelay is the pause between watches of the list of runners. An agent needs the list mainly to
	// rank runners and to look up its own runner's identifier; a restart of its own runner ends the pause early.
	runnersCoalesceDelay = 5 * time.Second
	// relayedWatchTimeout and relayedCoalesceDelay replace these if the agent follows a relay.
	relayedWatchTimeout  = time.Second
	relayedCoalesceDelay = 300 * time.Millisecond
)

// Sidecar is one agent. Exported fields must be set before Run.
type Sidecar struct {
	// Settings are the process settings from the platform.
	Settings *deployment.Settings
	// Runners and Weights are the sources of the runners' records and of the desired weights in the object store.
	Runners rillreach.Source[*deployment.Runner]
	Weights rillreach.Source[deployment.DesiredWeights]
	// Configs is the source of the configuration in the object store.
	Configs rillreach.Source[*deployment.Config]
	// Replica is the process's copy of the objects in the store, from which the sources read; nil if they read the store
	// itself. Its Pool is set by Run.
	Replica *replica.Replica
	// Runner is the client for the agent's own runner.
	Runner *platform.RunnerClient
	// Listener accepts the connections of entries.
	Listener net.Listener
	// Clock must also advance while the machine is suspended; nil means the system clock.
	Clock rillreach.Clock
	// Log receives the agent's decisions and failures; Metrics holds the instruments of the process.
	Log     logr.Logger
	Metrics *telemetry.Metrics

	state              localstate.State
	publisher          *publisher
	runnerHolder       *holder
	collector          *collector
	pool               *peer.Pool
	feed               *feed
	missingGenerations missingGenerationTracker
	// crashes are those that entries have reported; the agent forwards them to all followers.
	crashes poison.Tracker
	// pins are the software versions at which streams began that entries have reported.
	pins pinning.Table
	// quotas are the rate limits of runners that the agent divides among its followers.
	quotas quotas
	// relist receives a value when the agent's runner may have restarted, to have the list of runners fetched at once.
	relist chan struct{}
}

// Run runs the agent until the context is cancelled.
func (s *Sidecar) Run(ctx context.Context) error {
	s.state.Log, s.state.Metrics = s.Log, s.Metrics
	s.state.SuspendedTime = node.SuspendedTime
	s.relist = make(chan struct{}, 1)
	if s.Clock == nil {
		s.Clock = node.SystemClock()
	}
	s.publisher = &publisher{sidecar: s}
	s.publisher.permits.Start(time.Now())
	s.state.Pace = s.relayedPace
	s.runnerHolder = &holder{
		address: s.Settings.RunnerAddress, client: s.Runner, log: s.Log,
		onGeneration: func(generation rillreach.Generation) { s.observeRun(telemetry.StartInEvents, generation) },
	}
	s.collector = &collector{sidecar: s}
	mux := &peer.Mux{Log: s.Log}
	mux.Handle(peer.MethodFollow, s.publisher.serve)
	mux.Handle(peer.MethodReplicate, s.serveReplica)
	mux.Handle(peer.MethodDigest, s.serveDigests)
	peer.HandleUnary(mux, peer.MethodCrashes, s.handleCrashReport)
	peer.HandleUnary(mux, peer.MethodLimits, s.handleLimitReport)
	peer.HandleUnary(mux, peer.MethodReportPins, s.handlePinReport)
	peer.HandleUnary(mux, peer.MethodFindPin, s.handlePinQuery)
	self, err := fleet.NewInstance(rillreach.RoleAgent, s.Settings)
	if err != nil {
		return err
	}
	if err := s.Metrics.AddGauges(s.gauges()); err != nil {
		return err
	}
	s.pool = &peer.Pool{Self: self, Mux: mux, Log: s.Log}
	s.feed = &feed{sidecar: s, table: digest.Table{Zone: s.Settings.Zone}}
	ctx, end := context.WithCancel(ctx)
	defer s.publisher.serving.close()
	defer end()
	s.pool.Start(ctx)
	controllers := []rillreach.Controller{
		s.state.ConfigFollower(s.Configs, configWatchTimeout),
		s.state.RunnersFollower(s.Runners, runnersWatchTimeout, runnersCoalesceDelay, s.relist),
		s.state.WeightsFollower(s.Weights, weightsWatchTimeout),
		s.state.Expirer(),
		&loader{sidecar: s},
		s.collector,
		s.pool,
		&holderController{s.runnerHolder},
		&peerServer{s},
		&pinHandover{sidecar: s, self: self},
	}
	if s.Replica != nil {
		s.Replica.Pool = s.pool
		controllers = append(controllers, s.Replica.Controller(), s.feed)
	}
	return controller.Run(ctx, s.Log, controllers...)
}

// relayedPace returns the pace at which an agent of a large deployment follows its copy of the store's objects, which costs
// no calls, and whether it applies.
func (s *Sidecar) relayedPace() (follow.Pace, bool) {
	return follow.Pace{WatchTimeout: relayedWatchTimeout, CoalesceDelay: relayedCoalesceDelay}, s.relayed()
}

// relayed reports whether the deployment uses relays.
func (s *Sidecar) relayed() bool { return s.Replica != nil && s.Replica.Relayed() }

// serveReplica sends the store's objects to a subscriber.
func (s *Sidecar) serveReplica(ctx context.Context, call *peer.ServerStream) error {
	if s.Replica == nil {
		return errNoRelay
	}
	return s.Replica.Serve(ctx, call)
}

// serveDigests sends the reports of other agents to a subscriber.
func (s *Sidecar) serveDigests(ctx context.Context, call *peer.ServerStream) error {
	if s.Replica == nil {
		return errNoRelay
	}
	return s.feed.serve(ctx, call)
}

// errNoRelay refuses a subscriber because this agent cannot be a relay.
var errNoRelay = rillreach.NotRun(rillreach.ReasonBadRequest, "agent is no relay")

// holderController keeps track of the KV cache that the agent's own runner holds.
type holderController struct{ holder *holder }

// Name returns the controller's name.
func (c *holderController) Name() string { return "follow-runner" }

// Run follows the holder until the context is cancelled.
func (c *holderController) Run(ctx context.Context) error {
	c.holder.run(ctx)
	return nil
}

// peerServer accepts the connections of entries.
type peerServer struct{ sidecar *Sidecar }

// Name returns the controller's name.
func (p *peerServer) Name() string { return "peers" }

// Run accepts connections until the context is cancelled.
func (p *peerServer) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, p.sidecar.pool)
	return node.ServeHTTP(ctx, p.sidecar.Listener, mux)
}
