package localstate

import (
	"maps"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

const (
	// departureMemory is how long a removal is remembered; a copy of the store is some seconds old.
	departureMemory = time.Minute
	// holdTime is for how long a record that a copy still has is held back: the platform removes records after three heartbeats of silence, and a
	// runner that lives writes again within two seconds.
	holdTime = 5 * time.Second
)

// departures are the runners that were removed from the list. A copy of the store may list them again: such a record isn't used until the runner has
// written it again, or it has stayed for longer than that of a runner that is gone. Its zero value is ready.
type departures struct {
	mu sync.Mutex
	// removed says when runners were removed, and stale holds those of them that were removed before the store came back from a copy.
	removed map[rillreach.InstanceID]time.Time
	stale   map[rillreach.InstanceID]time.Time
	held    map[rillreach.InstanceID]heldRecord
}

// heldRecord is a record that may be a copy's, and since when it is held back.
type heldRecord struct {
	runner deployment.Runner
	since  time.Time
}

// add records that a runner was removed.
func (d *departures) add(id rillreach.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.removed == nil {
		d.removed = map[rillreach.InstanceID]time.Time{}
	}
	d.removed[id] = now
}

// restored records that the store has come back from a copy, which may still have what was removed before.
func (d *departures) restored(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stale == nil {
		d.stale, d.held = map[rillreach.InstanceID]time.Time{}, map[rillreach.InstanceID]heldRecord{}
	}
	maps.Copy(d.stale, d.removed)
	d.removed = nil
	forgetBefore(d.stale, now.Add(-departureMemory))
}

// hold keeps a listed record back that may be a copy's, and reports whether it does.
func (d *departures) hold(r deployment.Runner, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.stale[r.ID]; !ok {
		return false
	}
	since := now
	if known, ok := d.held[r.ID]; ok {
		since = known.since
	}
	d.held[r.ID] = heldRecord{runner: r, since: since}
	return true
}

// forget records that a runner has written its record since the store came back.
func (d *departures) forget(id rillreach.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.stale, id)
	delete(d.held, id)
}

// drop gives up a record that is held back and has been removed.
func (d *departures) drop(id rillreach.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.held, id)
}

// retain drops all but the records that are listed.
func (d *departures) retain(listed map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.held, func(id rillreach.InstanceID, _ heldRecord) bool { return !listed[string(id)] })
}

// due takes the records that have been held back for long enough, and forgets old removals.
func (d *departures) due(now time.Time) []deployment.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	forgetBefore(d.removed, now.Add(-departureMemory))
	forgetBefore(d.stale, now.Add(-departureMemory))
	var due []deployment.Runner
	for id, h := range d.held {
		if now.Sub(h.since) >= holdTime {
			due = append(due, h.runner)
			delete(d.held, id)
			delete(d.stale, id)
		}
	}
	return due
}

func forgetBefore(times map[rillreach.InstanceID]time.Time, oldest time.Time) {
	maps.DeleteFunc(times, func(_ rillreach.InstanceID, at time.Time) bool { return at.Before(oldest) })
}

// admitHeld lists the runners whose records have been held back for long enough.
func (s *State) admitHeld(now time.Time) {
	s.entries.Lock()
	defer s.entries.Unlock()
	for _, r := range s.departures.due(now) {
		s.noteRunners(s.Roster.Put(r))
	}
}
