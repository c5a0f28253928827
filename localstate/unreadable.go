package localstate

import (
	"sync"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/telemetry"
)

// unreadableObjects holds the names and revisions of the objects of one kind that cannot be read. The zero value
// is empty and ready to use.
type unreadableObjects struct {
	mu        sync.Mutex
	revisions map[string]rillreach.Revision
}

// add reports whether this revision of the object is new.
func (u *unreadableObjects) add(name string, revision rillreach.Revision) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known, ok := u.revisions[name]; ok && known == revision {
		return false
	}
	if u.revisions == nil {
		u.revisions = map[string]rillreach.Revision{}
	}
	u.revisions[name] = revision
	return true
}

func (u *unreadableObjects) remove(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.revisions, name)
}

// retain forgets the objects that are no longer listed.
func (u *unreadableObjects) retain(listed map[string]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range u.revisions {
		if !listed[name] {
			delete(u.revisions, name)
		}
	}
}

func (u *unreadableObjects) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.revisions)
}

// namesOf returns the names of the listed objects.
func namesOf[T any](all []rillreach.Update[T]) map[string]bool {
	names := make(map[string]bool, len(all))
	for i := range all {
		names[all[i].Name] = true
	}
	return names
}

// checkReadable reports whether an object can be read. Each unreadable revision is logged once, however
// often it is listed.
func checkReadable[T any](log logr.Logger, kind string, unreadable *unreadableObjects, u rillreach.Update[T]) bool {
	if u.Err == nil {
		unreadable.remove(u.Name)
		return true
	}
	if unreadable.add(u.Name, u.Revision) {
		log.Error(u.Err, "object refused", "decision", "refuse", "kind", kind, "name", u.Name, "revision", u.Revision)
	}
	return false
}

// Gauges returns gauges for the number of objects in the store that are not used.
func (s *State) Gauges() []telemetry.Gauge {
	return []telemetry.Gauge{
		{Name: "rillreach.objects.unreadable", Description: "objects of the store that cannot be read", Read: func() float64 {
			return float64(s.unreadableConfigs.count() + s.unreadableRunners.count() + s.unreadableWeights.count())
		}},
		{Name: "rillreach.objects.unreadable.config", Description: "configurations of these", Read: func() float64 { return float64(s.unreadableConfigs.count()) }},
		{Name: "rillreach.objects.unreadable.runners", Description: "runners' records of these", Read: func() float64 { return float64(s.unreadableRunners.count()) }},
		{Name: "rillreach.objects.unreadable.weights", Description: "names of weights of these", Read: func() float64 { return float64(s.unreadableWeights.count()) }},
		{Name: "rillreach.runners.unknown_service", Description: "runners of services that the configuration does not name", Read: func() float64 { return float64(s.countUnknownServiceRunners()) }},
	}
}
