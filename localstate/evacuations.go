package localstate

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/roster"
)

// Evacuations are the availability zones whose runners are to get nothing; a value doesn't change.
type Evacuations map[rillreach.ZoneID]struct{}

// Has reports that a zone is evacuated.
func (e Evacuations) Has(zone rillreach.ZoneID) bool {
	_, ok := e[zone]
	return ok
}

// with are the zones with one that is evacuated, or no longer.
func (e Evacuations) with(zone rillreach.ZoneID, evacuated bool) Evacuations {
	next := maps.Clone(e)
	if next == nil {
		next = Evacuations{}
	}
	if evacuated {
		next[zone] = struct{}{}
	} else {
		delete(next, zone)
	}
	return next
}

// restoreTime is how long after the store has come back from a copy everything that it lacks may take to be written again.
const restoreTime = 10 * time.Second

// evacuationState is the evacuations that are in force; its zero value follows none.
type evacuationState struct {
	// followed says that somebody asks for the list, and listed that it has come.
	followed atomic.Bool
	listed   atomic.Bool
	current  atomic.Pointer[Evacuations]

	// mu guards what follows, and each change of current.
	mu sync.Mutex
	// stored are the zones that the store has evacuated, which count once trusted has passed: a copy may lack an evacuation, or have one that was lifted.
	stored  Evacuations
	trusted time.Time
}

// known reports that nothing is missing: the list has come, or nobody follows it.
func (s *evacuationState) known() bool { return !s.followed.Load() || s.listed.Load() }

func (s *evacuationState) get() Evacuations {
	if e := s.current.Load(); e != nil {
		return *e
	}
	return nil
}

// Evacuations are the zones that are evacuated now.
func (s *State) Evacuations() Evacuations { return s.evacuations.get() }

// EvacuationsFollower keeps the evacuated zones in step with their source. An object that can't be read evacuates the zone of its name: what
// nobody understands may have been meant so.
func (s *State) EvacuationsFollower(source rillreach.Source[rillreach.ZoneID], wait time.Duration) rillreach.Controller {
	s.evacuations.followed.Store(true)
	return &follow.Controller[rillreach.ZoneID]{
		Kind: "evacuations", Source: source, WatchTimeout: wait, Log: s.Log,
		OnRestored: s.evacuations.distrust,
		OnListed: func(all []rillreach.Update[rillreach.ZoneID], _ time.Time) {
			zones := Evacuations{}
			for name := range namesOf(all) {
				zones[rillreach.ZoneID(name)] = struct{}{}
			}
			s.listEvacuations(zones, time.Now())
			s.evacuations.listed.Store(true)
		},
		OnChanged: func(u rillreach.Update[rillreach.ZoneID], _ time.Time) {
			s.changeEvacuation(rillreach.ZoneID(u.Name), !u.Gone)
		},
	}
}

// distrust records that the store has come back from a copy.
func (s *evacuationState) distrust(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trusted = now.Add(restoreTime)
}

// listEvacuations takes over a whole list, at once unless it may be a copy's.
func (s *State) listEvacuations(zones Evacuations, now time.Time) {
	e := &s.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stored = zones
	if now.Before(e.trusted) {
		s.Log.Info("evacuated zones of a copy are not taken yet", "decision", "keep", "listed", slices.Sorted(maps.Keys(zones)), "kept", slices.Sorted(maps.Keys(e.get())))
		return
	}
	s.setEvacuations(zones)
}

// changeEvacuation takes over a change, which is none of a copy.
func (s *State) changeEvacuation(zone rillreach.ZoneID, evacuated bool) {
	e := &s.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stored = e.stored.with(zone, evacuated)
	s.setEvacuations(e.get().with(zone, evacuated))
}

// settleEvacuations puts in force what the store has once all has been written again that a copy lacked.
func (s *State) settleEvacuations(now time.Time) {
	e := &s.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.trusted.IsZero() || now.Before(e.trusted) {
		return
	}
	e.trusted = time.Time{}
	s.setEvacuations(e.stored)
}

// setEvacuations puts other zones in force; the lock is held. The runners of one that is evacuated no longer may have turned cold, and their records tell so later.
func (s *State) setEvacuations(next Evacuations) {
	before := s.Evacuations()
	if maps.Equal(before, next) {
		return
	}
	now := time.Now()
	for zone := range before {
		if !next.Has(zone) {
			s.startZoneSlowly(zone, now)
		}
	}
	s.evacuations.current.Store(&next)
	s.Log.Info("evacuated zones", "decision", "evacuate", "zones", slices.Sorted(maps.Keys(next)))
}

// startZoneSlowly takes the runners of a zone for cold.
func (s *State) startZoneSlowly(zone rillreach.ZoneID, now time.Time) {
	for _, r := range s.Roster.All() {
		if r.Info().Zone == zone {
			s.MarkCold(r, now)
		}
	}
}

// MarkCold takes a runner for cold that may just have started.
func (s *State) MarkCold(r *roster.Runner, now time.Time) {
	c := s.Config()
	if c == nil {
		return
	}
	if service := c.Services[r.Info().Service]; service != nil && service.SlowStart.RequestsPerSecond > 0 {
		r.MarkCold(now.Add(service.SlowStart.Duration))
	}
}
