package notify

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/broadcast"
)

// Tracker is what relays have told a process; its zero value has heard nothing.
type Tracker struct {
	newer broadcast.Signal

	mu    sync.Mutex
	kinds map[Kind]heard
}

// heard is what is known of one kind.
type heard struct {
	revision  rillreach.Revision
	confirmed time.Time
}

// Receive takes over a notice that has just come.
func (t *Tracker) Receive(n Notice, now time.Time) {
	if t.take(n, now) {
		t.newer.Wake()
	}
}

// take takes over a notice; it reports whether it tells of a newer revision. A relay that has not heard of the store's present era confirms nothing.
func (t *Tracker) take(n Notice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds == nil {
		t.kinds = map[Kind]heard{}
	}
	h := t.kinds[n.Kind]
	if n.Revision.Era < h.revision.Era {
		return false
	}
	newer := n.Revision.After(h.revision)
	if n.Revision.Era > h.revision.Era {
		h.confirmed = time.Time{}
	}
	if newer {
		h.revision = n.Revision
	}
	if at := now.Add(-n.Age); at.After(h.confirmed) {
		h.confirmed = at
	}
	t.kinds[n.Kind] = h
	return newer
}

// Changed gives a channel that is closed with the next newer revision of any kind.
func (t *Tracker) Changed() <-chan struct{} { return t.newer.Wait() }

// ConfirmedAt is when a relay last knew the newest objects of the kind, the zero time where none has told.
func (t *Tracker) ConfirmedAt(kind Kind) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kinds[kind].confirmed
}

// ShouldPoll reports that a process that has followed a kind up to a revision should ask the store: a relay has seen a later change, or none has
// told in the revision's era for longer than the given time that there is none.
func (t *Tracker) ShouldPoll(kind Kind, revision rillreach.Revision, now time.Time, trust time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.kinds[kind]
	return h.revision.After(revision) || h.revision.Era < revision.Era || now.Sub(h.confirmed) > trust
}
