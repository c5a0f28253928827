package main

import (
	"slices"
	"strings"
	"time"
)

const (
	// grace is what the settings give a process from SIGTERM to its end; a request that came in the first lateAfter of it may be
	// cut while its runner is still at work in the last sixth.
	grace     = 8 * time.Second
	lastSixth = grace * 5 / 6
	lateAfter = 3 * time.Second
	// signalSlack is how late a signal may take effect where the verdict must not depend on the machine.
	signalSlack = time.Second
	// crossing is how long after its last byte a request on a kept connection may still cross the close of it.
	crossing = 200 * time.Millisecond
	// endSlack is how long before the end of its process an entry may have closed its listener.
	endSlack = time.Second
)

// during reports that one of the times was not over for long when the call was sent, and had begun before it ended.
func during(c *call, times []span) bool {
	return slices.ContainsFunc(times, func(s span) bool {
		return s.From.Before(c.Ended) && s.To.Add(contact).After(c.Sent)
	})
}

// judgeLost finds requests that an entry took whole and gave up, under no fault of its own or of a runner.
func (r *record) judgeLost(c *call, runs []run, timed bool, add func(string, ...any)) {
	if !c.cutOnceTaken(len(runs)) || during(c, r.Entries[c.Entry].Outages) || r.harmed(c, runs) {
		return
	}
	allowed := lateAfter
	if !timed {
		if c.Kind.resumable() {
			return // on a busy machine it leaves runners that seem silent, until the retry budget is spent
		}
		allowed += signalSlack
	}
	e := r.Entries[c.Entry]
	stop := e.stopBefore(c.Ended)
	late := c.Written.Sub(stop)
	switch {
	case stop.IsZero() || c.Ended.After(stop.Add(endWithin)):
		add("request %s of kind %s, taken by entry %d, was cut after %s without a stop", c.ID, c.Kind, c.Entry, c.Ended.Sub(c.Sent))
	case late > allowed || !worksIn(runs, stop.Add(lastSixth)):
		add("request %s of kind %s, taken by entry %d %s after its SIGTERM, was cut %s after it",
			c.ID, c.Kind, c.Entry, late, c.Ended.Sub(stop))
	}
}

// cutOnceTaken reports that a request was cut which had been sent whole, which cannot just have crossed the close of its
// connection, and which had not come to its time-out.
func (c *call) cutOnceTaken(runs int) bool {
	if !c.Cut || c.Written.IsZero() || c.Ended.Sub(c.Sent) > c.Kind.timeout()-timeoutSlack {
		return false
	}
	return runs > 0 || c.Ended.Sub(c.Written) >= crossing
}

// worksIn reports that a runner was still at work at a moment.
func worksIn(runs []run, at time.Time) bool {
	return slices.ContainsFunc(runs, func(one run) bool { return one.Until.IsZero() || one.Until.After(at) })
}

// harmed reports that a runner of the call was under a fault of its own; which one it was is not known of a call that reached
// none, and of one that moves between engines by itself.
func (r *record) harmed(c *call, runs []run) bool {
	for place, times := range r.Harmed {
		concerned := len(runs) == 0 || c.Kind.engines() || slices.ContainsFunc(runs, func(one run) bool {
			return strings.HasPrefix(one.Runner, place+"-")
		})
		if concerned && during(c, times) {
			return true
		}
	}
	return false
}

// refusal is what one process refused after one SIGTERM, or before any.
type refusal struct {
	Entry int
	Stop  time.Time
}

// judgeRefused finds new connections that an entry refused, or closed without a word, while its process lived.
func (r *record) judgeRefused(runs map[string][]run, add func(string, ...any)) {
	refused := map[refusal][]*call{}
	for i := range r.Calls {
		c := &r.Calls[i]
		e := r.Entries[c.Entry]
		if (c.Refused || c.closed() && len(runs[c.ID]) == 0) && e.livedAt(c.Sent, endSlack) && !during(c, e.Outages) {
			key := refusal{Entry: c.Entry, Stop: e.stopBefore(c.Sent)}
			refused[key] = append(refused[key], c)
		}
	}
	for key, calls := range refused {
		first, last := calls[0], calls[len(calls)-1]
		add("entry %d lived and took none of %d new connections, from %s to %s after its SIGTERM, the first for request %s",
			key.Entry, len(calls), first.Sent.Sub(key.Stop), last.Sent.Sub(key.Stop), first.ID)
	}
}

// closed reports that a new connection was closed without a word, soon after the request had been sent.
func (c *call) closed() bool {
	return c.Fresh && c.Cut && c.Status == 0 && !c.Written.IsZero() && c.Ended.Sub(c.Written) < crossing
}

// judgeLives finds processes that ended by themselves; how long one takes to become ready, and so what reaches it before, depends
// on the machine.
func (r *record) judgeLives(timed bool, add func(string, ...any)) {
	for number, e := range r.Entries {
		for _, l := range e.Lives {
			if !l.Ended.IsZero() && !l.Asked && (timed || !l.Ready.IsZero()) {
				add("entry %d ended by itself", number)
			}
		}
	}
}
