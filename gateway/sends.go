package gateway

import (
	"slices"
	"sync"

	"github.com/rillreach/rillreach"
)

// sendOutcome is what the entry knows of a send of a request to a runner.
type sendOutcome int

const (
	// sendMayHaveRun is the outcome of each send until more is known.
	sendMayHaveRun sendOutcome = iota
	// sendNotMade means that the request did not reach the runner.
	sendNotMade
	// sendRefused means that the runner stated that it did not run the request.
	sendRefused
	// sendMisdirected means that another process answered at the runner's address, so that the runner had ended before.
	sendMisdirected
	// sendWithdrawn means that the request may have run until the entry itself ended it for another attempt.
	sendWithdrawn
	// sendOutdated means that the runner refused only because it has other weights than the entry assumed.
	sendOutdated
)

// send is one send of a request to a runner.
type send struct {
	runner  rillreach.InstanceID
	outcome sendOutcome
}

// sendHistory records the sends of a request. It is safe for concurrent use by two attempts of the request, which never
// use the same runner.
type sendHistory struct {
	mu    sync.Mutex
	sends []send
}

// recordSend records that the request is being sent to the runner.
func (s *sendHistory) recordSend(id rillreach.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = append(s.sends, send{runner: id})
}

// recordOutcome records the outcome of the latest send to the runner.
func (s *sendHistory) recordOutcome(id rillreach.InstanceID, outcome sendOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.sends) - 1; i >= 0; i-- {
		if s.sends[i].runner == id {
			s.sends[i].outcome = outcome
			return
		}
	}
}

// recordWithdrawn records that the entry has ended the latest send to the runner for another attempt, unless its outcome is
// known.
func (s *sendHistory) recordWithdrawn(id rillreach.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.sends) - 1; i >= 0; i-- {
		if s.sends[i].runner != id {
			continue
		}
		if s.sends[i].outcome == sendMayHaveRun {
			s.sends[i].outcome = sendWithdrawn
		}
		return
	}
}

// recordOutdated records that the runner refused the latest send because of its weights. Only the first send of a
// request may be repeated at the same runner for this reason.
func (s *sendHistory) recordOutdated(id rillreach.InstanceID) {
	if s.sendCount() == 1 {
		s.recordOutcome(id, sendOutdated)
	}
}

// runCount returns how many sends may have run the request. A runner that broke off and was sent the request again
// counts twice, one whose run was withdrawn before counts once.
func (s *sendHistory) runCount() int {
	began := s.runnersOf(sendMayHaveRun)
	withdrawn := distinct(s.runnersOf(sendWithdrawn))
	withdrawn = slices.DeleteFunc(withdrawn, func(id rillreach.InstanceID) bool { return slices.Contains(began, id) })
	return len(began) + len(withdrawn)
}

// runnersToAskAgain returns the runners whose only run was withdrawn. They may be sent the request once more even if no
// further runner may be.
func (s *sendHistory) runnersToAskAgain() []rillreach.InstanceID {
	withdrawn := s.runnersOf(sendWithdrawn)
	if len(withdrawn) == 0 {
		return nil
	}
	runs := map[rillreach.InstanceID]int{}
	for _, id := range s.runnersBegun() {
		runs[id]++
	}
	return slices.DeleteFunc(withdrawn, func(id rillreach.InstanceID) bool { return runs[id] > 1 })
}

// distinct sorts the runners and removes duplicates.
func distinct(runners []rillreach.InstanceID) []rillreach.InstanceID {
	slices.Sort(runners)
	return slices.Compact(runners)
}

// refusingRunnerCount returns how many runners have refused the request and may not have run it either.
func (s *sendHistory) refusingRunnerCount() int {
	refused, begun := distinct(s.runnersOf(sendRefused)), s.runnersBegun()
	refused = slices.DeleteFunc(refused, func(id rillreach.InstanceID) bool { return slices.Contains(begun, id) })
	return len(refused)
}

// sendCount returns how many times the request was sent.
func (s *sendHistory) sendCount() int {
	return len(s.runnersOf(sendMayHaveRun, sendWithdrawn, sendRefused, sendMisdirected, sendOutdated))
}

// runnersUsed returns, without duplicates, the runners that the request was sent to, other than those that had ended.
func (s *sendHistory) runnersUsed() []rillreach.InstanceID {
	return distinct(s.runnersOf(sendMayHaveRun, sendWithdrawn, sendRefused))
}

// runnersTried returns the runners of all sends, including those that could not be reached.
func (s *sendHistory) runnersTried() []rillreach.InstanceID {
	return s.runnersOf(sendMayHaveRun, sendWithdrawn, sendNotMade, sendRefused, sendMisdirected, sendOutdated)
}

// runnersBegun returns the runners that may have run the request.
func (s *sendHistory) runnersBegun() []rillreach.InstanceID {
	return s.runnersOf(sendMayHaveRun, sendWithdrawn)
}

// runnersOf returns the runner of each send that has one of the outcomes.
func (s *sendHistory) runnersOf(outcomes ...sendOutcome) []rillreach.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runners []rillreach.InstanceID
	for _, one := range s.sends {
		if slices.Contains(outcomes, one.outcome) {
			runners = append(runners, one.runner)
		}
	}
	return runners
}
