package gateway

import (
	"slices"
	"sync"

	"github.com/rillreach/rillreach"
)

// sendHistory records where a request was sent. Two attempts of one request may run at the same time, so that it has a lock of its own.
type sendHistory struct {
	mu    sync.Mutex
	count int
	// tried are the runners that were asked, also those that could not be reached, and runners those that the request was sent to.
	tried   []rillreach.InstanceID
	runners []rillreach.InstanceID
	// refusals are the sends of these that runners have refused as not run, by runner.
	refusals []rillreach.InstanceID
}

// recordSend records that the request goes to the runner.
func (s *sendHistory) recordSend(id rillreach.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	s.tried = append(s.tried, id)
	s.runners = append(s.runners, id)
}

// recordNotSent records that the request that goes to the runner has not reached it.
func (s *sendHistory) recordNotSent(id rillreach.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count--
	if i := slices.Index(s.runners, id); i >= 0 {
		s.runners = slices.Delete(s.runners, i, i+1)
	}
}

// recordRefusal records that the runner has not run what was sent to it.
func (s *sendHistory) recordRefusal(id rillreach.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = append(s.refusals, id)
}

// mayHaveRun are the runners that the request was sent to and that have not refused all of it, each once.
func (s *sendHistory) mayHaveRun() []rillreach.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := slices.Clone(s.runners)
	for _, id := range s.refusals {
		if i := slices.Index(open, id); i >= 0 {
			open = slices.Delete(open, i, i+1)
		}
	}
	return slices.Compact(slices.Sorted(slices.Values(open)))
}

// allowRetry lets the request's only runner be asked once more.
func (s *sendHistory) allowRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 1 {
		s.runners = nil
	}
}

// sendCount is how often the request was sendCount.
func (s *sendHistory) sendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// runnersUsed are the runners that the request was sent to, each once.
func (s *sendHistory) runnersUsed() []rillreach.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Compact(slices.Sorted(slices.Values(s.runners)))
}

// runnersTried are the runners that were runnersTried, also those that could not be reached.
func (s *sendHistory) runnersTried() []rillreach.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.tried)
}
