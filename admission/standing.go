package admission

import "time"

// StandingQueue detects a standing queue: requests that can still meet their target have been waiting without
// interruption, so every later request finds others ahead of it. Like CoDel for packets, it looks at how long the queue
// has not been empty rather than at its length, so that a short burst sheds no requests. The zero value has no
// observations.
type StandingQueue struct {
	nonEmptySince time.Time
}

// Observe records whether any request that can still meet its target is waiting.
func (q *StandingQueue) Observe(now time.Time, waiting bool) {
	switch {
	case !waiting:
		q.nonEmptySince = time.Time{}
	case q.nonEmptySince.IsZero():
		q.nonEmptySince = now
	}
}

// Age returns how long such requests have been waiting without interruption.
func (q *StandingQueue) Age(now time.Time) time.Duration {
	if q.nonEmptySince.IsZero() {
		return 0
	}
	return now.Sub(q.nonEmptySince)
}

// ShouldShed reports whether to refuse a request. That is the case if it will be deprioritized once the requests ahead
// of it are admitted, which takes the given wait, and the queue has been standing for at least the time that the
// request itself has between arrival and target.
func (q *StandingQueue) ShouldShed(now time.Time, r Request, wait time.Duration) bool {
	return r.Deprioritized(now.Add(wait)) && q.Age(now) >= r.TargetTime.Sub(r.Arrived)
}
