package permit

import "time"

// Pacer spaces the requests of one sender to a runner for which nobody allots permits; its zero value has sent nothing.
type Pacer struct {
	// next is when the next request may begin, zero where none has been spaced, and space the time between two.
	next  time.Time
	space time.Duration
}

// Due reports that a request may begin now, where the given time is to pass between two. The phase, from 0 to 1, says when in that time the first one
// comes: those of senders who begin together must not.
func (s *Pacer) Due(now time.Time, space time.Duration, phase float64) bool {
	s.space = space
	switch {
	case s.next.IsZero():
		s.next = now.Add(time.Duration(phase * float64(space)))
	case s.next.After(now.Add(space)):
		s.next = now.Add(space) // more time had to pass before
	}
	return !now.Before(s.next)
}

// RecordStart records that a request has begun.
func (s *Pacer) RecordStart(now time.Time) {
	if !s.next.IsZero() {
		s.next = now.Add(s.space)
	}
}

// Reset forgets what was spaced.
func (s *Pacer) Reset() { *s = Pacer{} }
