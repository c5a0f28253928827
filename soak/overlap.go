package main

import (
	"slices"
	"strings"
	"time"
)

// maxOverlap is how long two runners may work on one stream after the second one was asked for the rest of it.
const maxOverlap = 400 * time.Millisecond

// checkOverlaps reports streams that went on at another runner while the earlier one, which the entry could reach, still
// worked on them.
func (r *observations) checkOverlaps(executions map[string][]execution, report func(string, ...any)) {
	for i := range r.Calls {
		c := &r.Calls[i]
		if !c.Kind.resumable() || r.entryDisturbed(c) {
			continue
		}
		runs := slices.Clone(executions[c.ID])
		slices.SortFunc(runs, func(a, b execution) int { return a.StartedAt.Compare(b.StartedAt) })
		for n := 1; n < len(runs); n++ {
			earlier, later := &runs[n-1], &runs[n]
			if over := earlier.overlap(later, r.Ended); later.After > 0 && over > maxOverlap && !r.unreachable(c, earlier.Runner) {
				report("request %s of kind %s went on at %s after event %d, and %s worked on it for %s more", c.ID, c.Kind, later.Runner, later.After, earlier.Runner, over)
			}
		}
	}
}

// overlap returns for how long both runners worked on the request, of which the later one may have ended first.
func (e *execution) overlap(later *execution, now time.Time) time.Duration {
	until := now
	for _, end := range []time.Time{e.EndedAt, later.EndedAt} {
		if !end.IsZero() && end.Before(until) {
			until = end
		}
	}
	return until.Sub(later.StartedAt)
}

// unreachable reports whether a run, or its connections, failed around the call.
func (r *observations) unreachable(c *callRecord, run string) bool {
	name := run[:max(strings.LastIndex(run, "-"), 0)]
	return overlapsAny(c, r.RunnerFaults[name]) || overlapsAny(c, r.Silences[name])
}
