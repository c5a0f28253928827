package sidecar

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	// watchWait is how long one watch of the store waits; an agent's knowledge is bound by seconds.
	watchWait     = 4 * time.Second
	gatherRunners = 200 * time.Millisecond
)

// Sidecar is one agent; exported fields are set before Run.
type Sidecar struct {
	// Settings are the platform's.
	Settings *deployment.Settings
	// Runners and Weights are what the platform's store holds.
	Runners rillreach.Source[*deployment.Runner]
	Weights rillreach.Source[deployment.NamedWeights]
	// Runner is the runner beside the agent.
	Runner *platform.Runner
	// Log takes decisions; Metrics count them.
	Log     logr.Logger
	Metrics *telemetry.Metrics

	state localstate.State
}

// Run works until the context ends.
func (s *Sidecar) Run(ctx context.Context) error {
	s.state.Log = s.Log
	return controller.Run(ctx, s.Log,
		s.state.RunnersFollower(s.Runners, watchWait, gatherRunners),
		s.state.WeightsFollower(s.Weights, watchWait),
		s.state.Expirer(),
		&loader{sidecar: s},
	)
}
