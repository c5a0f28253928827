package main

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// resetSlack is how long after a runner's connections are said to break a run may still begin there.
const resetSlack = 100 * time.Millisecond

// checkAbandonedStream finds streams without their whole answer though a runner was answering them that neither broke off nor had been left
// for another one that answered already. How busy the machine is excuses none of them.
func (r *observations) checkAbandonedStream(c *callRecord, runs []execution, add func(string, ...any)) {
	if !c.failedStream() || overlapsAny(c, r.Entries[c.Entry].Outages) || r.stopping(c) {
		return
	}
	for i := range runs {
		one := &runs[i]
		if r.runnerFailed(one, c) || r.resumedElsewhere(one, c, runs) {
			continue
		}
		add("request %s of kind %s, taken by entry %d, was cut after %s, though %s was answering it for %s (answer whole: %t)",
			c.ID, c.Kind, c.Entry, c.EndedAt.Sub(c.SentAt), one.Runner, max(one.endTime(c).Sub(one.StartedAt), 0), one.Complete)
		return
	}
}

// failedStream reports that a stream which had been sent whole was cut, or answered as failed, before its time-out.
func (c *callRecord) failedStream() bool {
	lost := c.Truncated || c.Status == http.StatusBadGateway
	return lost && c.Kind.streams() && !c.WrittenAt.IsZero() && c.EndedAt.Sub(c.SentAt) <= c.Kind.timeout()-timeoutSlack
}

// stopping reports that the call's entry was between SIGTERM and its end when the call ended, at the latest by SIGKILL.
func (r *observations) stopping(c *callRecord) bool {
	e := r.Entries[c.Entry]
	stop := e.lastSIGTERMBefore(c.EndedAt)
	return !stop.IsZero() && !c.EndedAt.After(stop.Add(killAfter+signalSlack))
}

// runnerFailed reports that a run's runner ended or lost its connections before the run did, and before the call had ended. An answer that
// the runner had given whole may still have been on its way then.
func (r *observations) runnerFailed(one *execution, c *callRecord) bool {
	place := one.Runner[:max(strings.LastIndex(one.Runner, "-"), 0)]
	until := one.endTime(c)
	if one.Complete {
		until = c.EndedAt
	}
	return slices.ContainsFunc(r.RunnerFaults[place], func(s interval) bool {
		return s.From.Equal(s.To) && s.From.After(one.StartedAt.Add(-resetSlack)) && s.From.Before(until)
	})
}

// resumedElsewhere reports that another runner had taken the call over before the run was left, or took it over and broke off.
func (r *observations) resumedElsewhere(one *execution, c *callRecord, runs []execution) bool {
	return slices.ContainsFunc(runs, func(other execution) bool {
		return other.startedAfter(one) && (other.FirstEventAt.Before(one.endTime(c)) || r.runnerFailed(&other, c))
	})
}

// startedAfter reports that the run answered, and later than another where that answered at all.
func (one *execution) startedAfter(from *execution) bool {
	return !one.FirstEventAt.IsZero() && (from.FirstEventAt.IsZero() || one.FirstEventAt.After(from.FirstEventAt))
}

// endTime is when the run ended, at the latest with the call.
func (one *execution) endTime(c *callRecord) time.Time {
	if one.EndedAt.IsZero() || one.EndedAt.After(c.EndedAt) {
		return c.EndedAt
	}
	return one.EndedAt
}
