package main

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// resetSlack is how long after the recorded reset of a runner's connections an execution may still begin there.
const resetSlack = 100 * time.Millisecond

// checkAbandonedStream reports streams that were cut although a runner was still answering them. It allows for a runner
// that failed or spoiled its answer, and for one that was left for another runner that was already answering. A busy machine is no excuse.
func (r *observations) checkAbandonedStream(c *callRecord, executions []execution, report func(string, ...any)) {
	if !c.failedStream() || overlapsAny(c, r.Entries[c.Entry].Outages) || r.stopping(c) {
		return
	}
	for i := range executions {
		e := &executions[i]
		if e.Spoiled || r.runnerFailed(e, c) || r.resumedElsewhere(e, c, executions) {
			continue
		}
		report("request %s of kind %s, taken by entry %d, was cut after %s, though %s was answering it for %s (answer whole: %t)",
			c.ID, c.Kind, c.Entry, c.EndedAt.Sub(c.SentAt), e.Runner, max(e.endTime(c).Sub(e.StartedAt), 0), e.Complete)
		return
	}
}

// failedStream reports whether a stream whose request was fully sent was cut or answered with an error before its
// timeout.
func (c *callRecord) failedStream() bool {
	lost := c.Truncated || c.Status == http.StatusBadGateway
	return lost && c.Kind.streams() && !c.WrittenAt.IsZero() && c.EndedAt.Sub(c.SentAt) <= c.Kind.timeout()-timeoutSlack
}

// stopping reports whether the call ended while its entry was stopping, between SIGTERM and at the latest SIGKILL.
func (r *observations) stopping(c *callRecord) bool {
	e := r.Entries[c.Entry]
	stop := e.lastSIGTERMBefore(c.EndedAt)
	return !stop.IsZero() && !c.EndedAt.After(stop.Add(killAfter+signalSlack))
}

// runnerFailed reports whether the runner ended or lost its connections before both the execution and the call had
// ended. If the runner had completed its response, the response may still have been in transit then.
func (r *observations) runnerFailed(e *execution, c *callRecord) bool {
	name := e.Runner[:max(strings.LastIndex(e.Runner, "-"), 0)]
	until := e.endTime(c)
	if e.Complete {
		until = c.EndedAt
	}
	return slices.ContainsFunc(r.RunnerFaults[name], func(s interval) bool {
		return s.From.Equal(s.To) && s.From.After(e.StartedAt.Add(-resetSlack)) && s.From.Before(until)
	})
}

// resumedElsewhere reports whether another runner was answering the call before the execution ended, or had taken it
// over and failed. If both ran at the same time, the one that went on longer is the one that the entry relied on, whichever
// responded first. The execution that ended last is never excused by another one.
func (r *observations) resumedElsewhere(e *execution, c *callRecord, executions []execution) bool {
	return slices.ContainsFunc(executions, func(other execution) bool {
		wasAnswering := !other.FirstEventAt.IsZero() && other.FirstEventAt.Before(e.endTime(c))
		wentOn := other.endTime(c).After(e.endTime(c))
		return wasAnswering && wentOn || other.respondedAfter(e) && r.runnerFailed(&other, c)
	})
}

// respondedAfter reports whether the execution responded, and later than the other execution if that one responded at
// all.
func (e *execution) respondedAfter(from *execution) bool {
	return !e.FirstEventAt.IsZero() && (from.FirstEventAt.IsZero() || e.FirstEventAt.After(from.FirstEventAt))
}

// endTime returns when the execution ended, or when the call ended if that is earlier.
func (e *execution) endTime(c *callRecord) time.Time {
	if e.EndedAt.IsZero() || e.EndedAt.After(c.EndedAt) {
		return c.EndedAt
	}
	return e.EndedAt
}
