package main

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// breakSlack is how long after a runner's connections are said to break a run may still begin there.
const breakSlack = 100 * time.Millisecond

// judgeGivenUp finds streams without their whole answer though a runner was answering them that neither broke off nor had been left
// for another one that answered already. How busy the machine is excuses none of them.
func (r *record) judgeGivenUp(c *call, runs []run, add func(string, ...any)) {
	if !c.lostStream() || during(c, r.Entries[c.Entry].Outages) || r.stopping(c) {
		return
	}
	for i := range runs {
		one := &runs[i]
		if r.brokeOff(one, c) || r.followed(one, c, runs) {
			continue
		}
		add("request %s of kind %s, taken by entry %d, was cut after %s, though %s was answering it for %s (answer whole: %t)",
			c.ID, c.Kind, c.Entry, c.Ended.Sub(c.Sent), one.Runner, max(one.end(c).Sub(one.At), 0), one.Whole)
		return
	}
}

// lostStream reports that a stream which had been sent whole was cut, or answered as failed, before its time-out.
func (c *call) lostStream() bool {
	lost := c.Cut || c.Status == http.StatusBadGateway
	return lost && c.Kind.streams() && !c.Written.IsZero() && c.Ended.Sub(c.Sent) <= c.Kind.timeout()-timeoutSlack
}

// stopping reports that the call's entry was between SIGTERM and its end when the call ended, at the latest by SIGKILL.
func (r *record) stopping(c *call) bool {
	e := r.Entries[c.Entry]
	stop := e.stopBefore(c.Ended)
	return !stop.IsZero() && !c.Ended.After(stop.Add(endWithin+signalSlack))
}

// brokeOff reports that a run's runner ended or lost its connections before the run did, and before the call had ended. An answer that
// the runner had given whole may still have been on its way then.
func (r *record) brokeOff(one *run, c *call) bool {
	place := one.Runner[:max(strings.LastIndex(one.Runner, "-"), 0)]
	until := one.end(c)
	if one.Whole {
		until = c.Ended
	}
	return slices.ContainsFunc(r.Harmed[place], func(s span) bool {
		return s.From.Equal(s.To) && s.From.After(one.At.Add(-breakSlack)) && s.From.Before(until)
	})
}

// followed reports that another runner had taken the call over before the run was left, or took it over and broke off.
func (r *record) followed(one *run, c *call, runs []run) bool {
	return slices.ContainsFunc(runs, func(other run) bool {
		return other.tookOver(one) && (other.First.Before(one.end(c)) || r.brokeOff(&other, c))
	})
}

// tookOver reports that the run answered, and later than another where that answered at all.
func (one *run) tookOver(from *run) bool {
	return !one.First.IsZero() && (from.First.IsZero() || one.First.After(from.First))
}

// end is when the run ended, at the latest with the call.
func (one *run) end(c *call) time.Time {
	if one.Until.IsZero() || one.Until.After(c.Ended) {
		return c.Ended
	}
	return one.Until
}
