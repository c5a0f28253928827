package gateway

import (
	"slices"
	"sync"

	"github.com/rillreach/rillreach"
)

// sendHistory records the runners that a request was sent to. It is safe for concurrent use by two attempts of the
// request.
type sendHistory struct {
	mu    sync.Mutex
	count int
	// tried lists the runners of all attempts, including those that could not be reached, and runners those that the
	// request was sent to.
	tried   []rillreach.InstanceID
	runners []rillreach.InstanceID
	// refusals lists the runner of each send that was refused without running.
	refusals []rillreach.InstanceID
}

// recordSend records that the request is being sent to the runner.
func (s *sendHistory) recordSend(id rillreach.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	s.tried = append(s.tried, id)
	s.runners = append(s.runners, id)
}

// recordNotSent corrects recordSend if the request did not reach the runner.
func (s *sendHistory) recordNotSent(id rillreach.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count--
	if i := slices.Index(s.runners, id); i >= 0 {
		s.runners = slices.Delete(s.runners, i, i+1)
	}
}

// recordRefusal records that the runner refused the request without running it.
func (s *sendHistory) recordRefusal(id rillreach.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = append(s.refusals, id)
}

// mayHaveRun returns, without duplicates, the runners that have not refused every send of the request.
func (s *sendHistory) mayHaveRun() []rillreach.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := slices.Clone(s.runners)
	for _, id := range s.refusals {
		if i := slices.Index(remaining, id); i >= 0 {
			remaining = slices.Delete(remaining, i, i+1)
		}
	}
	return slices.Compact(slices.Sorted(slices.Values(remaining)))
}

// allowRetry allows another attempt on the same runner if it is the only one so far.
func (s *sendHistory) allowRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 1 {
		s.runners = nil
	}
}

// sendCount returns how many times the request was sent.
func (s *sendHistory) sendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// runnersUsed returns, without duplicates, the runners that the request was sent to.
func (s *sendHistory) runnersUsed() []rillreach.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Compact(slices.Sorted(slices.Values(s.runners)))
}

// runnersTried returns the runners of all attempts, including those that could not be reached.
func (s *sendHistory) runnersTried() []rillreach.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.tried)
}
