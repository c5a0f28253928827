package poison

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// evictionDivisor sets how much is evicted at once: at the limit, the records are reduced by 1/evictionDivisor of it.
	// Evicting many at once keeps the sorting rare if crashes come in at a high rate.
	evictionDivisor = 4
	// expiryInterval is the interval between searches for expired crashes.
	expiryInterval = 10 * time.Second
)

// expire removes crashes older than Window. The caller must hold the lock.
func (t *Tracker) expire(now time.Time) {
	if now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(expiryInterval)
	maps.DeleteFunc(t.trialDeadlines, func(_ Fingerprint, until time.Time) bool { return !now.Before(until) })
	var next *list.Element
	for e := t.records.Front(); e != nil; e = next {
		next = e.Next()
		if now.Sub(e.Value.(*record).at) >= Window {
			t.remove(e)
		}
	}
}

// evict removes the least important crashes (see Tracker.Limit). The caller must hold the lock.
func (t *Tracker) evict(now time.Time) {
	type candidate struct {
		element *list.Element
		crashes int
	}
	candidates := make([]candidate, 0, t.records.Len())
	for e := t.records.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		runs := 0
		if r.active(now) {
			runs = t.activeRuns(now, r.crash.Request)
		}
		candidates = append(candidates, candidate{element: e, crashes: runs})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.element.Value.(*record).at.Compare(b.element.Value.(*record).at))
	})
	for _, c := range candidates[:len(candidates)-t.limit()*(evictionDivisor-1)/evictionDivisor] {
		t.remove(c.element)
	}
}

// remove removes one crash. The caller must hold the lock.
func (t *Tracker) remove(e *list.Element) {
	f := e.Value.(*record).crash.Request
	t.records.Remove(e)
	remaining := slices.DeleteFunc(t.requests[f], func(other *list.Element) bool { return other == e })
	if len(remaining) == 0 {
		delete(t.requests, f)
		delete(t.suspectedParts, f)
		return
	}
	t.requests[f] = remaining
}

func (t *Tracker) limit() int { return cmp.Or(t.Limit, DefaultLimit) }
