package site

import (
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strconv"
)

// objectKey identifies an object.
type objectKey struct{ kind, name string }

// Snapshot is the contents of a store at one time.
type Snapshot struct {
	objects      map[string]map[string]object
	events       []event
	historyStart uint64
	revision     uint64
}

// Snapshot returns a snapshot of the store.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: cloneObjects(s.objects), events: slices.Clone(s.events), historyStart: s.historyStart, revision: s.revision}
}

// Restore resets the store to a snapshot and increments the era. Later writes are lost, their revisions are reused and
// open watches are closed without a response.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.events = cloneObjects(snapshot.objects), slices.Clone(snapshot.events)
	s.historyStart, s.revision, s.restoredRevision = snapshot.historyStart, snapshot.revision, snapshot.revision
	clear(s.removedAt)
	s.era++
	s.notifyWatchers()
}

// SetEraHidden sets whether the era is omitted from responses.
func (s *Store) SetEraHidden(hidden bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraHidden = hidden
}

func cloneObjects(objects map[string]map[string]object) map[string]map[string]object {
	clone := make(map[string]map[string]object, len(objects))
	for kind, byName := range objects {
		clone[kind] = maps.Clone(byName)
	}
	return clone
}

// setEraHeader sets the response header with the era, unless the era is hidden.
func (s *Store) setEraHeader(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eraHidden {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

func (s *Store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// ReapplyLost repeats the writes and removals that a restore lost, as the operator and the runners would. lost is a
// snapshot from just before the restore. Objects that were written or removed since the restore stay as they are.
func (s *Store) ReapplyLost(lost Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, byName := range lost.objects {
		for name, o := range byName {
			if !s.changedSinceRestore(kind, name) && !reflect.DeepEqual(s.objects[kind][name].Spec, o.Spec) {
				s.put(kind, name, o.Spec)
			}
		}
	}
	for kind, byName := range s.objects {
		for name := range byName {
			if _, existed := lost.objects[kind][name]; !existed && !s.changedSinceRestore(kind, name) {
				s.remove(kind, name)
			}
		}
	}
}

// changedSinceRestore reports whether an object was written or removed since the last restore. s.mu must be held.
func (s *Store) changedSinceRestore(kind, name string) bool {
	return s.objects[kind][name].Metadata.Revision > s.restoredRevision || s.removedAt[objectKey{kind, name}] > s.restoredRevision
}
