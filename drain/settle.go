package drain

import "time"

// Wait is bounded by a deadline and by a number of checks, so that a process that stands still past the deadline still
// looks at what has arrived meanwhile.
type Wait struct {
	Deadline time.Time
	// MinChecks is the number of checks that are made whatever the time.
	MinChecks int

	checks int
}

// Over records a check, and reports whether the wait has reached both its bounds.
func (w *Wait) Over(now time.Time) bool {
	w.checks++
	return w.checks > w.MinChecks && !now.Before(w.Deadline)
}

// Arrivals is what one check finds on the connections of callers.
type Arrivals struct {
	// Unread reports whether data or connections have arrived that the process has not taken yet.
	Unread bool
	// Unanswered is the number of requests that are being received or have no complete answer.
	Unanswered int
}

// Settling decides when a process that accepts no more connections may close the remaining ones.
type Settling struct {
	// Unread bounds the wait for data to be read, and Late the wait for requests to be received and answered, of which
	// only checks without unread data count.
	Unread, Late Wait
	// QuietChecks is how many checks in a row must find nothing.
	QuietChecks int

	quiet int
}

// Done reports, after a check, whether the connections may be closed.
func (s *Settling) Done(now time.Time, a Arrivals) bool {
	if a.Unread && !s.Unread.Over(now) {
		s.quiet = 0
		return false
	}
	s.quiet++
	if a.Unread || a.Unanswered > 0 {
		s.quiet = 0
	}
	return s.quiet >= s.QuietChecks || s.Late.Over(now)
}
