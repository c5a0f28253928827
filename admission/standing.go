package admission

import "time"

// StandingQueue detects a backlog that lasts: requests which could be in time have waited without a break, so that those which come later always
// find others before them. As CoDel does for packets, it asks for how long the queue has not been empty, not for how long it is, so that a
// short burst turns nobody away. Its zero value has seen none.
type StandingQueue struct {
	since time.Time
}

// Observe records whether requests that can be in time wait.
func (s *StandingQueue) Observe(now time.Time, waiting bool) {
	switch {
	case !waiting:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
}

// Age is for how long requests have waited without a break.
func (s *StandingQueue) Age(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}

// ShouldShed reports that a request won't be served: it can't be in time, even if only those before it go first, which takes the given wait, and
// others that can have come for longer than it may wait for its own first token.
func (s *StandingQueue) ShouldShed(now time.Time, r Request, wait time.Duration) bool {
	return r.Deprioritized(now.Add(wait)) && s.Age(now) >= r.TargetTime.Sub(r.Arrived)
}
