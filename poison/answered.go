package poison

import "time"

// maxAnswered limits an answeredSet to about 0.5 MB. At 10 requests per second, an entry remembers each request for 7
// to 14 minutes.
const maxAnswered = 8192

// answeredSet is a set of the requests that runners have recently answered. It has two generations: once the current
// one is full or Window old, it replaces the previous one. The zero value is an empty set.
type answeredSet struct {
	current, previous map[Fingerprint]struct{}
	currentSince      time.Time
}

// add records that a runner has answered a request with the fingerprint.
func (a *answeredSet) add(now time.Time, f Fingerprint) {
	if a.current == nil || len(a.current) >= maxAnswered/2 || now.Sub(a.currentSince) >= Window {
		a.previous, a.current, a.currentSince = a.current, map[Fingerprint]struct{}{}, now
	}
	a.current[f] = struct{}{}
}

// contains reports whether a runner has recently answered a request with the fingerprint.
func (a *answeredSet) contains(f Fingerprint) bool {
	if _, ok := a.current[f]; ok {
		return true
	}
	_, ok := a.previous[f]
	return ok
}
