package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/roster"
)

const (
	// liftedLimitRetention is how long a runner is kept after its limit was lifted, so that an agent that is
	// unreachable now is still told.
	liftedLimitRetention = 3 * time.Second
	// allocationTimeout is how long an agent may allocate no permits under a limit before the limit is reported to it
	// again.
	allocationTimeout = time.Second
)

// limitedRunners tracks the runners that have stated a limit lately. The zero value is empty.
type limitedRunners struct {
	// changed wakes its waiters when the limit of a runner has changed.
	changed broadcast.Signal

	mu       sync.Mutex
	byRunner map[*roster.Runner]*limitState
}

// limitState holds when the limit of a runner changed and whether there is something to report.
type limitState struct {
	// changedAt is when the limit last changed.
	changedAt time.Time
	// unreportedSince is when the last unreported observation was made. It is zero if there is none.
	unreportedSince time.Time
}

// recordChange records that the limit of a runner has changed.
func (l *limitedRunners) recordChange(r *roster.Runner, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(r).changedAt = now
}

// markUnreported records that there is an observation of the runner's limit to report.
func (l *limitedRunners) markUnreported(r *roster.Runner, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state(r)
	state.unreportedSince = now
	if state.changedAt.IsZero() {
		state.changedAt = now // so that it is kept as long as a runner whose limit was just lifted
	}
}

// state returns the state of a runner and creates it if needed. l.mu must be held.
func (l *limitedRunners) state(r *roster.Runner) *limitState {
	if l.byRunner == nil {
		l.byRunner = map[*roster.Runner]*limitState{}
	}
	if l.byRunner[r] == nil {
		l.byRunner[r] = &limitState{}
	}
	return l.byRunner[r]
}

// current returns the tracked runners. It drops those that are no longer listed or whose limit was lifted long ago.
func (l *limitedRunners) current(list *roster.Roster, now time.Time) []*roster.Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runners []*roster.Runner
	for r, state := range l.byRunner {
		lifted := !r.Limit().Limit.Bounded && now.Sub(state.changedAt) >= liftedLimitRetention
		if lifted || list.Find(r.Info().ID) != r {
			delete(l.byRunner, r)
			continue
		}
		runners = append(runners, r)
	}
	return runners
}

// unreported returns those of the runners that have something to report, or whose agent seems not to know of the limit.
func (l *limitedRunners) unreported(runners []*roster.Runner, now time.Time) []*roster.Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unreported []*roster.Runner
	for _, r := range runners {
		state := l.byRunner[r]
		unallocated := r.Limit().Limit.Bounded && r.SinceLimitGrant(now) >= allocationTimeout
		if state != nil && (!state.unreportedSince.IsZero() || unallocated) {
			unreported = append(unreported, r)
		}
	}
	return unreported
}

// markReported records that all observations up to the given time were reported.
func (l *limitedRunners) markReported(runners []*roster.Runner, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range runners {
		if state := l.byRunner[r]; state != nil && !state.unreportedSince.After(until) {
			state.unreportedSince = time.Time{}
		}
	}
}
