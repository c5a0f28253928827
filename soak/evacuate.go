package main

import (
	"time"
)

const (
	// nearZone and farZone are where runners are, nearZone where entries are, too.
	nearZone = "z"
	farZone  = "y"
	// evacuatedWithin is how soon an evacuated zone gets nothing more, as settings say, and evacuatedFor for how much longer it is evacuated.
	evacuatedWithin = 5 * time.Second
	evacuatedFor    = 3 * time.Second
)

// zoneOf is the zone of a runner or engine by its number.
func zoneOf(number int) string {
	if number%2 == 1 {
		return farZone
	}
	return nearZone
}

// injectEvacuation has the operator evacuate the far zone, unless it is evacuated already, and take that back later.
func (w *world) injectEvacuation(a action) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	length := evacuatedWithin + evacuatedFor + a.For
	if n := len(w.evacuated); n > 0 && now.Before(w.evacuated[n-1].To) {
		return
	}
	w.store.Put("evacuations", farZone, map[string]any{})
	w.evacuated = append(w.evacuated, span{From: now, To: now.Add(length)})
	w.later(length, func() { w.store.Remove("evacuations", farZone) })
}

// judgeEvacuations finds requests that reached runners of an evacuated zone.
func (r *record) judgeEvacuations(add func(string, ...any)) {
	byID := r.callsByID()
	for _, one := range r.Runs {
		for _, s := range r.Evacuated {
			if one.Zone != farZone || !one.At.After(s.From.Add(evacuatedWithin)) || !one.At.Before(s.To) {
				continue
			}
			if c := byID[one.ID]; c != nil && !r.outOfTouch(c, one.At) {
				add("request %s reached runner %s %s after its zone was evacuated", one.ID, one.Runner, one.At.Sub(s.From))
			}
		}
	}
}
