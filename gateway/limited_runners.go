package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/roster"
)

const (
	// liftedLimitRetention is for how long a runner is kept that names no limit any more, so that an agent which can't be reached now hears of that.
	liftedLimitRetention = 3 * time.Second
	// allocationTimeout is how long an agent may allot nothing under a limit before it is told of it once more.
	allocationTimeout = time.Second
)

// limitedRunners are the runners that name a limit, or lately named one; the zero value has none.
type limitedRunners struct {
	// changed is told when the limit of a runner has changed.
	changed broadcast.Signal

	mu       sync.Mutex
	byRunner map[*roster.Runner]*limitState
}

// limitState is when the limit of one runner changed and was reported.
type limitState struct {
	// changedAt is when its limit last changedAt.
	changedAt time.Time
	// unreportedSince is when there last was something to report, zero where there is nothing.
	unreportedSince time.Time
}

// recordChange records that the limit of a runner has changed.
func (l *limitedRunners) recordChange(r *roster.Runner, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(r).changedAt = now
}

// markUnreported records that there is something to report of a runner.
func (l *limitedRunners) markUnreported(r *roster.Runner, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.state(r)
	known.unreportedSince = now
	if known.changedAt.IsZero() {
		known.changedAt = now // it is kept for as long as one whose limit was just lifted
	}
}

// state is what is known state a runner; the lock is held.
func (l *limitedRunners) state(r *roster.Runner) *limitState {
	if l.byRunner == nil {
		l.byRunner = map[*roster.Runner]*limitState{}
	}
	if l.byRunner[r] == nil {
		l.byRunner[r] = &limitState{}
	}
	return l.byRunner[r]
}

// current are the runners whose limits are to be looked at; those that are no longer listed, or have named no limit for long, are left out from now on.
func (l *limitedRunners) current(list *roster.Roster, now time.Time) []*roster.Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*roster.Runner
	for r, known := range l.byRunner {
		lifted := !r.Limit().Limit.Bounded && now.Sub(known.changedAt) >= liftedLimitRetention
		if lifted || list.Find(r.Info().ID) != r {
			delete(l.byRunner, r)
			continue
		}
		all = append(all, r)
	}
	return all
}

// unreported are those of the runners of which there is something to report, or whose agent seems not to know of the limit.
func (l *limitedRunners) unreported(runners []*roster.Runner, now time.Time) []*roster.Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*roster.Runner
	for _, r := range runners {
		known := l.byRunner[r]
		untold := r.Limit().Limit.Bounded && r.SinceLimitGrant(now) >= allocationTimeout
		if known != nil && (!known.unreportedSince.IsZero() || untold) {
			all = append(all, r)
		}
	}
	return all
}

// markReported records that all was reported that there was until the moment.
func (l *limitedRunners) markReported(runners []*roster.Runner, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range runners {
		if known := l.byRunner[r]; known != nil && !known.unreportedSince.After(until) {
			known.unreportedSince = time.Time{}
		}
	}
}
