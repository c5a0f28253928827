package poison

import "time"

// maxAnswered limits an answeredSet to about 0.7 MB. At 10 requests per second, an entry remembers each request for 7
// to 14 minutes.
const maxAnswered = 8192

// answeredSet is a set of the requests that runners have recently answered, and when they last did. It has two generations:
// once the current one is full or Window old, it replaces the previous one. The zero value is an empty set.
type answeredSet struct {
	current, previous map[Fingerprint]time.Time
	currentSince      time.Time
}

// add records that a runner has answered a request with the fingerprint.
func (a *answeredSet) add(now time.Time, f Fingerprint) {
	if a.current == nil || len(a.current) >= maxAnswered/2 || now.Sub(a.currentSince) >= Window {
		a.previous, a.current, a.currentSince = a.current, map[Fingerprint]time.Time{}, now
	}
	a.current[f] = now
}

// contains reports whether a runner has recently answered a request with the fingerprint.
func (a *answeredSet) contains(f Fingerprint) bool { return !a.last(f).IsZero() }

// last returns when a runner last answered a request with the fingerprint, zero if none has recently.
func (a *answeredSet) last(f Fingerprint) time.Time {
	if at, ok := a.current[f]; ok {
		return at
	}
	return a.previous[f]
}
