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

// Evacuations is the set of evacuated availability zones, whose runners must get no requests. It is immutable.
type Evacuations map[rillreach.ZoneID]struct{}

// Has reports whether a zone is evacuated.
func (e Evacuations) Has(zone rillreach.ZoneID) bool {
	_, ok := e[zone]
	return ok
}

// with returns a copy of the set with one zone added or removed.
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

// evacuationRestoreGrace is how long after a restore from a backup it may take until everything that the backup lacks
// has been written again.
const evacuationRestoreGrace = 10 * time.Second

// evacuationState holds the evacuations in force. The zero value is not followed and evacuates nothing.
type evacuationState struct {
	// followed is set if the list is followed, and listed once it has been received.
	followed atomic.Bool
	listed   atomic.Bool
	current  atomic.Pointer[Evacuations]

	// mu guards the fields below and writes to current.
	mu sync.Mutex
	// stored holds the zones that the store lists as evacuated. After a restore from a backup they take effect
	// only at trustedAt, since the backup may lack an evacuation or still have one that was lifted.
	stored    Evacuations
	trustedAt time.Time
}

// synced reports whether the list has been received or is not followed.
func (s *evacuationState) synced() bool { return !s.followed.Load() || s.listed.Load() }

func (s *evacuationState) get() Evacuations {
	if e := s.current.Load(); e != nil {
		return *e
	}
	return nil
}

// Evacuations returns the zones that are evacuated now.
func (s *State) Evacuations() Evacuations { return s.evacuations.get() }

// EvacuationsFollower returns a controller that keeps the evacuated zones in sync with their source. An object
// that cannot be read evacuates the zone that it is named after, since that may be what it was meant to do.
func (s *State) EvacuationsFollower(source rillreach.Source[rillreach.ZoneID], wait time.Duration) rillreach.Controller {
	s.evacuations.followed.Store(true)
	return &follow.Controller[rillreach.ZoneID]{
		Kind: "evacuations", Source: source, WatchTimeout: wait, Log: s.Log,
		OnRestored: s.evacuations.markRestored,
		OnListed: func(all []rillreach.Update[rillreach.ZoneID], _ time.Time) {
			zones := Evacuations{}
			for name := range namesOf(all) {
				zones[rillreach.ZoneID(name)] = struct{}{}
			}
			s.replaceEvacuations(zones, time.Now())
			s.evacuations.listed.Store(true)
		},
		OnChanged: func(u rillreach.Update[rillreach.ZoneID], _ time.Time) {
			s.applyEvacuation(rillreach.ZoneID(u.Name), !u.Deleted)
		},
	}
}

// markRestored records that the store was restored from a backup.
func (s *evacuationState) markRestored(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trustedAt = now.Add(evacuationRestoreGrace)
}

// replaceEvacuations handles a complete list. It takes effect at once unless it may stem from a backup.
func (s *State) replaceEvacuations(zones Evacuations, now time.Time) {
	e := &s.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stored = zones
	if now.Before(e.trustedAt) {
		s.Log.Info("evacuated zones of a copy are not taken yet", "decision", "keep", "listed", slices.Sorted(maps.Keys(zones)), "kept", slices.Sorted(maps.Keys(e.get())))
		return
	}
	s.setEvacuations(zones)
}

// applyEvacuation handles a change to one zone. Changes take effect at once, since they were made after any restore.
func (s *State) applyEvacuation(zone rillreach.ZoneID, evacuated bool) {
	e := &s.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stored = e.stored.with(zone, evacuated)
	s.setEvacuations(e.get().with(zone, evacuated))
}

// applyStoredEvacuations puts the stored zones in force once the grace after a restore has passed.
func (s *State) applyStoredEvacuations(now time.Time) {
	e := &s.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.trustedAt.IsZero() || now.Before(e.trustedAt) {
		return
	}
	e.trustedAt = time.Time{}
	s.setEvacuations(e.stored)
}

// setEvacuations puts a new set in force. The lock must be held. Runners of zones that are no longer evacuated are
// marked as cold, since they may be and their records only say so later.
func (s *State) setEvacuations(next Evacuations) {
	before := s.Evacuations()
	if maps.Equal(before, next) {
		return
	}
	now := time.Now()
	for zone := range before {
		if !next.Has(zone) {
			s.markZoneCold(zone, now)
		}
	}
	s.evacuations.current.Store(&next)
	s.Log.Info("evacuated zones", "decision", "evacuate", "zones", slices.Sorted(maps.Keys(next)))
}

// markZoneCold marks the runners of a zone as cold.
func (s *State) markZoneCold(zone rillreach.ZoneID, now time.Time) {
	for _, r := range s.Roster.All() {
		if r.Info().Zone == zone {
			s.MarkCold(r, now)
		}
	}
}

// MarkCold marks a runner as cold for the slow start of its service, for a runner that may just have started.
func (s *State) MarkCold(r *roster.Runner, now time.Time) {
	c := s.Config()
	if c == nil {
		return
	}
	if service := c.Services[r.Info().Service]; service != nil && service.SlowStart.RequestsPerSecond > 0 {
		r.MarkCold(now.Add(service.SlowStart.Duration))
	}
}
