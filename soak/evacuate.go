package main

import (
	"time"
)

const (
	// Runners are in nearZone and farZone, entries only in nearZone.
	nearZone = "z"
	farZone  = "y"
	// evacuationDeadline is the time after which an evacuated zone gets no requests, as configured in the settings.
	// minEvacuation is how much longer the evacuation lasts at least.
	evacuationDeadline = 5 * time.Second
	minEvacuation      = 3 * time.Second
)

// zoneOf returns the zone of the runner or engine with the given number.
func zoneOf(number int) string {
	if number%2 == 1 {
		return farZone
	}
	return nearZone
}

// injectEvacuation evacuates the far zone, unless it already is evacuated, and ends the evacuation later.
func (c *cluster) injectEvacuation(a action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	length := evacuationDeadline + minEvacuation + a.Duration
	if n := len(c.evacuations); n > 0 && now.Before(c.evacuations[n-1].To) {
		return
	}
	c.store.Put("evacuations", farZone, map[string]any{})
	c.evacuations = append(c.evacuations, interval{From: now, To: now.Add(length)})
	c.schedule(length, func() { c.store.Remove("evacuations", farZone) })
}

// checkEvacuations reports requests that reached runners of an evacuated zone.
func (r *observations) checkEvacuations(report func(string, ...any)) {
	byID := r.callsByID()
	for _, e := range r.Executions {
		for _, s := range r.Evacuations {
			if e.Zone != farZone || !e.StartedAt.After(s.From.Add(evacuationDeadline)) || !e.StartedAt.Before(s.To) {
				continue
			}
			if c := byID[e.ID]; c != nil && !r.entryDisconnected(c, e.StartedAt) {
				report("request %s reached runner %s %s after its zone was evacuated", e.ID, e.Runner, e.StartedAt.Sub(s.From))
			}
		}
	}
}
