package roster

import (
	"slices"
	"time"
)

// waitDecayDivisor sets how fast the greatest recent wait decays: each shorter wait reduces it by this fraction, a
// half. With five entries and eighteen runners, a runner gets one request a second from each entry, so three
// seconds after a queue of 4 s has gone the estimate is down to 0.5 s.
const waitDecayDivisor = 2

// waitEstimate estimates the time to the first token of this process's requests to one runner.
type waitEstimate struct {
	// pending holds the send times of the requests without a first token, oldest first.
	pending []time.Time
	// recentMax is the greatest recent wait.
	recentMax time.Duration
}

// addSent records that a request is sent.
func (w *waitEstimate) addSent(at time.Time) { w.pending = append(w.pending, at) }

// addFirstToken records the first token of a request and its wait.
func (w *waitEstimate) addFirstToken(now, sent time.Time) {
	w.removePending(sent)
	w.recentMax = max(now.Sub(sent), w.recentMax-w.recentMax/waitDecayDivisor)
}

// removePending records that a request will get no first token.
func (w *waitEstimate) removePending(sent time.Time) {
	if i := slices.IndexFunc(w.pending, sent.Equal); i >= 0 {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
}

// expected returns the expected wait of a request that is sent now: at least as long as recent requests waited, or
// the oldest pending one has waited so far.
func (w *waitEstimate) expected(now time.Time) time.Duration {
	if len(w.pending) == 0 {
		return w.recentMax
	}
	return max(w.recentMax, now.Sub(w.pending[0]))
}
