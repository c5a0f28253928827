package permit

import "time"

// Pacer enforces a minimum interval between one sender's requests to a runner while no allocator issues permits. The
// zero value is ready to use.
type Pacer struct {
	// next is when the next request may start; zero before the first call to Due.
	next time.Time
	// interval is the time between two requests, as last passed to Due.
	interval time.Duration
}

// Due reports whether a request may start now, given the interval between two requests. The phase, from 0 to 1, places
// the first request within the interval, so that senders that start pacing at the same time do not send at the same
// time.
func (p *Pacer) Due(now time.Time, interval time.Duration, phase float64) bool {
	p.interval = interval
	switch {
	case p.next.IsZero():
		p.next = now.Add(time.Duration(phase * float64(interval)))
	case p.next.After(now.Add(interval)):
		p.next = now.Add(interval) // the interval was longer before
	}
	return !now.Before(p.next)
}

// RecordStart records that a request has started. It has no effect before the first call to Due.
func (p *Pacer) RecordStart(now time.Time) {
	if !p.next.IsZero() {
		p.next = now.Add(p.interval)
	}
}

// Reset returns the pacer to its zero value.
func (p *Pacer) Reset() { *p = Pacer{} }
