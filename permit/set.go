package permit

import (
	"slices"
	"time"
)

// mostHeld bounds the permits that are kept for one runner.
const mostHeld = 64

// Set are the permits that an entry has for one runner, by when they end; the zero value has none.
type Set struct{ ends []time.Time }

// Add takes permits that may be used until the given moment.
func (p *Set) Add(n int, until time.Time) {
	n = min(n, mostHeld-len(p.ends))
	for range n {
		p.ends = append(p.ends, until)
	}
}

// Available reports that a request may begin.
func (p *Set) Available(now time.Time) bool {
	p.expire(now)
	return len(p.ends) > 0
}

// Take uses the permit that ends first, and reports whether there is one.
func (p *Set) Take(now time.Time) bool {
	p.expire(now)
	if len(p.ends) == 0 {
		return false
	}
	first := 0
	for i, end := range p.ends {
		if end.Before(p.ends[first]) {
			first = i
		}
	}
	p.ends = slices.Delete(p.ends, first, first+1)
	return true
}

func (p *Set) expire(now time.Time) {
	p.ends = slices.DeleteFunc(p.ends, func(end time.Time) bool { return !now.Before(end) })
}
