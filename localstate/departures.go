package localstate

import (
	"maps"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

const (
	// removalRetention is how long a removal is remembered. It covers the age of a backup of the store,
	// which is a few seconds.
	removalRetention = time.Minute
	// holdDuration is how long a record that a restored store still has is held back. The platform removes a
	// record after three missed heartbeats, and a live runner rewrites its record within two seconds.
	holdDuration = 5 * time.Second
)

// removedRunners remembers the runners that were removed from the list. A store that was restored from a backup
// may list them again. Such a record is held back until the runner rewrites it, or until it has existed for longer
// than the record of a dead runner would. The zero value is ready to use.
type removedRunners struct {
	mu sync.Mutex
	// removed holds the removal times, and removedBeforeRestore those of removals before the store was
	// restored from a backup.
	removed              map[rillreach.InstanceID]time.Time
	removedBeforeRestore map[rillreach.InstanceID]time.Time
	held                 map[rillreach.InstanceID]heldRecord
}

// heldRecord is a record that may stem from a backup, and the time since when it is held back.
type heldRecord struct {
	runner deployment.Runner
	since  time.Time
}

// add records the removal of a runner.
func (d *removedRunners) add(id rillreach.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.removed == nil {
		d.removed = map[rillreach.InstanceID]time.Time{}
	}
	d.removed[id] = now
}

// markRestored records that the store was restored from a backup, which may still list runners that
// were removed before.
func (d *removedRunners) markRestored(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.removedBeforeRestore == nil {
		d.removedBeforeRestore, d.held = map[rillreach.InstanceID]time.Time{}, map[rillreach.InstanceID]heldRecord{}
	}
	maps.Copy(d.removedBeforeRestore, d.removed)
	d.removed = nil
	deleteBefore(d.removedBeforeRestore, now.Add(-removalRetention))
}

// holdBack holds back a listed record if it may stem from a backup, and reports whether it does.
func (d *removedRunners) holdBack(r deployment.Runner, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.removedBeforeRestore[r.ID]; !ok {
		return false
	}
	since := now
	if known, ok := d.held[r.ID]; ok {
		since = known.since
	}
	d.held[r.ID] = heldRecord{runner: r, since: since}
	return true
}

// confirm records that a runner has rewritten its record since the store was restored.
func (d *removedRunners) confirm(id rillreach.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.removedBeforeRestore, id)
	delete(d.held, id)
}

// dropHeld forgets a held record that has been removed from the store.
func (d *removedRunners) dropHeld(id rillreach.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.held, id)
}

// retain forgets the held records that are no longer listed.
func (d *removedRunners) retain(listed map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.held, func(id rillreach.InstanceID, _ heldRecord) bool { return !listed[string(id)] })
}

// takeDue returns and forgets the records that have been held back for holdDuration. It also forgets old removals.
func (d *removedRunners) takeDue(now time.Time) []deployment.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	deleteBefore(d.removed, now.Add(-removalRetention))
	deleteBefore(d.removedBeforeRestore, now.Add(-removalRetention))
	var due []deployment.Runner
	for id, h := range d.held {
		if now.Sub(h.since) >= holdDuration {
			due = append(due, h.runner)
			delete(d.held, id)
			delete(d.removedBeforeRestore, id)
		}
	}
	return due
}

func deleteBefore(times map[rillreach.InstanceID]time.Time, oldest time.Time) {
	maps.DeleteFunc(times, func(_ rillreach.InstanceID, at time.Time) bool { return at.Before(oldest) })
}

// listHeldRunners adds the runners to the roster whose records have been held back for holdDuration.
func (s *State) listHeldRunners(now time.Time) {
	s.runnersMu.Lock()
	defer s.runnersMu.Unlock()
	for _, r := range s.removedRunners.takeDue(now) {
		s.handleRunnerChanges(s.Roster.Put(r))
	}
}
