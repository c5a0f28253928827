package localstate

import (
	"maps"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

const (
	// relistGrace is how long after an outage of the store a runner whose record expired meanwhile has to be
	// listed again. The platform promises about two seconds. The value must stay within the shortest bound on
	// leaving runners.
	relistGrace = 1800 * time.Millisecond
	// expireInterval is how often scheduled removals are checked.
	expireInterval = 200 * time.Millisecond
)

// RunnersFollower returns a controller that keeps the list of runners in sync with its source.
func (s *State) RunnersFollower(source rillreach.Source[*deployment.Runner], wait, coalesceDelay time.Duration, wake <-chan struct{}) rillreach.Controller {
	var request sourceRequest
	return &follow.Controller[*deployment.Runner]{
		Kind: "runners", Wake: wake, Source: source, WatchTimeout: wait, CoalesceDelay: coalesceDelay, Log: s.Log,
		PaceOverride:  s.Pace,
		BeforeRequest: func() { request = sourceRequest{sentAt: time.Now(), suspendedTime: s.stalls.suspendedTime()} },
		OnRestored:    s.removedRunners.markRestored, OnListed: s.replaceRunners, OnChanged: s.applyRunnerUpdate,
		OnConfirmed: func() { s.Roster.MarkComplete(s.answeredAt(request, time.Now())) },
	}
}

// sourceRequest is when the source was asked, and how long the machine had been suspended in total by then.
type sourceRequest struct {
	sentAt        time.Time
	suspendedTime time.Duration
}

// answeredAt returns the earliest time at which a request may have been answered. If the process stalled or the
// machine was suspended meanwhile, the response may have waited to be read, and is then as old as the request plus
// any suspension, which the clock does not count.
func (s *State) answeredAt(request sourceRequest, now time.Time) time.Time {
	if s.stalls.stalledSince(request.sentAt, now) {
		return request.sentAt.Add(request.suspendedTime - s.stalls.suspendedTime())
	}
	return now
}

// replaceRunners handles a complete list. Runners with unusable records are removed at once; runners that the list
// lacks may be kept for a grace period.
func (s *State) replaceRunners(all []rillreach.Update[*deployment.Runner], regainedAt time.Time) {
	s.runnersMu.Lock()
	defer s.runnersMu.Unlock()
	now := time.Now()
	s.pruneUnlisted(all)
	var list []deployment.Runner
	var missing []*deployment.Runner
	for _, u := range all {
		switch {
		case !checkReadable(s.Log, "runners", &s.unreadableRunners, u):
			s.removeRunner(now, u.Name, time.Time{})
		case !s.serviceKnown(u.Value):
			s.setAside(now, u.Value)
		default:
			if s.checkGeneration(u.Value) {
				missing = append(missing, u.Value)
			}
			setColdUntil(u.Value, now)
			delete(s.unknownServiceRunners, u.Value.ID)
			if s.removedRunners.holdBack(*u.Value, now) {
				continue
			}
			list = append(list, *u.Value)
		}
	}
	s.logMissingGeneration(missing)
	s.handleRunnerChanges(s.Roster.Replace(now, list, removalTime(regainedAt)))
	s.runnersListed.Store(true)
}

// pruneUnlisted forgets unusable records that a list no longer has. runnersMu must be held.
func (s *State) pruneUnlisted(all []rillreach.Update[*deployment.Runner]) {
	listed := namesOf(all)
	s.unreadableRunners.retain(listed)
	s.removedRunners.retain(listed)
	maps.DeleteFunc(s.unknownServiceRunners, func(id rillreach.InstanceID, _ deployment.Runner) bool { return !listed[string(id)] })
}

// applyRunnerUpdate handles a change to one record. A runner whose record cannot be read is not used until it can
// be again, since the record may say that the runner is leaving.
func (s *State) applyRunnerUpdate(u rillreach.Update[*deployment.Runner], regainedAt time.Time) {
	s.runnersMu.Lock()
	defer s.runnersMu.Unlock()
	now := time.Now()
	switch {
	case u.Deleted:
		s.unreadableRunners.remove(u.Name)
		s.removedRunners.dropHeld(rillreach.InstanceID(u.Name))
		s.removeRunner(now, u.Name, removalTime(regainedAt))
	case !checkReadable(s.Log, "runners", &s.unreadableRunners, u):
		s.removeRunner(now, u.Name, time.Time{})
	case !s.serviceKnown(u.Value):
		s.setAside(now, u.Value)
	default:
		if s.checkGeneration(u.Value) {
			s.logMissingGeneration([]*deployment.Runner{u.Value})
		}
		setColdUntil(u.Value, now)
		delete(s.unknownServiceRunners, u.Value.ID)
		s.removedRunners.confirm(u.Value.ID)
		s.handleRunnerChanges(s.Roster.Put(*u.Value))
	}
}

// setColdUntil sets the latest time until which a runner is cold, assuming that its record was written just now.
func setColdUntil(r *deployment.Runner, now time.Time) {
	if r.ColdRemaining > 0 {
		r.ColdUntil = now.Add(r.ColdRemaining)
	}
}

// removeRunner removes a runner at the given time, or at once if that has passed or is zero. runnersMu must be held.
func (s *State) removeRunner(now time.Time, name string, removeAt time.Time) {
	id := rillreach.InstanceID(name)
	delete(s.unknownServiceRunners, id)
	s.handleRunnerChanges(s.Roster.Remove(now, id, removeAt))
}

// removalTime returns when a runner that is no longer listed is to be removed; zero, that is at once, if the store
// has had no outage.
func removalTime(regainedAt time.Time) time.Time {
	if regainedAt.IsZero() {
		return time.Time{}
	}
	return regainedAt.Add(relistGrace)
}

// maxLoggedChanges is the number of changes up to which each is logged on a line of its own. The first list of a
// large fleet has thousands, which would take longer to log than to apply.
const maxLoggedChanges = 100

// logRunnerChanges logs each change, or only the counts by event if there are many.
func (s *State) logRunnerChanges(changes []roster.Change) {
	if len(changes) > maxLoggedChanges {
		counts := map[roster.Event]int{}
		for _, c := range changes {
			counts[c.Event]++
		}
		s.Log.Info("runners changed", "decision", "list", "counts", counts)
		return
	}
	for _, c := range changes {
		s.Log.Info("runner "+string(c.Event), "decision", c.Event, "runner", c.Runner.ID, "generation", c.Runner.Generation, "service", c.Runner.Service,
			"zone", c.Runner.Zone, "leaving", c.Runner.Leaving, "weights", c.Runner.Weights)
	}
}
