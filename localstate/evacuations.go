package localstate

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
)

// Evacuations are the availability zones whose runners are to get nothing; a value doesn't change, and the zero value has none.
type Evacuations struct {
	zones map[rillreach.ZoneID]struct{}
	// lifted is when each zone's last evacuation was taken back, as far as this process has seen.
	lifted map[rillreach.ZoneID]time.Time
}

// Has reports that a zone is evacuated.
func (e *Evacuations) Has(zone rillreach.ZoneID) bool {
	_, ok := e.zones[zone]
	return ok
}

// Lifted is when the last evacuation of a zone was taken back, zero where none was.
func (e *Evacuations) Lifted(zone rillreach.ZoneID) time.Time { return e.lifted[zone] }

// Len is how many zones are evacuated.
func (e *Evacuations) Len() int { return len(e.zones) }

// replace is what holds once just these zones are evacuated.
func (e *Evacuations) replace(now time.Time, zones map[rillreach.ZoneID]struct{}) *Evacuations {
	next := &Evacuations{zones: zones, lifted: maps.Clone(e.lifted)}
	if next.lifted == nil {
		next.lifted = map[rillreach.ZoneID]time.Time{}
	}
	for zone := range e.zones {
		if !next.Has(zone) {
			next.lifted[zone] = now
		}
	}
	return next
}

// evacuationState is the evacuations that are in force; its zero value has not been told of any.
type evacuationState struct {
	followed atomic.Bool
	listed   atomic.Bool
	current  atomic.Pointer[Evacuations]
	mu       sync.Mutex
}

// known reports that nothing is missing: the list has come, or nobody follows it.
func (s *evacuationState) known() bool { return !s.followed.Load() || s.listed.Load() }

// get is what is in force.
func (s *evacuationState) get() *Evacuations {
	if e := s.current.Load(); e != nil {
		return e
	}
	return &Evacuations{}
}

// change puts other zones in force, which the function makes of those before.
func (s *evacuationState) change(now time.Time, next func(before map[rillreach.ZoneID]struct{}) map[rillreach.ZoneID]struct{}) *Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.get()
	after := before.replace(now, next(maps.Clone(before.zones)))
	s.current.Store(after)
	return after
}

// Evacuations are the zones that are evacuated now.
func (s *State) Evacuations() *Evacuations { return s.evacuations.get() }

// EvacuationsFollower keeps the evacuated zones in step with their source. An object that can't be read evacuates the zone of its name: what
// nobody understands may have been meant so.
func (s *State) EvacuationsFollower(source rillreach.Source[rillreach.ZoneID], wait time.Duration) rillreach.Controller {
	s.evacuations.followed.Store(true)
	return &follow.Controller[rillreach.ZoneID]{
		Kind: "evacuations", Source: source, Wait: wait, Log: s.Log,
		Listed: func(all []rillreach.Update[rillreach.ZoneID], _ time.Time) {
			zones := map[rillreach.ZoneID]struct{}{}
			for name := range namesOf(all) {
				zones[rillreach.ZoneID(name)] = struct{}{}
			}
			s.setEvacuations(func(map[rillreach.ZoneID]struct{}) map[rillreach.ZoneID]struct{} { return zones })
			s.evacuations.listed.Store(true)
		},
		Changed: func(u rillreach.Update[rillreach.ZoneID], _ time.Time) {
			s.setEvacuations(func(zones map[rillreach.ZoneID]struct{}) map[rillreach.ZoneID]struct{} {
				return withEvacuation(zones, rillreach.ZoneID(u.Name), !u.Gone)
			})
		},
	}
}

// withEvacuation is the zones with one more or less.
func withEvacuation(zones map[rillreach.ZoneID]struct{}, zone rillreach.ZoneID, evacuated bool) map[rillreach.ZoneID]struct{} {
	if zones == nil {
		zones = map[rillreach.ZoneID]struct{}{}
	}
	if evacuated {
		zones[zone] = struct{}{}
	} else {
		delete(zones, zone)
	}
	return zones
}

// setEvacuations puts other zones in force, and logs them where they differ.
func (s *State) setEvacuations(next func(map[rillreach.ZoneID]struct{}) map[rillreach.ZoneID]struct{}) {
	before := s.evacuations.get()
	after := s.evacuations.change(time.Now(), next)
	if maps.Equal(before.zones, after.zones) {
		return
	}
	s.Log.Info("evacuated zones", "decision", "evacuate", "zones", slices.Sorted(maps.Keys(after.zones)))
}
