package backpressure

import "time"

// Observation is the limit that an answer named, or that it named none; the zero value is of no answer. Times are of one clock.
type Observation struct {
	Limit Limit
	// Sent is when the request was sent, Received when the head of its answer came: the runner spoke in between.
	Sent     time.Time
	Received time.Time
}

// Widen allows for times that were read from another clock.
func (o Observation) Widen(by time.Duration) Observation {
	o.Sent, o.Received = o.Sent.Add(-by), o.Received.Add(by)
	return o
}

// Merge is what counts of two observations: the later one, or the tighter where answers have crossed on the way.
func Merge(a, b Observation) Observation {
	switch {
	case a.precedes(b):
		return b
	case b.precedes(a):
		return a
	case a.Limit.tighter(b.Limit):
		return a.until(b)
	default:
		return b.until(a)
	}
}

// precedes reports that the runner spoke certainly earlier than in the other observation.
func (o Observation) precedes(other Observation) bool { return !other.Sent.Before(o.Received) }

// until is the observation as one that only an answer later than the other, too, takes back.
func (o Observation) until(other Observation) Observation {
	if other.Received.After(o.Received) {
		o.Received = other.Received
	}
	return o
}
