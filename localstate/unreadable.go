package localstate

import (
	"sync"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/telemetry"
)

// unreadable are the objects of one kind that cannot be read, by name with their revisions; its zero value is empty and ready.
type unreadable struct {
	mu        sync.Mutex
	revisions map[string]rillreach.Revision
}

// add reports that this revision of the object is new here.
func (u *unreadable) add(name string, revision rillreach.Revision) bool {
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

func (u *unreadable) remove(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.revisions, name)
}

// retain drops all but the names that are listed.
func (u *unreadable) retain(listed map[string]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range u.revisions {
		if !listed[name] {
			delete(u.revisions, name)
		}
	}
}

func (u *unreadable) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.revisions)
}

// namesOf are the names of the listed objects.
func namesOf[T any](all []rillreach.Update[T]) map[string]bool {
	names := make(map[string]bool, len(all))
	for i := range all {
		names[all[i].Name] = true
	}
	return names
}

// admit reports that an object can be read. Each revision of one that cannot be is logged once, however often it is listed.
func admit[T any](log logr.Logger, kind string, bad *unreadable, u rillreach.Update[T]) bool {
	if u.Err == nil {
		bad.remove(u.Name)
		return true
	}
	if bad.add(u.Name, u.Revision) {
		log.Error(u.Err, "object refused", "decision", "refuse", "kind", kind, "name", u.Name, "revision", u.Revision)
	}
	return false
}

// Gauges are how many objects stand in the store that aren't used.
func (s *State) Gauges() []telemetry.Gauge {
	return []telemetry.Gauge{
		{Name: "rillreach.objects.unreadable", Description: "objects of the store that cannot be read", Read: func() float64 {
			return float64(s.badConfig.count() + s.badRunners.count() + s.badWeights.count())
		}},
		{Name: "rillreach.objects.unreadable.config", Description: "configurations of these", Read: func() float64 { return float64(s.badConfig.count()) }},
		{Name: "rillreach.objects.unreadable.runners", Description: "runners' records of these", Read: func() float64 { return float64(s.badRunners.count()) }},
		{Name: "rillreach.objects.unreadable.weights", Description: "names of weights of these", Read: func() float64 { return float64(s.badWeights.count()) }},
		{Name: "rillreach.runners.unknown_service", Description: "runners of services that the configuration does not name", Read: func() float64 { return float64(s.countUnknownService()) }},
	}
}
