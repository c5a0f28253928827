package site

import (
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strconv"
)

// objectKey names an object.
type objectKey struct{ kind, name string }

// Snapshot is what the store held at a moment.
type Snapshot struct {
	objects  map[string]map[string]object
	events   []event
	floor    uint64
	revision uint64
}

// Snapshot takes a copy of all that the store holds.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: cloneObjects(s.objects), events: slices.Clone(s.events), floor: s.floor, revision: s.revision}
}

// Restore has the store go on from a copy: what was written since is lost, its revisions are given out again, watches are cut, and the era rises.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.events = cloneObjects(c.objects), slices.Clone(c.events)
	s.floor, s.revision, s.restored = c.floor, c.revision, c.revision
	clear(s.removed)
	s.era++
	s.wake()
}

// HideEra leaves the era out of the store's answers, or tells it again.
func (s *Store) HideEra(hidden bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraHidden = hidden
}

func cloneObjects(objects map[string]map[string]object) map[string]map[string]object {
	clone := make(map[string]map[string]object, len(objects))
	for kind, named := range objects {
		clone[kind] = maps.Clone(named)
	}
	return clone
}

// tellEra sets the era on an answer.
func (s *Store) tellEra(w http.ResponseWriter) {
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

// ReapplyLost has the operator and the runners write again what a restore has lost of what they had written, but for what they have written since.
func (s *Store) ReapplyLost(lost Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, named := range lost.objects {
		for name, o := range named {
			if !s.writtenSince(kind, name) && !reflect.DeepEqual(s.objects[kind][name].Spec, o.Spec) {
				s.put(kind, name, o.Spec)
			}
		}
	}
	for kind, named := range s.objects {
		for name := range named {
			if _, there := lost.objects[kind][name]; !there && !s.writtenSince(kind, name) {
				s.remove(kind, name)
			}
		}
	}
}

// writtenSince reports that an object has been written or removed since the last restore; the lock is held.
func (s *Store) writtenSince(kind, name string) bool {
	return s.objects[kind][name].Metadata.Revision > s.restored || s.removed[objectKey{kind, name}] > s.restored
}
