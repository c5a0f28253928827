package notify

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/broadcast"
)

// Tracker merges the notices that a process receives from relays. Its zero value is ready to use, and its methods may
// be called concurrently.
type Tracker struct {
	newRevision broadcast.Signal

	mu    sync.Mutex
	kinds map[Kind]kindState
}

// kindState is the state of one kind.
type kindState struct {
	// revision is the newest revision in any notice.
	revision rillreach.Revision
	// confirmedAt is the last time at which the store had no newer revision, according to a relay.
	confirmedAt time.Time
}

// Receive processes a notice that arrived at the given time.
func (t *Tracker) Receive(n Notice, now time.Time) {
	if t.apply(n, now) {
		t.newRevision.Wake()
	}
}

// apply merges a notice and reports whether its revision is the newest so far. It ignores notices from an earlier era:
// such a relay has not noticed yet that the store was restored, so that its response times confirm nothing.
func (t *Tracker) apply(n Notice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds == nil {
		t.kinds = map[Kind]kindState{}
	}
	state := t.kinds[n.Kind]
	if n.Revision.Era < state.revision.Era {
		return false
	}
	isNewer := n.Revision.After(state.revision)
	if n.Revision.Era > state.revision.Era {
		state.confirmedAt = time.Time{}
	}
	if isNewer {
		state.revision = n.Revision
	}
	if confirmed := now.Add(-n.Age); confirmed.After(state.confirmedAt) {
		state.confirmedAt = confirmed
	}
	t.kinds[n.Kind] = state
	return isNewer
}

// Changed returns a channel that is closed when a newer revision of any kind is received.
func (t *Tracker) Changed() <-chan struct{} { return t.newRevision.Wait() }

// ConfirmedAt returns the last time at which the store had no changes of the kind that were newer than those notified,
// according to a relay. It is zero if no relay has confirmed that.
func (t *Tracker) ConfirmedAt(kind Kind) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kinds[kind].confirmedAt
}

// ShouldPoll reports whether a process that knows all changes of a kind up to a revision should query the store. It
// should if a relay has reported a later change, if relays know only an earlier era, or if no relay has confirmed
// within maxAge that there is no later change.
func (t *Tracker) ShouldPoll(kind Kind, known rillreach.Revision, now time.Time, maxAge time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.kinds[kind]
	return state.revision.After(known) || state.revision.Era < known.Era || now.Sub(state.confirmedAt) > maxAge
}
