package roster

import (
	"slices"
	"time"
)

// waitDecay is the part of the greatest wait that each shorter one after it takes away: half. A runner gets a request a second from each
// of five entries before eighteen runners, so that of a queue of 4 s that has gone half a second is left after three seconds.
const waitDecay = 2

// waitEstimate is how long this process's requests take at one runner from their send to their first token.
type waitEstimate struct {
	// pending are when those that have not begun were sent, oldest first.
	pending []time.Time
	// recent is the greatest wait of late.
	recent time.Duration
}

// sent records that a request goes to the runner.
func (w *waitEstimate) sent(at time.Time) { w.pending = append(w.pending, at) }

// begun records the first token of a request.
func (w *waitEstimate) begun(now, sent time.Time) {
	w.dropped(sent)
	w.recent = max(now.Sub(sent), w.recent-w.recent/waitDecay)
}

// dropped records that a request will not begin.
func (w *waitEstimate) dropped(sent time.Time) {
	if i := slices.IndexFunc(w.pending, sent.Equal); i >= 0 {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
}

// expected is how long a request that is sent now is taken to wait: as long as those before it did, or do.
func (w *waitEstimate) expected(now time.Time) time.Duration {
	if len(w.pending) == 0 {
		return w.recent
	}
	return max(w.recent, now.Sub(w.pending[0]))
}
