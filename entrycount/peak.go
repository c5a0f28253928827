package entrycount

import "time"

// TTL is how long a number counts after it was last named, so that entries that move to another agent or relay are counted
// meanwhile.
const TTL = time.Minute

// Peak is the largest number that was named lately. The zero value has none.
type Peak struct {
	value int
	until time.Time
}

// Observe records that a number was named.
func (p *Peak) Observe(n int, now time.Time) {
	if n >= p.value || now.After(p.until) {
		p.value, p.until = n, now.Add(TTL)
	}
}

// Value returns the largest number of the last while. Once no number is named any more the last one stays.
func (p *Peak) Value() int { return p.value }
