package poison

import "time"

// answeredLimit bounds how many answered requests are remembered, some 0.5 MB: an entry with 10 requests a second remembers half an hour.
const answeredLimit = 8192

// answered remembers which requests runners have answered lately, in two generations, the older of which is dropped once the newer is full or
// as old as Window; its zero value is ready.
type answered struct {
	newer, older map[Fingerprint]struct{}
	begun        time.Time
}

// add records that a runner has answered such a request.
func (a *answered) add(now time.Time, f Fingerprint) {
	if a.newer == nil || len(a.newer) >= answeredLimit/2 || now.Sub(a.begun) >= Window {
		a.older, a.newer, a.begun = a.newer, map[Fingerprint]struct{}{}, now
	}
	a.newer[f] = struct{}{}
}

// has reports that a runner has answered such a request lately.
func (a *answered) has(f Fingerprint) bool {
	if _, ok := a.newer[f]; ok {
		return true
	}
	_, ok := a.older[f]
	return ok
}
