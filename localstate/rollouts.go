package localstate

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
)

// KnownRollout is a requested rollout and when this process learned of it. Recorded is the state that the store has; State
// may be a final one that the store has lost.
type KnownRollout struct {
	deployment.Rollout
	Recorded  deployment.RolloutState
	LearnedAt time.Time
}

// Rollouts are the requested rollouts by service. The map must not be modified.
type Rollouts map[rillreach.ServiceID]KnownRollout

// rolloutState holds the requested rollouts. The zero value is not followed and has none.
type rolloutState struct {
	// followed is set if the list is followed, and listed once it has been received.
	followed atomic.Bool
	listed   atomic.Bool
	current  atomic.Pointer[Rollouts]

	unreadable unreadableObjects

	// mu guards writes to current.
	mu sync.Mutex
}

// synced reports whether the list has been received or is not followed.
func (s *rolloutState) synced() bool { return !s.followed.Load() || s.listed.Load() }

func (s *rolloutState) get() Rollouts {
	if r := s.current.Load(); r != nil {
		return *r
	}
	return nil
}

// Rollouts returns the requested rollouts.
func (s *State) Rollouts() Rollouts { return s.rollouts.get() }

// RolloutsFollower returns a controller that keeps the requested rollouts in sync with their source. While a rollout
// cannot be read, the last readable one of its service stays in force.
func (s *State) RolloutsFollower(source rillreach.Source[*deployment.Rollout], wait time.Duration) rillreach.Controller {
	s.rollouts.followed.Store(true)
	return &follow.Controller[*deployment.Rollout]{
		Kind: "rollouts", Source: source, WatchTimeout: wait, Log: s.Log,
		OnListed: func(all []rillreach.Update[*deployment.Rollout], _ time.Time) {
			s.rollouts.unreadable.retain(namesOf(all))
			s.replaceRollouts(all, time.Now())
			s.rollouts.listed.Store(true)
		},
		OnChanged: func(u rillreach.Update[*deployment.Rollout], _ time.Time) { s.applyRollout(u, time.Now()) },
	}
}

// replaceRollouts handles a complete list.
func (s *State) replaceRollouts(all []rillreach.Update[*deployment.Rollout], now time.Time) {
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	before, next := s.rollouts.get(), Rollouts{}
	for _, u := range all {
		service := rillreach.ServiceID(u.Name)
		if checkReadable(s.Log, "rollouts", &s.rollouts.unreadable, u) {
			next[service] = mergeRollout(before, *u.Value, now)
		} else if known, ok := before[service]; ok {
			next[service] = known
		}
	}
	s.setRollouts(next)
}

// applyRollout handles a change to one rollout.
func (s *State) applyRollout(u rillreach.Update[*deployment.Rollout], now time.Time) {
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	before := s.rollouts.get()
	next := maps.Clone(before)
	if next == nil {
		next = Rollouts{}
	}
	switch {
	case u.Deleted:
		s.rollouts.unreadable.remove(u.Name)
		delete(next, rillreach.ServiceID(u.Name))
	case !checkReadable(s.Log, "rollouts", &s.rollouts.unreadable, u):
		return
	default:
		next[u.Value.Service] = mergeRollout(before, *u.Value, now)
	}
	s.setRollouts(next)
}

// mergeRollout returns what is known of a rollout after an update. The same rollout keeps the time at which this process
// learned of it. If the store was restored from a backup, the rollout also keeps a final state that the backup lacks.
func mergeRollout(before Rollouts, r deployment.Rollout, now time.Time) KnownRollout {
	known, ok := before[r.Service]
	if !ok || known.Target != r.Target || known.Duration != r.Duration {
		return KnownRollout{Rollout: r, Recorded: r.State, LearnedAt: now}
	}
	recorded, restored := r.State, r.Revision.Era > known.Revision.Era || known.Recorded != known.State
	if restored && known.State.Ended() && !r.State.Ended() {
		r.State = known.State
	}
	return KnownRollout{Rollout: r, Recorded: recorded, LearnedAt: known.LearnedAt}
}

// setRollouts puts the rollouts in force. The lock must be held.
func (s *State) setRollouts(next Rollouts) {
	before := s.rollouts.get()
	s.rollouts.current.Store(&next)
	for service, r := range next {
		if known, ok := before[service]; !ok || known.Target != r.Target || known.State != r.State {
			s.Log.Info("rollout", "decision", "apply", "service", service, "target", r.Target, "state", r.State, "duration", r.Duration.String(), "revision", r.Revision)
		}
	}
	for service, r := range before {
		if _, ok := next[service]; !ok {
			s.Log.Info("rollout withdrawn", "decision", "apply", "service", service, "target", r.Target)
		}
	}
}
