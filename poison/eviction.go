package poison

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// spareShare is the part of the limit that is dropped at once where it is reached, so that a flood sorts the records seldom.
	spareShare = 4
	// expireEvery is how often crashes are looked for that have grown too old.
	expireEvery = 10 * time.Second
)

// expire forgets the crashes that no longer count for their age; the lock is held.
func (t *Tracker) expire(now time.Time) {
	if now.Before(t.expires) {
		return
	}
	t.expires = now.Add(expireEvery)
	maps.DeleteFunc(t.trials, func(_ Fingerprint, until time.Time) bool { return !now.Before(until) })
	var next *list.Element
	for e := t.changes.Front(); e != nil; e = next {
		next = e.Next()
		if now.Sub(e.Value.(*record).at) >= Window {
			t.remove(e)
		}
	}
}

// shrink drops the crashes that matter least; the lock is held.
func (t *Tracker) shrink(now time.Time) {
	type ranked struct {
		element *list.Element
		crashes int
	}
	all := make([]ranked, 0, t.changes.Len())
	for e := t.changes.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		n := 0
		if r.counts(now) {
			n = t.count(now, r.crash.Request)
		}
		all = append(all, ranked{element: e, crashes: n})
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.element.Value.(*record).at.Compare(b.element.Value.(*record).at))
	})
	for _, r := range all[:len(all)-t.limit()*(spareShare-1)/spareShare] {
		t.remove(r.element)
	}
}

// remove forgets one crash; the lock is held.
func (t *Tracker) remove(e *list.Element) {
	f := e.Value.(*record).crash.Request
	t.changes.Remove(e)
	rest := slices.DeleteFunc(t.requests[f], func(other *list.Element) bool { return other == e })
	if len(rest) == 0 {
		delete(t.requests, f)
		return
	}
	t.requests[f] = rest
}

func (t *Tracker) limit() int { return cmp.Or(t.Limit, DefaultLimit) }
