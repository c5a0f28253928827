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
	// lookEvery is how often the runner is asked how it is; on the same instance that costs nothing but processor time.
	lookEvery = 40 * time.Millisecond
	// lookSeldom bounds the interval where entries are told seldomer than that: a load of weights is announced 300 ms ahead.
	lookSeldom = 100 * time.Millisecond
)

// loader brings the runner to the newest weights.
type loader struct {
	sidecar   *Sidecar
	loadOrder loadOrder
	// schedules are the starts that the runner's loads were given, by model.
	schedules map[rillreach.ModelID]*weights.Schedule

	// given is the last order, for the runner's run that it was meant for.
	given   platform.Order
	givenTo rillreach.InstanceRun
	givenAt time.Time
	said    weights.Action
	silent  bool
}

// Name is the controller's name.
func (l *loader) Name() string { return "load-weights" }

// Run looks at the runner until the context ends.
func (l *loader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, lookInterval(l.sidecar.publisher.ownZonePace()))
		l.look(ctx)
	}
	return nil
}

// lookInterval is how often the runner is asked where entries of its zone are told of it at a pace: twice for each time, since who hears of
// it later has no use for more. Among 180 agents that is 11 times a second for 25.
func lookInterval(pace time.Duration) time.Duration {
	return min(max(lookEvery, pace/2), lookSeldom)
}

// look compares what the runner has with what is wanted, and acts on the difference.
func (l *loader) look(ctx context.Context) {
	s := l.sidecar
	if s.state.Roster.ByAddress(s.Settings.RunnerAddress) == nil {
		return
	}
	load, err := s.Runner.Report(ctx)
	l.note(ctx, err)
	if err != nil {
		if ctx.Err() == nil { // it is the runner that did not answer, not this agent that stopped asking
			s.publisher.silence()
		}
		return
	}
	self := s.observe(telemetry.StartInReport, load.Generation)
	if self == nil {
		return // it is an earlier run's
	}
	info := self.Info()
	next := rollout{loading: load.LoadingWeights}
	for model, loaded := range load.Weights {
		named, since := s.state.NamedWeights(model)
		if named.Version == 0 {
			continue // nobody has named weights yet
		}
		next = next.and(l.decide(ctx, info, load, named, loaded, time.Since(since)))
	}
	s.publisher.set(load, next)
}

// kick has the list of runners asked for at once, and again a little later, since a new run is listed only then.
func (l *loader) kick() {
	for _, after := range []time.Duration{0, relistAfter, 2 * relistAfter} {
		time.AfterFunc(after, func() {
			select {
			case l.sidecar.restarted <- struct{}{}:
			default:
			}
		})
	}
}

// relistAfter is how long a new run takes to be listed: about a heartbeat.
const relistAfter = 1200 * time.Millisecond

// note logs the loss and the return of the runner.
func (l *loader) note(ctx context.Context, err error) {
	if silent := err != nil; silent != l.silent && ctx.Err() == nil {
		l.silent = silent
		if silent {
			l.sidecar.Log.Error(err, "dependency lost", "dependency", "runner", "address", l.sidecar.Settings.RunnerAddress)
			return
		}
		l.sidecar.Log.Info("dependency regained", "dependency", "runner", "address", l.sidecar.Settings.RunnerAddress)
		l.kick()
	}
}

// decide acts on one model's weights, and returns what entries should know of it.
func (l *loader) decide(ctx context.Context, self deployment.Runner, load deployment.Load, named deployment.DesiredWeights, loaded deployment.WeightVersion, since time.Duration) rollout {
	rank, total := l.loadOrder.rank(l.sidecar.state.Roster.ByService(self.Service), named, self.ID)
	situation := weights.Input{
		Newest: named.Version, Loaded: loaded, KnownFor: since, Bound: l.sidecar.Settings.Bounds.WeightsRollout, Rank: rank, Total: total,
		Busy: load.LoadingWeights, Leaving: self.Leaving || load.Leaving,
	}
	byRank := time.Now().Add(weights.StartDelay(rank, total, situation.Bound) - since)
	start := l.schedule(named.Model).Update(loaded, named.Version, byRank)
	situation.EarlierBy = byRank.Sub(start)
	if l.givenTo == self.Run() && l.given.Weights == named.Version {
		situation.SinceOrder = time.Since(l.givenAt)
	}
	action := weights.Decide(situation)
	if action != l.said {
		l.said = action
		l.sidecar.Log.Info("weights", "decision", action, "model", named.Model, "named", named.Version, "loaded", loaded,
			"rank", rank, "total", total, "since", since.String(), "earlier", situation.EarlierBy.String(), "busy", load.LoadingWeights)
	}
	if action == weights.ActionLoad {
		l.order(ctx, self, load, named)
	}
	return rolloutOf(action, start)
}

// schedule is the one of a model.
func (l *loader) schedule(model rillreach.ModelID) *weights.Schedule {
	if l.schedules == nil {
		l.schedules = map[rillreach.ModelID]*weights.Schedule{}
	}
	if l.schedules[model] == nil {
		l.schedules[model] = &weights.Schedule{}
	}
	return l.schedules[model]
}

func (l *loader) order(ctx context.Context, self deployment.Runner, load deployment.Load, named deployment.DesiredWeights) {
	l.given = platform.Order{
		Runner: self.ID, Model: named.Model, Weights: named.Version,
		Issuer: l.sidecar.Settings.Name, FencingToken: named.FencingToken(), ExpectedOrdersTaken: load.OrdersTaken,
	}
	l.givenTo, l.givenAt = self.Run(), time.Now()
	answer, err := l.sidecar.Runner.Order(ctx, l.given)
	if err != nil {
		l.sidecar.Log.Error(err, "order without answer", "decision", "wait", "runner", self.ID, "weights", named.Version, "after", load.OrdersTaken)
		return
	}
	l.sidecar.Log.Info("order given", "decision", answer.Status, "runner", self.ID, "generation", answer.Generation, "model", named.Model, "weights", named.Version,
		"fence", named.FencingToken(), "after", load.OrdersTaken)
	if answer.Status != platform.OrderRefused { // a refusal may be another runner's at the address
		l.sidecar.state.ObserveRun(rillreach.InstanceRun{ID: self.ID, Generation: answer.Generation})
	}
}
