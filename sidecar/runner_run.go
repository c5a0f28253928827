package sidecar

import (
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/telemetry"
)

// observeRun records which run the agent's own runner reports as its own. It returns the runner, or nil if it is not
// listed or a later run of it is known.
func (s *Sidecar) observeRun(source telemetry.StartSource, generation rillreach.Generation) *roster.Runner {
	self := s.state.Roster.ByAddress(s.Settings.RunnerAddress)
	if self == nil {
		return nil
	}
	s.checkGeneration(source, generation)
	return s.state.ObserveRun(rillreach.InstanceRun{ID: self.Info().ID, Generation: generation})
}

// checkGeneration counts a response of the runner without a generation, and logs the first of several in a row.
func (s *Sidecar) checkGeneration(source telemetry.StartSource, generation rillreach.Generation) {
	if generation == 0 {
		s.Metrics.CountUnknownStart(source)
	}
	if s.missingGenerations.record(source, generation == 0) {
		s.Log.Info("runner reports no generation", "decision", "use", "source", source, "address", s.Settings.RunnerAddress)
	}
}

// missingGenerationTracker tracks which sources had no generation when last seen. The zero value is ready to use.
type missingGenerationTracker struct {
	mu       sync.Mutex
	bySource map[telemetry.StartSource]bool
}

// record records whether a source's generation is missing, and reports whether that is new.
func (t *missingGenerationTracker) record(source telemetry.StartSource, missing bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bySource == nil {
		t.bySource = map[telemetry.StartSource]bool{}
	}
	becameMissing := missing && !t.bySource[source]
	t.bySource[source] = missing
	return becameMissing
}

// generationMatches reports whether the load may be the run's own: their generations are equal or one is unknown.
func generationMatches(run rillreach.InstanceRun, load deployment.Load) bool {
	return load.Generation == 0 || run.Generation == 0 || load.Generation == run.Generation
}

// unresponsiveLoad returns the load of a run that has not sent a report yet, which counts as unresponsive. Of the given
// report of another run, only the clock applies, since all runners share it.
func unresponsiveLoad(report deployment.Load) deployment.Load {
	return deployment.Load{Clock: report.Clock, Unresponsive: true}
}
