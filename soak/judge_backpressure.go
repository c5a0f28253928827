package main

import (
	"slices"
	"time"
)

// notice is a backpressure signal of a runner that an entry received in a response.
type notice struct {
	arrival
	entry int
	at    time.Time
}

// trackedArrival is a request that reached a runner, with the call that it belongs to.
type trackedArrival struct {
	arrival
	call *callRecord
}

// checkBackpressure reports requests that reached runners despite a rate limit, a Retry-After or an announced leave.
func (r *observations) checkBackpressure(report func(string, ...any)) {
	byRunner, notices := r.arrivalsByRunner(), map[string][]notice{}
	for _, t := range r.notices() {
		notices[t.Runner] = append(notices[t.Runner], t)
	}
	for runner, reached := range byRunner {
		r.checkRateLimit(runner, reached, notices[runner], report)
		for _, t := range notices[runner] {
			r.checkRetryAfter(t, reached, report)
		}
		r.checkAnnouncedLeaving(reached, notices[runner], report)
	}
}

// arrivalsByRunner returns the requests that reached each runner, ordered by arrival.
func (r *observations) arrivalsByRunner() map[string][]trackedArrival {
	byID, byRunner := r.callsByID(), map[string][]trackedArrival{}
	for _, a := range r.Arrivals {
		if c := byID[a.ID]; c != nil {
			byRunner[a.Runner] = append(byRunner[a.Runner], trackedArrival{arrival: a, call: c})
		}
	}
	for _, all := range byRunner {
		slices.SortFunc(all, func(a, b trackedArrival) int { return a.At.Compare(b.At) })
	}
	return byRunner
}

// notices returns what entries learned from responses, ordered by time. An entry learns from a refusal at once, and
// from any other response by the time the caller has received it. Responses to requests that reached several runners
// are ignored, since they may have come from another runner.
func (r *observations) notices() []notice {
	byID, times := r.callsByID(), map[string]int{}
	for _, a := range r.Arrivals {
		times[a.ID]++
	}
	var all []notice
	for _, a := range r.Arrivals {
		c := byID[a.ID]
		switch {
		case c == nil || !a.Limited && !a.Leaving && !a.Refused:
		case a.Refused:
			all = append(all, notice{arrival: a, entry: c.Entry, at: a.At})
		case times[a.ID] == 1 && c.Status == statusOK && !c.Truncated:
			all = append(all, notice{arrival: a, entry: c.Entry, at: c.EndedAt})
		}
	}
	slices.SortFunc(all, func(a, b notice) int { return a.at.Compare(b.at) })
	return all
}

// entryInterrupted reports whether the call's entry was started or paused between since and at.
func (r *observations) entryInterrupted(c *callRecord, since, at time.Time) bool {
	e := r.Entries[c.Entry]
	within := func(s interval) bool { return s.From.Before(at) && s.To.After(since) }
	return slices.ContainsFunc(e.Outages, within) || slices.ContainsFunc(e.Lifetimes, func(l processLifetime) bool { return within(interval{From: l.Started, To: l.Started}) })
}

// checkRateLimit reports runners that received more than their limit allows within a window from entries that knew of
// it.
func (r *observations) checkRateLimit(runner string, arrivals []trackedArrival, notices []notice, report func(string, ...any)) {
	first := slices.IndexFunc(arrivals, func(p trackedArrival) bool { return p.Limited })
	if first < 0 {
		return
	}
	bound := arrivals[first].At.Add(settleTime)
	var known []time.Time
	for _, p := range arrivals {
		if !p.Limited || !r.knewLimit(p, notices) {
			continue
		}
		known = append(known, p.At)
		within := slices.DeleteFunc(slices.Clone(known), func(at time.Time) bool { return p.At.Sub(at) >= limitWindow })
		if !p.At.Before(bound) && float64(len(within)) > announcedLimit*limitFactor*limitWindow.Seconds()+limitSlack {
			report("runner %s got %d requests in %s from entries that knew of its limit, the last %s", runner, len(within), limitWindow, p.ID)
			return
		}
	}
}

// knewLimit reports whether the entry of a request had learned of the runner's limit and had been connected since.
func (r *observations) knewLimit(p trackedArrival, notices []notice) bool {
	return !r.entryDisconnected(p.call, p.At) && slices.ContainsFunc(notices, func(t notice) bool {
		return t.Limited && t.entry == p.call.Entry && !t.at.Add(noticeDelay).After(p.At) && !r.entryInterrupted(p.call, t.at, p.At)
	})
}

// checkRetryAfter reports requests that an entry sent to a runner during its Retry-After.
func (r *observations) checkRetryAfter(t notice, arrivals []trackedArrival, report func(string, ...any)) {
	if !t.Refused {
		return
	}
	n := 0
	for _, p := range arrivals {
		within := !p.At.Before(t.at.Add(noticeDelay)) && p.At.Before(t.at.Add(retryAfter))
		if within && p.call.Entry == t.entry && !r.entryInterrupted(p.call, t.at, p.At) && !r.entryDisconnected(p.call, p.At) {
			n++
		}
	}
	if n > maxDuringRetryAfter {
		report("runner %s got %d requests from an entry that it had asked for rest by its answer to %s", t.Runner, n, t.ID)
	}
}

// checkAnnouncedLeaving reports requests that an entry sent to a runner long after a response had announced that the
// runner is leaving.
func (r *observations) checkAnnouncedLeaving(arrivals []trackedArrival, notices []notice, report func(string, ...any)) {
	first := map[int]time.Time{}
	for _, t := range notices {
		if at, known := first[t.entry]; t.Leaving && (!known || t.at.Before(at)) {
			first[t.entry] = t.at
		}
	}
	for _, p := range arrivals {
		at, known := first[p.call.Entry]
		if known && p.call.SentAt.After(at.Add(leaveWithin)) && !r.entryInterrupted(p.call, at, p.At) {
			report("request %s reached runner %s, sent %s after its answer had told the entry that it leaves", p.ID, p.Runner, p.call.SentAt.Sub(at))
		}
	}
}
