package sidecar

import (
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/telemetry"
)

// observe takes over which run the runner beside the agent says it is. It returns the runner, or nil where that is not listed or a
// later run of it is known.
func (s *Sidecar) observe(source telemetry.StartSource, generation rillreach.Generation) *roster.Runner {
	self := s.state.Roster.ByAddress(s.Settings.RunnerAddress)
	if self == nil {
		return nil
	}
	s.noteStart(source, generation)
	return s.state.ObserveRun(rillreach.InstanceRun{ID: self.Info().ID, Generation: generation})
}

// noteStart counts a word of the runner that tells no start, and logs the first of several in a row.
func (s *Sidecar) noteStart(source telemetry.StartSource, generation rillreach.Generation) {
	if generation == 0 {
		s.Metrics.UnknownStart(source)
	}
	if s.starts.set(source, generation == 0) {
		s.Log.Info("runner tells no start", "decision", "use", "source", source, "address", s.Settings.RunnerAddress)
	}
}

// startLog is which sources last told no start; its zero value is ready.
type startLog struct {
	mu      sync.Mutex
	unknown map[telemetry.StartSource]bool
}

// set notes whether a source tells no start, and reports whether it has just ceased to tell it.
func (l *startLog) set(source telemetry.StartSource, unknown bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unknown == nil {
		l.unknown = map[telemetry.StartSource]bool{}
	}
	ceased := unknown && !l.unknown[source]
	l.unknown[source] = unknown
	return ceased
}

// reports says whether the load is the run's own, as far as is known.
func reports(run rillreach.InstanceRun, load deployment.Load) bool {
	return load.Generation == 0 || run.Generation == 0 || load.Generation == run.Generation
}

// unreported is the load of a run that has not reported itself: it counts as silent. Of another run's report only the clock holds,
// which all runners share.
func unreported(other deployment.Load) deployment.Load {
	return deployment.Load{Clock: other.Clock, Unresponsive: true}
}
