package localstate

import (
	"maps"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/notify"
	"github.com/rillreach/rillreach/roster"
)

const (
	// returnTime is how long after the store's return a runner whose record lapsed meanwhile may take to be listed again;
	// the platform promises about two seconds, and this stays within the shortest bound on leaving runners.
	returnTime = 1800 * time.Millisecond
	// expireEvery is how often doubtful runners are looked at.
	expireEvery = 200 * time.Millisecond
)

// RunnersFollower keeps the list of runners in step with its source.
func (s *State) RunnersFollower(source rillreach.Source[*deployment.Runner], wait, gather time.Duration, kick <-chan struct{}) rillreach.Controller {
	var asked question
	return &follow.Controller[*deployment.Runner]{
		Kind: "runners", Wake: kick, Source: source, WatchTimeout: wait, CoalesceDelay: gather, Log: s.Log,
		PaceOverride: s.RelayPace, Relays: s.Relays, Topic: notify.KindRunners, NoticeTTL: s.NoticeTTL, Progress: &s.runnersProgress,
		BeforeRequest: func() { asked = question{at: time.Now(), suspended: s.stalls.suspension()} },
		OnRestored:    s.departures.restored, OnListed: s.listRunners, OnChanged: s.changeRunner,
		OnConfirmed: func() { s.Roster.MarkComplete(s.answeredAt(asked, time.Now())) },
	}
}

// question is when the source was asked, and for how long the machine had been suspended until then.
type question struct {
	at        time.Time
	suspended time.Duration
}

// answeredAt is when a question that was asked before was answered at the earliest: its answer may have waited for this process to go on
// after a stall, or for the machine after a suspension, which makes the answer older than the clock says.
func (s *State) answeredAt(asked question, now time.Time) time.Time {
	if s.stalls.stalledSince(asked.at, now) {
		return asked.at.Add(asked.suspended - s.stalls.suspension())
	}
	return now
}

// listRunners takes over a whole list: what it has that cannot be used goes at once, what it lacks may lapse later.
func (s *State) listRunners(all []rillreach.Update[*deployment.Runner], returned time.Time) {
	s.entries.Lock()
	defer s.entries.Unlock()
	now := time.Now()
	s.retainRunners(all)
	var list []deployment.Runner
	var unstarted []*deployment.Runner
	for _, u := range all {
		switch {
		case !admit(s.Log, "runners", &s.badRunners, u):
			s.removeRunner(now, u.Name, time.Time{})
		case !s.serviceKnown(u.Value):
			s.setAside(now, u.Value)
		default:
			if s.noteStart(u.Value) {
				unstarted = append(unstarted, u.Value)
			}
			noteCold(u.Value, now)
			delete(s.unknownService, u.Value.ID)
			if s.departures.hold(*u.Value, now) {
				continue
			}
			list = append(list, *u.Value)
		}
	}
	s.logUnstarted(unstarted)
	s.noteRunners(s.Roster.Replace(now, list, doubtfulUntil(returned)))
	s.listed.Store(true)
}

// retainRunners forgets the records out of use that a list no longer has; entries is held.
func (s *State) retainRunners(all []rillreach.Update[*deployment.Runner]) {
	listed := namesOf(all)
	s.badRunners.retain(listed)
	s.departures.retain(listed)
	maps.DeleteFunc(s.unknownService, func(id rillreach.InstanceID, _ deployment.Runner) bool { return !listed[string(id)] })
}

// changeRunner takes over one record. A runner whose record can no longer be read isn't used until it can be again: nobody knows what was
// to be said, and it may have been that the runner leaves.
func (s *State) changeRunner(u rillreach.Update[*deployment.Runner], returned time.Time) {
	s.entries.Lock()
	defer s.entries.Unlock()
	now := time.Now()
	switch {
	case u.Gone:
		s.badRunners.remove(u.Name)
		s.departures.drop(rillreach.InstanceID(u.Name))
		s.removeRunner(now, u.Name, doubtfulUntil(returned))
	case !admit(s.Log, "runners", &s.badRunners, u):
		s.removeRunner(now, u.Name, time.Time{})
	case !s.serviceKnown(u.Value):
		s.setAside(now, u.Value)
	default:
		if s.noteStart(u.Value) {
			s.logUnstarted([]*deployment.Runner{u.Value})
		}
		noteCold(u.Value, now)
		delete(s.unknownService, u.Value.ID)
		s.departures.forget(u.Value.ID)
		s.noteRunners(s.Roster.Put(*u.Value))
	}
}

// noteCold works out until when a runner is cold at the latest: its record may have been written just now.
func noteCold(r *deployment.Runner, now time.Time) {
	if r.ColdRemaining > 0 {
		r.ColdUntil = now.Add(r.ColdRemaining)
	}
}

// removeRunner takes a runner out of use, at the given moment or at once where that is zero; entries is held.
func (s *State) removeRunner(now time.Time, name string, doubtful time.Time) {
	id := rillreach.InstanceID(name)
	delete(s.unknownService, id)
	s.noteRunners(s.Roster.Remove(now, id, doubtful))
}

// doubtfulUntil is until when a runner that is no longer listed may still come back, zero where the store never was away.
func doubtfulUntil(returned time.Time) time.Time {
	if returned.IsZero() {
		return time.Time{}
	}
	return returned.Add(returnTime)
}

// mostLogged is how many changes at once have a line each: the first list of a large fleet has thousands, which would take longer to log than to
// take over.
const mostLogged = 100

// logRunners logs what changed, of many changes at once just how many there are of each kind.
func (s *State) logRunners(changes []roster.Change) {
	if len(changes) > mostLogged {
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
