package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/poison"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	// configWait, runnersWait and weightsWait are how long one watch of the store waits; one that hangs is noticed after
	// that time. Of the configuration an agent needs the stores alone, and new weights have to be loaded within some ten
	// seconds.
	configWait  = 25 * time.Second
	runnersWait = 6 * time.Second
	weightsWait = 5 * time.Second
	// gatherRunners is a pause between watches of the runners, of which an agent needs ranks, and its own runner's name: it
	// does not wait for that once its runner has been started anew.
	gatherRunners = 5 * time.Second
)

// Sidecar is one agent; exported fields are set before Run.
type Sidecar struct {
	// Settings are the platform's.
	Settings *deployment.Settings
	// Runners and Weights are what the platform's store holds.
	Runners rillreach.Source[*deployment.Runner]
	Weights rillreach.Source[deployment.DesiredWeights]
	// Configs is what the platform's store holds of the configuration.
	Configs rillreach.Source[*deployment.Config]
	// Runner is the runner beside the agent.
	Runner *platform.Runner
	// Listener takes the connections of entries.
	Listener net.Listener
	// Clock counts the time for which the machine was suspended; nil means the system's.
	Clock rillreach.Clock
	// Log takes decisions; Metrics count them.
	Log     logr.Logger
	Metrics *telemetry.Metrics

	state     localstate.State
	publisher *publisher
	own       *holder
	stores    *collector
	pool      *peer.Pool
	starts    startLog
	// crashes are what entries have reported; the agent tells those that follow it.
	crashes poison.Tracker
	// quotas are the limits of runners that the agent shares out.
	quotas quotas
	// restarted is told when the runner beside the agent may be another run.
	restarted chan struct{}
}

// Run works until the context ends.
func (s *Sidecar) Run(ctx context.Context) error {
	s.state.Log, s.state.Metrics = s.Log, s.Metrics
	s.state.SuspendedTime = node.Suspended
	s.restarted = make(chan struct{}, 1)
	if s.Clock == nil {
		s.Clock = node.SystemClock()
	}
	s.publisher = &publisher{sidecar: s}
	s.publisher.permits.Start(time.Now())
	s.state.RelayPace = s.publisher.relayPace
	s.own = &holder{
		place: s.Settings.RunnerAddress, client: s.Runner, log: s.Log,
		observe: func(generation rillreach.Generation) { s.observe(telemetry.StartInEvents, generation) },
	}
	s.stores = &collector{sidecar: s}
	mux := &peer.Mux{Log: s.Log}
	mux.Handle(peer.MethodFollow, s.publisher.serve)
	peer.HandleUnary(mux, peer.MethodCrashes, s.takeCrashes)
	peer.HandleUnary(mux, peer.MethodLimits, s.takeLimits)
	self, err := fleet.NewInstance(rillreach.RoleAgent, s.Settings)
	if err != nil {
		return err
	}
	if err := s.Metrics.AddGauges(s.gauges()); err != nil {
		return err
	}
	s.pool = &peer.Pool{Self: self, Mux: mux, Log: s.Log}
	ctx, end := context.WithCancel(ctx)
	defer s.publisher.serving.close()
	defer end()
	s.pool.Start(ctx)
	return controller.Run(ctx, s.Log,
		s.state.ConfigFollower(s.Configs, configWait),
		s.state.RunnersFollower(s.Runners, runnersWait, gatherRunners, s.restarted),
		s.state.WeightsFollower(s.Weights, weightsWait),
		s.state.Expirer(),
		&loader{sidecar: s},
		s.stores,
		s.pool,
		&ownHolder{s.own},
		&peerServer{s},
	)
}

// ownHolder follows what the runner beside the agent holds.
type ownHolder struct{ holder *holder }

// Name is the controller's name.
func (o *ownHolder) Name() string { return "follow-runner" }

// Run follows until the context ends.
func (o *ownHolder) Run(ctx context.Context) error {
	o.holder.run(ctx)
	return nil
}

// peerServer takes the connections of entries.
type peerServer struct{ sidecar *Sidecar }

// Name is the controller's name.
func (p *peerServer) Name() string { return "peers" }

// Run accepts connections until the context ends.
func (p *peerServer) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, p.sidecar.pool)
	return node.ServeHTTP(ctx, p.sidecar.Listener, mux)
}
