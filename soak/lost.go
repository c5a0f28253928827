package main

import (
	"slices"
	"strings"
	"time"
)

const (
	// grace is the grace period between SIGTERM and exit in the settings. A request that arrives in the first
	// lateRequestAfter of it may be cut only if its runner is still working after finalCutAfter, in the last sixth of
	// the period.
	grace            = 8 * time.Second
	finalCutAfter    = grace * 5 / 6
	lateRequestAfter = 3 * time.Second
	// signalSlack is the allowed delay of a signal's effect where the result must not depend on the speed of the
	// machine.
	signalSlack = time.Second
	// closeRaceWindow is how long after its last byte a request on a reused connection may still race with the close of
	// the connection.
	closeRaceWindow = 200 * time.Millisecond
	// listenerCloseSlack is how long before the exit of its process an entry may close its listener.
	listenerCloseSlack = time.Second
)

// overlapsAny reports whether any interval overlaps the call, or ended less than settleTime before the call was sent.
func overlapsAny(c *callRecord, times []interval) bool {
	return slices.ContainsFunc(times, func(s interval) bool {
		return s.From.Before(c.EndedAt) && s.To.Add(settleTime).After(c.SentAt)
	})
}

// checkDroppedRequest reports requests that an entry accepted and then dropped without a fault of its own or of a
// runner.
func (r *observations) checkDroppedRequest(c *callRecord, executions []execution, timed bool, report func(string, ...any)) {
	if !c.cutAfterAccepted(len(executions)) || overlapsAny(c, r.Entries[c.Entry].Outages) || r.runnerFaulted(c, executions) {
		return
	}
	allowed := lateRequestAfter
	if !timed {
		if c.Kind.resumable() {
			return // on a busy machine runners seem silent, and the entry tries others until the retry budget is spent
		}
		allowed += signalSlack
	}
	e := r.Entries[c.Entry]
	stop := e.lastSIGTERMBefore(c.EndedAt)
	late := c.WrittenAt.Sub(stop)
	switch {
	case stop.IsZero() || c.EndedAt.After(stop.Add(killAfter)):
		report("request %s of kind %s, taken by entry %d, was cut after %s without a stop", c.ID, c.Kind, c.Entry, c.EndedAt.Sub(c.SentAt))
	case late > allowed || !runningAt(executions, stop.Add(finalCutAfter)):
		report("request %s of kind %s, taken by entry %d %s after its SIGTERM, was cut %s after it",
			c.ID, c.Kind, c.Entry, late, c.EndedAt.Sub(stop))
	}
}

// cutAfterAccepted reports whether a fully sent request was cut before its timeout, other than by a race with the close
// of its connection.
func (c *callRecord) cutAfterAccepted(executions int) bool {
	if !c.Truncated || c.WrittenAt.IsZero() || c.EndedAt.Sub(c.SentAt) > c.Kind.timeout()-timeoutSlack {
		return false
	}
	return executions > 0 || c.EndedAt.Sub(c.WrittenAt) >= closeRaceWindow
}

// runningAt reports whether any of the executions was still running at the given time.
func runningAt(executions []execution, at time.Time) bool {
	return slices.ContainsFunc(executions, func(e execution) bool { return e.EndedAt.IsZero() || e.EndedAt.After(at) })
}

// runnerFaulted reports whether a runner of the call was under a fault. If the call reached no runner, or moves between
// engines, the runner is unknown and a fault of any runner counts.
func (r *observations) runnerFaulted(c *callRecord, executions []execution) bool {
	for name, times := range r.RunnerFaults {
		concerned := len(executions) == 0 || c.Kind.engines() || slices.ContainsFunc(executions, func(e execution) bool {
			return strings.HasPrefix(e.Runner, name+"-")
		})
		if concerned && overlapsAny(c, times) {
			return true
		}
	}
	return false
}

// refusalKey groups refused connections by entry and by the last SIGTERM before them, which is the zero time if there
// was none.
type refusalKey struct {
	Entry int
	Stop  time.Time
}

// checkRefusedConnections reports new connections that an entry refused, or closed without a response, while its
// process was running.
func (r *observations) checkRefusedConnections(executions map[string][]execution, report func(string, ...any)) {
	refused := map[refusalKey][]*callRecord{}
	for i := range r.Calls {
		c := &r.Calls[i]
		e := r.Entries[c.Entry]
		if (c.Refused || c.closedWithoutResponse() && len(executions[c.ID]) == 0) && e.wasRunning(c.SentAt, listenerCloseSlack) && !overlapsAny(c, e.Outages) {
			key := refusalKey{Entry: c.Entry, Stop: e.lastSIGTERMBefore(c.SentAt)}
			refused[key] = append(refused[key], c)
		}
	}
	for key, calls := range refused {
		first, last := calls[0], calls[len(calls)-1]
		report("entry %d lived and took none of %d new connections, from %s to %s after its SIGTERM, the first for request %s",
			key.Entry, len(calls), first.SentAt.Sub(key.Stop), last.SentAt.Sub(key.Stop), first.ID)
	}
}

// closedWithoutResponse reports whether a new connection was closed without a response soon after the request had been
// sent.
func (c *callRecord) closedWithoutResponse() bool {
	return c.NewConnection && c.Truncated && c.Status == 0 && !c.WrittenAt.IsZero() && c.EndedAt.Sub(c.WrittenAt) < closeRaceWindow
}

// checkUnexpectedExits reports processes that exited without a signal. Exits before a process becomes ready count only
// if timed is true, since the time until then depends on the machine.
func (r *observations) checkUnexpectedExits(timed bool, report func(string, ...any)) {
	for number, e := range r.Entries {
		for _, l := range e.Lifetimes {
			if !l.Ended.IsZero() && !l.Signaled && (timed || !l.Ready.IsZero()) {
				report("entry %d ended by itself", number)
			}
		}
	}
}
