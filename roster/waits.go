package roster

import (
	"slices"
	"time"
)

// waitDecay is the part of the greatest wait that each shorter one after it takes away. A runner gets a request a second from each of
// five entries before eighteen runners, so that a queue that has gone is forgotten within some five seconds.
const waitDecay = 8

// waits are the times that this process's requests at one runner take from their send to their first token.
type waits struct {
	// pending are when those that have not begun were sent, oldest first.
	pending []time.Time
	// recent is the greatest wait of late.
	recent time.Duration
}

// sent records that a request goes to the runner.
func (w *waits) sent(at time.Time) { w.pending = append(w.pending, at) }

// begun records the first token of a request.
func (w *waits) begun(now, sent time.Time) {
	w.dropped(sent)
	w.recent = max(now.Sub(sent), w.recent-w.recent/waitDecay)
}

// dropped records that a request will not begin.
func (w *waits) dropped(sent time.Time) {
	if i := slices.IndexFunc(w.pending, sent.Equal); i >= 0 {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
}

// expected is how long a request that is sent now is taken to wait: as long as those before it did, or do.
func (w *waits) expected(now time.Time) time.Duration {
	if len(w.pending) == 0 {
		return w.recent
	}
	return max(w.recent, now.Sub(w.pending[0]))
}
