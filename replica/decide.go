package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/platform"
)

const (
	// decisionInterval is how often a process reads the list of runners until it knows whether the deployment uses relays.
	// It is spread at random, since all processes may have started together.
	decisionInterval = time.Second
	// registrationDelay is how long a process of a deployment that is being started waits before it reads the list for the
	// first time, since runners register with their first heartbeat.
	registrationDelay = 3500 * time.Millisecond
	// decisionRetryDelay is the pause after a failed call.
	decisionRetryDelay = 300 * time.Millisecond
	// settledTime is how long the number of agents must not have changed while a deployment starts.
	settledTime = time.Second
)

// decide finds out whether the deployment has enough agents for relays.
func (r *Replica) decide(ctx context.Context) {
	start := time.Now()
	if r.AwaitRunners > 0 {
		r.awaitDecision(ctx, registrationDelay+rand.N(decisionInterval))
	}
	known, since := 0, start
	for ctx.Err() == nil && !r.isDecided() {
		agents, err := r.readAgents(ctx)
		now := time.Now()
		if len(agents) != known {
			known, since = len(agents), now
		}
		settled := known > 0 && now.Sub(since) >= settledTime || now.Sub(start) >= r.AwaitRunners
		switch {
		case len(agents) >= MinAgents:
			r.setAgents(agents)
			r.setDecided(true)
			return
		case err != nil:
			r.Log.Info("cannot list runners", "decision", "retry", "cause", err.Error())
		case settled:
			r.setDecided(false)
			return
		}
		wait := decisionInterval
		if err != nil {
			wait = decisionRetryDelay
		}
		r.awaitDecision(ctx, wait/2+rand.N(wait))
	}
}

// setDecided records whether the deployment uses relays, unless that has been decided before.
func (r *Replica) setDecided(relayed bool) {
	r.decideOnce.Do(func() {
		r.Log.Info("source of the store's objects decided", "decision", "replicate", "relays", relayed, "agents", len(r.Agents()))
		r.relayed.Store(relayed)
		close(r.decided)
	})
}

// isDecided reports whether it is known if the deployment uses relays.
func (r *Replica) isDecided() bool {
	select {
	case <-r.decided:
		return true
	default:
		return false
	}
}

// awaitDecision waits until it is known whether the deployment uses relays, at most for the given time.
func (r *Replica) awaitDecision(ctx context.Context, wait time.Duration) {
	awaitChange(ctx, r.decided, wait)
}

// readAgents returns the first agents by identifier: at least MinAgents, unless there are fewer.
func (r *Replica) readAgents(ctx context.Context) ([]Agent, error) {
	var agents []Agent
	var runners []deployment.Runner
	err := r.Store.ListStale(ctx, platform.KindRunners, func(objects []platform.Object) bool {
		runners = append(runners, decodeRunners(objects)...)
		agents = AgentsOf(runners, r.AgentPort)
		return len(agents) < MinAgents
	})
	return agents, err
}

// decodeRunners returns the listed runners. Records that cannot be read are left out.
func decodeRunners(objects []platform.Object) []deployment.Runner {
	runners := make([]deployment.Runner, 0, len(objects))
	for _, o := range objects {
		if o.Err != nil {
			continue
		}
		if runner, err := platform.DecodeRunner(o); err == nil { // localstate logs records that cannot be read
			runners = append(runners, *runner)
		}
	}
	return runners
}

// updateAgents takes the agents from the copy of the list of runners.
func (r *Replica) updateAgents() {
	c := r.copies[platform.KindRunners]
	if c == nil {
		return
	}
	objects, _ := c.list()
	if agents := AgentsOf(decodeRunners(objects), r.AgentPort); len(agents) > 0 {
		r.setAgents(agents)
	}
}
