package main

import (
	"slices"
	"strings"
	"time"
)

const (
	// grace is what the settings give a process from SIGTERM to its end; a request that came in the first lateAfter of it may be
	// cut while its runner is still at work in the last sixth.
	grace            = 8 * time.Second
	finalCutAfter    = grace * 5 / 6
	lateRequestAfter = 3 * time.Second
	// signalSlack is how late a signal may take effect where the verdict must not depend on the machine.
	signalSlack = time.Second
	// closeRaceWindow is how long after its last byte a request on a kept connection may still cross the close of it.
	closeRaceWindow = 200 * time.Millisecond
	// listenerCloseSlack is how long before the end of its process an entry may have closed its listener.
	listenerCloseSlack = time.Second
)

// overlapsAny reports that one of the times was not over for long when the call was sent, and had begun before it ended.
func overlapsAny(c *callRecord, times []interval) bool {
	return slices.ContainsFunc(times, func(s interval) bool {
		return s.From.Before(c.EndedAt) && s.To.Add(settleTime).After(c.SentAt)
	})
}

// checkDroppedRequest finds requests that an entry took whole and gave up, under no fault of its own or of a runner.
func (r *observations) checkDroppedRequest(c *callRecord, runs []execution, timed bool, add func(string, ...any)) {
	if !c.cutAfterAccepted(len(runs)) || overlapsAny(c, r.Entries[c.Entry].Outages) || r.runnerFaulted(c, runs) {
		return
	}
	allowed := lateRequestAfter
	if !timed {
		if c.Kind.resumable() {
			return // on a busy machine it leaves runners that seem silent, until the retry budget is spent
		}
		allowed += signalSlack
	}
	e := r.Entries[c.Entry]
	stop := e.lastSIGTERMBefore(c.EndedAt)
	late := c.WrittenAt.Sub(stop)
	switch {
	case stop.IsZero() || c.EndedAt.After(stop.Add(killAfter)):
		add("request %s of kind %s, taken by entry %d, was cut after %s without a stop", c.ID, c.Kind, c.Entry, c.EndedAt.Sub(c.SentAt))
	case late > allowed || !runningAt(runs, stop.Add(finalCutAfter)):
		add("request %s of kind %s, taken by entry %d %s after its SIGTERM, was cut %s after it",
			c.ID, c.Kind, c.Entry, late, c.EndedAt.Sub(stop))
	}
}

// cutAfterAccepted reports that a request was cut which had been sent whole, which cannot just have crossed the close of its
// connection, and which had not come to its time-out.
func (c *callRecord) cutAfterAccepted(runs int) bool {
	if !c.Truncated || c.WrittenAt.IsZero() || c.EndedAt.Sub(c.SentAt) > c.Kind.timeout()-timeoutSlack {
		return false
	}
	return runs > 0 || c.EndedAt.Sub(c.WrittenAt) >= closeRaceWindow
}

// runningAt reports that a runner was still at work at a moment.
func runningAt(runs []execution, at time.Time) bool {
	return slices.ContainsFunc(runs, func(one execution) bool { return one.EndedAt.IsZero() || one.EndedAt.After(at) })
}

// runnerFaulted reports that a runner of the call was under a fault of its own; which one it was is not known of a call that reached
// none, and of one that moves between engines by itself.
func (r *observations) runnerFaulted(c *callRecord, runs []execution) bool {
	for place, times := range r.RunnerFaults {
		concerned := len(runs) == 0 || c.Kind.engines() || slices.ContainsFunc(runs, func(one execution) bool {
			return strings.HasPrefix(one.Runner, place+"-")
		})
		if concerned && overlapsAny(c, times) {
			return true
		}
	}
	return false
}

// refusalKey is what one process refused after one SIGTERM, or before any.
type refusalKey struct {
	Entry int
	Stop  time.Time
}

// checkRefusedConnections finds new connections that an entry refused, or closed without a word, while its process lived.
func (r *observations) checkRefusedConnections(runs map[string][]execution, add func(string, ...any)) {
	refused := map[refusalKey][]*callRecord{}
	for i := range r.Calls {
		c := &r.Calls[i]
		e := r.Entries[c.Entry]
		if (c.Refused || c.closedWithoutResponse() && len(runs[c.ID]) == 0) && e.wasRunning(c.SentAt, listenerCloseSlack) && !overlapsAny(c, e.Outages) {
			key := refusalKey{Entry: c.Entry, Stop: e.lastSIGTERMBefore(c.SentAt)}
			refused[key] = append(refused[key], c)
		}
	}
	for key, calls := range refused {
		first, last := calls[0], calls[len(calls)-1]
		add("entry %d lived and took none of %d new connections, from %s to %s after its SIGTERM, the first for request %s",
			key.Entry, len(calls), first.SentAt.Sub(key.Stop), last.SentAt.Sub(key.Stop), first.ID)
	}
}

// closedWithoutResponse reports that a new connection was closedWithoutResponse without a word, soon after the request had been sent.
func (c *callRecord) closedWithoutResponse() bool {
	return c.NewConnection && c.Truncated && c.Status == 0 && !c.WrittenAt.IsZero() && c.EndedAt.Sub(c.WrittenAt) < closeRaceWindow
}

// checkUnexpectedExits finds processes that ended by themselves; how long one takes to become ready, and so what reaches it before, depends
// on the machine.
func (r *observations) checkUnexpectedExits(timed bool, add func(string, ...any)) {
	for number, e := range r.Entries {
		for _, l := range e.Lifetimes {
			if !l.Ended.IsZero() && !l.Signaled && (timed || !l.Ready.IsZero()) {
				add("entry %d ended by itself", number)
			}
		}
	}
}
