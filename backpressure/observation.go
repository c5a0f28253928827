package backpressure

import "time"

// Observation is the limit, if any, that a response of the runner stated. The zero value stands for no response. Both
// times are read from the same clock.
type Observation struct {
	Limit Limit
	// Sent is when the request was sent, and Received when the response headers arrived. The runner stated the limit at
	// some time in between.
	Sent     time.Time
	Received time.Time
}

// Widen extends the observation's time range by a margin on both sides, to allow for the skew of another clock.
func (o Observation) Widen(margin time.Duration) Observation {
	o.Sent, o.Received = o.Sent.Add(-margin), o.Received.Add(margin)
	return o
}

// Merge returns the observation in force out of two: the later one, or the one with the stricter limit if their time
// ranges overlap, so that their order is unknown.
func Merge(a, b Observation) Observation {
	switch {
	case a.precedes(b):
		return b
	case b.precedes(a):
		return a
	case a.Limit.stricterThan(b.Limit):
		return a.extendReceived(b)
	default:
		return b.extendReceived(a)
	}
}

// precedes reports whether the runner certainly stated this limit before the other: the response arrived before the
// other request was sent.
func (o Observation) precedes(other Observation) bool { return !other.Sent.Before(o.Received) }

// extendReceived returns the observation with Received no earlier than the other's, so that only a response that is
// later than both replaces it.
func (o Observation) extendReceived(other Observation) Observation {
	if other.Received.After(o.Received) {
		o.Received = other.Received
	}
	return o
}
