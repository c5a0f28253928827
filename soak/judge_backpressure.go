package main

import (
	"slices"
	"time"
)

// told is what an answer has told an entry of a runner.
type told struct {
	arrival
	entry int
	at    time.Time
}

// pressed is a request that reached a runner after its entry was told what that asks for.
type pressed struct {
	arrival
	call *call
}

// judgePressure finds requests that reached runners which had asked for fewer, for rest or for none.
func (r *record) judgePressure(add func(string, ...any)) {
	byRunner, tolds := r.pressed(), map[string][]told{}
	for _, t := range r.told() {
		tolds[t.Runner] = append(tolds[t.Runner], t)
	}
	for runner, reached := range byRunner {
		r.judgeLimit(runner, reached, tolds[runner], add)
		for _, t := range tolds[runner] {
			r.judgeRest(t, reached, add)
		}
		r.judgeLeavingTold(reached, tolds[runner], add)
	}
}

// pressed are the requests that reached each runner, in the order of their coming.
func (r *record) pressed() map[string][]pressed {
	byID, byRunner := r.callsByID(), map[string][]pressed{}
	for _, a := range r.Arrivals {
		if c := byID[a.ID]; c != nil {
			byRunner[a.Runner] = append(byRunner[a.Runner], pressed{arrival: a, call: c})
		}
	}
	for _, all := range byRunner {
		slices.SortFunc(all, func(a, b pressed) int { return a.At.Compare(b.At) })
	}
	return byRunner
}

// told is what entries were told: by a refusal at once, by an answer once its caller had it whole. An answer of a request that reached several runners
// may have come from another.
func (r *record) told() []told {
	byID, times := r.callsByID(), map[string]int{}
	for _, a := range r.Arrivals {
		times[a.ID]++
	}
	var all []told
	for _, a := range r.Arrivals {
		c := byID[a.ID]
		switch {
		case c == nil || !a.Limited && !a.Leaving && !a.Refused:
		case a.Refused:
			all = append(all, told{arrival: a, entry: c.Entry, at: a.At})
		case times[a.ID] == 1 && c.Status == statusOK && !c.Cut:
			all = append(all, told{arrival: a, entry: c.Entry, at: c.Ended})
		}
	}
	slices.SortFunc(all, func(a, b told) int { return a.at.Compare(b.at) })
	return all
}

// excused reports that a call's entry was started or stood still between a moment and the time at which the call reached a runner.
func (r *record) excused(c *call, since, at time.Time) bool {
	e := r.Entries[c.Entry]
	within := func(s span) bool { return s.From.Before(at) && s.To.After(since) }
	return slices.ContainsFunc(e.Outages, within) || slices.ContainsFunc(e.Lives, func(l life) bool { return within(span{From: l.Started, To: l.Started}) })
}

// judgeLimit finds times in which more reached a runner than its limit allows, from entries that knew of it.
func (r *record) judgeLimit(runner string, reached []pressed, tolds []told, add func(string, ...any)) {
	first := slices.IndexFunc(reached, func(p pressed) bool { return p.Limited })
	if first < 0 {
		return
	}
	bound := reached[first].At.Add(contact)
	var known []time.Time
	for _, p := range reached {
		if !p.Limited || !r.knewOfLimit(p, tolds) {
			continue
		}
		known = append(known, p.At)
		within := slices.DeleteFunc(slices.Clone(known), func(at time.Time) bool { return p.At.Sub(at) >= limitWindow })
		if !p.At.Before(bound) && float64(len(within)) > askedLimit*limitOver*limitWindow.Seconds()+limitSlack {
			add("runner %s got %d requests in %s from entries that knew of its limit, the last %s", runner, len(within), limitWindow, p.ID)
			return
		}
	}
}

// knewOfLimit reports that the entry of a request had been told of the runner's limit, and was in touch since.
func (r *record) knewOfLimit(p pressed, tolds []told) bool {
	return !r.outOfTouch(p.call, p.At) && slices.ContainsFunc(tolds, func(t told) bool {
		return t.Limited && t.entry == p.call.Entry && !t.at.Add(toldBefore).After(p.At) && !r.excused(p.call, t.at, p.At)
	})
}

// judgeRest finds requests that an entry sent to a runner that it was asked to leave alone.
func (r *record) judgeRest(t told, reached []pressed, add func(string, ...any)) {
	if !t.Refused {
		return
	}
	n := 0
	for _, p := range reached {
		within := !p.At.Before(t.at.Add(toldBefore)) && p.At.Before(t.at.Add(askedRest))
		if within && p.call.Entry == t.entry && !r.excused(p.call, t.at, p.At) && !r.outOfTouch(p.call, p.At) {
			n++
		}
	}
	if n > mostInRest {
		add("runner %s got %d requests from an entry that it had asked for rest by its answer to %s", t.Runner, n, t.ID)
	}
}

// judgeLeavingTold finds requests that an entry sent to a runner long after it was told by an answer that it leaves.
func (r *record) judgeLeavingTold(reached []pressed, tolds []told, add func(string, ...any)) {
	first := map[int]time.Time{}
	for _, t := range tolds {
		if at, known := first[t.entry]; t.Leaving && (!known || t.at.Before(at)) {
			first[t.entry] = t.at
		}
	}
	for _, p := range reached {
		at, known := first[p.call.Entry]
		if known && p.call.Sent.After(at.Add(leaveWithin)) && !r.excused(p.call, at, p.At) {
			add("request %s reached runner %s, sent %s after its answer had told the entry that it leaves", p.ID, p.Runner, p.call.Sent.Sub(at))
		}
	}
}
