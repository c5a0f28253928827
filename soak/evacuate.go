package main

import (
	"time"
)

const (
	// nearZone and farZone are where runners are, nearZone where entries are, too.
	nearZone = "z"
	farZone  = "y"
	// evacuationDeadline is how soon an evacuated zone gets nothing more, as settings say, and evacuatedFor for how much longer it is evacuated.
	evacuationDeadline = 5 * time.Second
	minEvacuation      = 3 * time.Second
)

// zoneOf is the zone of a runner or engine by its number.
func zoneOf(number int) string {
	if number%2 == 1 {
		return farZone
	}
	return nearZone
}

// injectEvacuation has the operator evacuate the far zone, unless it is evacuated already, and take that back later.
func (w *cluster) injectEvacuation(a action) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	length := evacuationDeadline + minEvacuation + a.Duration
	if n := len(w.evacuations); n > 0 && now.Before(w.evacuations[n-1].To) {
		return
	}
	w.store.Put("evacuations", farZone, map[string]any{})
	w.evacuations = append(w.evacuations, interval{From: now, To: now.Add(length)})
	w.schedule(length, func() { w.store.Remove("evacuations", farZone) })
}

// checkEvacuations finds requests that reached runners of an evacuated zone.
func (r *observations) checkEvacuations(add func(string, ...any)) {
	byID := r.callsByID()
	for _, one := range r.Executions {
		for _, s := range r.Evacuations {
			if one.Zone != farZone || !one.StartedAt.After(s.From.Add(evacuationDeadline)) || !one.StartedAt.Before(s.To) {
				continue
			}
			if c := byID[one.ID]; c != nil && !r.entryDisconnected(c, one.StartedAt) {
				add("request %s reached runner %s %s after its zone was evacuated", one.ID, one.Runner, one.StartedAt.Sub(s.From))
			}
		}
	}
}
