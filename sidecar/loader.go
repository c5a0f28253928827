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
	// minPollInterval is the shortest interval at which the runner's report is polled. The runner is on the same
	// instance, so that a poll costs processor time only.
	minPollInterval = 40 * time.Millisecond
	// maxPollInterval bounds the interval if bulletins are sent less often, since a weight load is announced only
	// 300 ms ahead.
	maxPollInterval = 100 * time.Millisecond
)

// loader polls the runner's report, and has the runner load the desired weights.
type loader struct {
	sidecar  *Sidecar
	sequence loadSequence
	// schedules hold the start time of the runner's next weight load, by model.
	schedules map[rillreach.ModelID]*weights.Schedule

	// lastOrder is the last order, lastOrderRun the run that it was sent to, and lastOrderAt when it was sent.
	lastOrder    platform.Order
	lastOrderRun rillreach.InstanceRun
	lastOrderAt  time.Time
	// lastAction is the last action that was logged.
	lastAction weights.Action
	// runnerLost is set while the runner does not answer.
	runnerLost bool
}

// Name returns the controller's name.
func (l *loader) Name() string { return "load-weights" }

// Run polls the runner until the context is cancelled.
func (l *loader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, pollInterval(l.sidecar.publisher.ownZoneInterval()))
		l.reconcile(ctx)
	}
	return nil
}

// pollInterval returns the interval at which the runner is polled, given the interval of bulletins to its own zone:
// half of that, since more frequent reports would not reach any entry. With 180 agents, the runner is polled 11 times a
// second rather than 25.
func pollInterval(bulletinInterval time.Duration) time.Duration {
	return min(max(minPollInterval, bulletinInterval/2), maxPollInterval)
}

// reconcile fetches the runner's report, orders newer weights if it is time to load them, and publishes the report.
func (l *loader) reconcile(ctx context.Context) {
	s := l.sidecar
	if s.state.Roster.ByAddress(s.Settings.RunnerAddress) == nil {
		return
	}
	load, err := s.Runner.Report(ctx)
	l.logAvailability(ctx, err)
	if err != nil {
		if ctx.Err() == nil { // otherwise the agent is shutting down, which says nothing about the runner
			s.publisher.markUnresponsive()
		}
		return
	}
	runner := s.observeRun(telemetry.StartInReport, load.Generation)
	if runner == nil {
		return // the report is an earlier run's, or the runner is no longer listed
	}
	info := runner.Info()
	weightLoad := weightLoadStatus{loading: load.LoadingWeights}
	for model, loaded := range load.Weights {
		desired, since := s.state.DesiredWeights(model)
		if desired.Version == 0 {
			continue // no weights of the model are desired yet
		}
		weightLoad = weightLoad.merge(l.decide(ctx, info, load, desired, loaded, time.Since(since)))
	}
	s.publisher.setReport(load, weightLoad)
}

// requestRelist has the list of runners fetched at once and again after relistDelay and twice that, since a new run is
// not listed immediately.
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

// relistDelay is how long it takes until a new run is listed: about one heartbeat.
const relistDelay = 1200 * time.Millisecond

// logAvailability logs when the runner stops answering and when it answers again. In the latter case it may have
// restarted, so the list of runners is fetched again.
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

// decide decides whether the runner loads the desired weights of one model now and sends the order if so. It returns
// the status of the load for entries.
func (l *loader) decide(ctx context.Context, runner deployment.Runner, load deployment.Load, desired deployment.DesiredWeights, loaded deployment.WeightVersion, knownFor time.Duration) weightLoadStatus {
	rank, total := l.sequence.rank(l.sidecar.state.Roster.ByService(runner.Service), desired, runner.ID)
	input := weights.Input{
		Desired: desired.Version, Loaded: loaded, KnownFor: knownFor, Bound: l.sidecar.Settings.Bounds.WeightsRollout, Rank: rank, Total: total,
		Busy: load.LoadingWeights, Leaving: runner.Leaving || load.Leaving,
	}
	startByRank := time.Now().Add(weights.StartDelay(rank, total, input.Bound) - knownFor)
	start := l.scheduleFor(desired.Model).Update(loaded, desired.Version, startByRank)
	input.EarlierBy = startByRank.Sub(start)
	if l.lastOrderRun == runner.Run() && l.lastOrder.Weights == desired.Version {
		input.SinceOrder = time.Since(l.lastOrderAt)
	}
	action := weights.Decide(input)
	if action != l.lastAction {
		l.lastAction = action
		l.sidecar.Log.Info("weights", "decision", action, "model", desired.Model, "named", desired.Version, "loaded", loaded,
			"rank", rank, "total", total, "since", knownFor.String(), "earlier", input.EarlierBy.String(), "busy", load.LoadingWeights)
	}
	if action == weights.ActionLoad {
		l.sendOrder(ctx, runner, load, desired)
	}
	return weightLoadStatusOf(action, start)
}

// scheduleFor returns the schedule of a model's weight load.
func (l *loader) scheduleFor(model rillreach.ModelID) *weights.Schedule {
	if l.schedules == nil {
		l.schedules = map[rillreach.ModelID]*weights.Schedule{}
	}
	if l.schedules[model] == nil {
		l.schedules[model] = &weights.Schedule{}
	}
	return l.schedules[model]
}

// sendOrder orders the runner to load the desired weights.
func (l *loader) sendOrder(ctx context.Context, runner deployment.Runner, load deployment.Load, desired deployment.DesiredWeights) {
	l.lastOrder = platform.Order{
		Runner: runner.ID, Model: desired.Model, Weights: desired.Version,
		Issuer: l.sidecar.Settings.Name, FencingToken: desired.FencingToken(), ExpectedOrdersTaken: load.OrdersTaken,
	}
	l.lastOrderRun, l.lastOrderAt = runner.Run(), time.Now()
	answer, err := l.sidecar.Runner.Order(ctx, l.lastOrder)
	if err != nil {
		l.sidecar.Log.Error(err, "no response to order", "decision", "wait", "runner", runner.ID, "weights", desired.Version, "after", load.OrdersTaken)
		return
	}
	l.sidecar.Log.Info("order sent", "decision", answer.Status, "runner", runner.ID, "generation", answer.Generation, "model", desired.Model, "weights", desired.Version,
		"fence", desired.FencingToken(), "after", load.OrdersTaken)
	if answer.Status != platform.OrderRefused { // a refusal may come from another runner that has the address now
		l.sidecar.state.ObserveRun(rillreach.InstanceRun{ID: runner.ID, Generation: answer.Generation})
	}
}
