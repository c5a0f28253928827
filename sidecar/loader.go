package sidecar

import (
	"context"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/telemetry"
	"github.com/rillreach/rillreach/weights"
)

const (
	// minPollInterval is how often the runner is asked how it is; on the same instance that costs nothing but processor time.
	minPollInterval = 40 * time.Millisecond
	// maxPollInterval bounds the interval where entries are told seldomer than that: a load of weights is announced 300 ms ahead.
	maxPollInterval = 100 * time.Millisecond
)

// loader brings the runner to the newest weights.
type loader struct {
	sidecar  *Sidecar
	sequence loadSequence
	// schedules are the starts that the runner's loads were given, by model.
	schedules map[rillreach.ModelID]*weights.Schedule

	// lastOrder is the last order, for the runner's run that it was meant for.
	lastOrder    platform.Order
	lastOrderRun rillreach.InstanceRun
	lastOrderAt  time.Time
	lastAction   weights.Action
	runnerLost   bool
}

// Name is the controller's name.
func (l *loader) Name() string { return "load-weights" }

// Run looks at the runner until the context ends.
func (l *loader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, pollInterval(l.sidecar.publisher.ownZoneInterval()))
		l.reconcile(ctx)
	}
	return nil
}

// pollInterval is how often the runner is asked where entries of its zone are told of it at a pace: twice for each time, since who hears of
// it later has no use for more. Among 180 agents that is 11 times a second for 25.
func pollInterval(bulletinInterval time.Duration) time.Duration {
	return min(max(minPollInterval, bulletinInterval/2), maxPollInterval)
}

// reconcile compares what the runner has with what is wanted, and acts on the difference.
func (l *loader) reconcile(ctx context.Context) {
	s := l.sidecar
	if s.state.Roster.ByAddress(s.Settings.RunnerAddress) == nil {
		return
	}
	load, err := s.Runner.Report(ctx)
	l.logAvailability(ctx, err)
	if err != nil {
		if ctx.Err() == nil { // it is the runner that did not answer, not this agent that stopped asking
			s.publisher.markUnresponsive()
		}
		return
	}
	runner := s.observeRun(telemetry.StartInReport, load.Generation)
	if runner == nil {
		return // it is an earlier run's
	}
	info := runner.Info()
	weightLoad := weightLoadStatus{loading: load.LoadingWeights}
	for model, loaded := range load.Weights {
		named, since := s.state.NamedWeights(model)
		if named.Version == 0 {
			continue // nobody has named weights yet
		}
		weightLoad = weightLoad.merge(l.decide(ctx, info, load, named, loaded, time.Since(since)))
	}
	s.publisher.setReport(load, weightLoad)
}

// requestRelist has the list of runners asked for at once, and again a little later, since a new run is listed only then.
func (l *loader) requestRelist() {
	for _, delay := range []time.Duration{0, relistDelay, 2 * relistDelay} {
		time.AfterFunc(delay, func() {
			select {
			case l.sidecar.relist <- struct{}{}:
			default:
			}
		})
	}
}

// relistDelay is how long a new run takes to be listed: about a heartbeat.
const relistDelay = 1200 * time.Millisecond

// logAvailability logs the loss and the return of the runner.
func (l *loader) logAvailability(ctx context.Context, err error) {
	if lost := err != nil; lost != l.runnerLost && ctx.Err() == nil {
		l.runnerLost = lost
		if lost {
			l.sidecar.Log.Error(err, "dependency lost", "dependency", "runner", "address", l.sidecar.Settings.RunnerAddress)
			return
		}
		l.sidecar.Log.Info("dependency regained", "dependency", "runner", "address", l.sidecar.Settings.RunnerAddress)
		l.requestRelist()
	}
}

// decide acts on one model's weights, and returns what entries should know of it.
func (l *loader) decide(ctx context.Context, runner deployment.Runner, load deployment.Load, named deployment.DesiredWeights, loaded deployment.WeightVersion, knownFor time.Duration) weightLoadStatus {
	rank, total := l.sequence.rank(l.sidecar.state.Roster.ByService(runner.Service), named, runner.ID)
	input := weights.Input{
		Newest: named.Version, Loaded: loaded, KnownFor: knownFor, Bound: l.sidecar.Settings.Bounds.WeightsRollout, Rank: rank, Total: total,
		Busy: load.LoadingWeights, Leaving: runner.Leaving || load.Leaving,
	}
	startByRank := time.Now().Add(weights.StartDelay(rank, total, input.Bound) - knownFor)
	start := l.scheduleFor(named.Model).Update(loaded, named.Version, startByRank)
	input.EarlierBy = startByRank.Sub(start)
	if l.lastOrderRun == runner.Run() && l.lastOrder.Weights == named.Version {
		input.SinceOrder = time.Since(l.lastOrderAt)
	}
	action := weights.Decide(input)
	if action != l.lastAction {
		l.lastAction = action
		l.sidecar.Log.Info("weights", "decision", action, "model", named.Model, "named", named.Version, "loaded", loaded,
			"rank", rank, "total", total, "since", knownFor.String(), "earlier", input.EarlierBy.String(), "busy", load.LoadingWeights)
	}
	if action == weights.ActionLoad {
		l.sendOrder(ctx, runner, load, named)
	}
	return weightLoadStatusOf(action, start)
}

// scheduleFor is the one of a model.
func (l *loader) scheduleFor(model rillreach.ModelID) *weights.Schedule {
	if l.schedules == nil {
		l.schedules = map[rillreach.ModelID]*weights.Schedule{}
	}
	if l.schedules[model] == nil {
		l.schedules[model] = &weights.Schedule{}
	}
	return l.schedules[model]
}

func (l *loader) sendOrder(ctx context.Context, runner deployment.Runner, load deployment.Load, named deployment.DesiredWeights) {
	l.lastOrder = platform.Order{
		Runner: runner.ID, Model: named.Model, Weights: named.Version,
		Holder: l.sidecar.Settings.Name, Fence: named.FencingToken(), After: load.OrdersTaken,
	}
	l.lastOrderRun, l.lastOrderAt = runner.Run(), time.Now()
	answer, err := l.sidecar.Runner.Order(ctx, l.lastOrder)
	if err != nil {
		l.sidecar.Log.Error(err, "order without answer", "decision", "wait", "runner", runner.ID, "weights", named.Version, "after", load.OrdersTaken)
		return
	}
	l.sidecar.Log.Info("order given", "decision", answer.Verdict, "runner", runner.ID, "generation", answer.Generation, "model", named.Model, "weights", named.Version,
		"fence", named.FencingToken(), "after", load.OrdersTaken)
	if answer.Verdict != platform.OrderRefused { // a refusal may be another runner's at the address
		l.sidecar.state.ObserveRun(rillreach.InstanceRun{ID: runner.ID, Generation: answer.Generation})
	}
}
