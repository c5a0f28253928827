package main

import (
	"slices"
	"time"
)

// notice is what an answer has notice an entry of a runner.
type notice struct {
	arrival
	entry int
	at    time.Time
}

// trackedArrival is a request that reached a runner after its entry was told what that asks for.
type trackedArrival struct {
	arrival
	call *callRecord
}

// checkBackpressure finds requests that reached runners which had asked for fewer, for rest or for none.
func (r *observations) checkBackpressure(add func(string, ...any)) {
	byRunner, tolds := r.arrivalsByRunner(), map[string][]notice{}
	for _, t := range r.notices() {
		tolds[t.Runner] = append(tolds[t.Runner], t)
	}
	for runner, reached := range byRunner {
		r.checkRateLimit(runner, reached, tolds[runner], add)
		for _, t := range tolds[runner] {
			r.checkRetryAfter(t, reached, add)
		}
		r.checkAnnouncedLeaving(reached, tolds[runner], add)
	}
}

// arrivalsByRunner are the requests that reached each runner, in the order of their coming.
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

// notices is what entries were notices: by a refusal at once, by an answer once its caller had it whole. An answer of a request that reached several runners
// may have come from another.
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

// entryInterrupted reports that a call's entry was started or stood still between a moment and the time at which the call reached a runner.
func (r *observations) entryInterrupted(c *callRecord, since, at time.Time) bool {
	e := r.Entries[c.Entry]
	within := func(s interval) bool { return s.From.Before(at) && s.To.After(since) }
	return slices.ContainsFunc(e.Outages, within) || slices.ContainsFunc(e.Lifetimes, func(l processLifetime) bool { return within(interval{From: l.Started, To: l.Started}) })
}

// checkRateLimit finds times in which more reached a runner than its limit allows, from entries that knew of it.
func (r *observations) checkRateLimit(runner string, reached []trackedArrival, tolds []notice, add func(string, ...any)) {
	first := slices.IndexFunc(reached, func(p trackedArrival) bool { return p.Limited })
	if first < 0 {
		return
	}
	bound := reached[first].At.Add(settleTime)
	var known []time.Time
	for _, p := range reached {
		if !p.Limited || !r.knewLimit(p, tolds) {
			continue
		}
		known = append(known, p.At)
		within := slices.DeleteFunc(slices.Clone(known), func(at time.Time) bool { return p.At.Sub(at) >= limitWindow })
		if !p.At.Before(bound) && float64(len(within)) > announcedLimit*limitFactor*limitWindow.Seconds()+limitSlack {
			add("runner %s got %d requests in %s from entries that knew of its limit, the last %s", runner, len(within), limitWindow, p.ID)
			return
		}
	}
}

// knewLimit reports that the entry of a request had been told of the runner's limit, and was in touch since.
func (r *observations) knewLimit(p trackedArrival, tolds []notice) bool {
	return !r.entryDisconnected(p.call, p.At) && slices.ContainsFunc(tolds, func(t notice) bool {
		return t.Limited && t.entry == p.call.Entry && !t.at.Add(noticeDelay).After(p.At) && !r.entryInterrupted(p.call, t.at, p.At)
	})
}

// checkRetryAfter finds requests that an entry sent to a runner that it was asked to leave alone.
func (r *observations) checkRetryAfter(t notice, reached []trackedArrival, add func(string, ...any)) {
	if !t.Refused {
		return
	}
	n := 0
	for _, p := range reached {
		within := !p.At.Before(t.at.Add(noticeDelay)) && p.At.Before(t.at.Add(retryAfter))
		if within && p.call.Entry == t.entry && !r.entryInterrupted(p.call, t.at, p.At) && !r.entryDisconnected(p.call, p.At) {
			n++
		}
	}
	if n > maxDuringRetryAfter {
		add("runner %s got %d requests from an entry that it had asked for rest by its answer to %s", t.Runner, n, t.ID)
	}
}

// checkAnnouncedLeaving finds requests that an entry sent to a runner long after it was told by an answer that it leaves.
func (r *observations) checkAnnouncedLeaving(reached []trackedArrival, tolds []notice, add func(string, ...any)) {
	first := map[int]time.Time{}
	for _, t := range tolds {
		if at, known := first[t.entry]; t.Leaving && (!known || t.at.Before(at)) {
			first[t.entry] = t.at
		}
	}
	for _, p := range reached {
		at, known := first[p.call.Entry]
		if known && p.call.SentAt.After(at.Add(leaveWithin)) && !r.entryInterrupted(p.call, at, p.At) {
			add("request %s reached runner %s, sent %s after its answer had told the entry that it leaves", p.ID, p.Runner, p.call.SentAt.Sub(at))
		}
	}
}
