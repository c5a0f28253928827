package permit

import (
	"slices"
	"time"
)

// maxHeld is the most permits that a Set holds.
const maxHeld = 64

// Set holds an entry's permits for one runner as a list of expiration times. The zero value is empty.
type Set struct{ expirations []time.Time }

// Add adds n permits that expire at the given time. Permits beyond maxHeld are dropped.
func (s *Set) Add(n int, until time.Time) {
	n = min(n, maxHeld-len(s.expirations))
	for range n {
		s.expirations = append(s.expirations, until)
	}
}

// Available reports whether the set holds a permit that has not expired.
func (s *Set) Available(now time.Time) bool {
	s.expire(now)
	return len(s.expirations) > 0
}

// Take uses the permit that expires first, and reports whether there was one.
func (s *Set) Take(now time.Time) bool {
	s.expire(now)
	if len(s.expirations) == 0 {
		return false
	}
	first := 0
	for i, end := range s.expirations {
		if end.Before(s.expirations[first]) {
			first = i
		}
	}
	s.expirations = slices.Delete(s.expirations, first, first+1)
	return true
}

func (s *Set) expire(now time.Time) {
	s.expirations = slices.DeleteFunc(s.expirations, func(end time.Time) bool { return !now.Before(end) })
}
