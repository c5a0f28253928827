package sidecar

import (
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/telemetry"
)

// observeRun takes over which run the runner beside the agent says it is. It returns the runner, or nil where that is not listed or a
// later run of it is known.
func (s *Sidecar) observeRun(source telemetry.StartSource, generation rillreach.Generation) *roster.Runner {
	self := s.state.Roster.ByAddress(s.Settings.RunnerAddress)
	if self == nil {
		return nil
	}
	s.checkGeneration(source, generation)
	return s.state.ObserveRun(rillreach.InstanceRun{ID: self.Info().ID, Generation: generation})
}

// checkGeneration counts a word of the runner that tells no start, and logs the first of several in a row.
func (s *Sidecar) checkGeneration(source telemetry.StartSource, generation rillreach.Generation) {
	if generation == 0 {
		s.Metrics.UnknownStart(source)
	}
	if s.missingGenerations.record(source, generation == 0) {
		s.Log.Info("runner tells no start", "decision", "use", "source", source, "address", s.Settings.RunnerAddress)
	}
}

// missingGenerationTracker is which sources last told no start; its zero value is ready.
type missingGenerationTracker struct {
	mu       sync.Mutex
	bySource map[telemetry.StartSource]bool
}

// record notes whether a source tells no start, and reports whether it has just ceased to tell it.
func (t *missingGenerationTracker) record(source telemetry.StartSource, missing bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bySource == nil {
		t.bySource = map[telemetry.StartSource]bool{}
	}
	ceased := missing && !t.bySource[source]
	t.bySource[source] = missing
	return ceased
}

// generationMatches says whether the load is the run's own, as far as is known.
func generationMatches(run rillreach.InstanceRun, load deployment.Load) bool {
	return load.Generation == 0 || run.Generation == 0 || load.Generation == run.Generation
}

// unresponsiveLoad is the load of a run that has not reported itself: it counts as silent. Of another run's report only the clock holds,
// which all runners share.
func unresponsiveLoad(report deployment.Load) deployment.Load {
	return deployment.Load{Clock: report.Clock, Unresponsive: true}
}
