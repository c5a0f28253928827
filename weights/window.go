package weights

import "time"

const (
	// closeMargin is kept from the bound on replaced weights for the cancellation of a request that has not begun: the timer fires late on
	// a small share of a core, the close of the connection has to reach the runner (12 ms between regions), and the name of the newer
	// weights may have reached this process late (0.4 s at the most from an agent that lives).
	closeMargin = 500 * time.Millisecond
	// leastWait is the least that a request is expected to wait at a runner that is not known to be faster or slower: on drawn days
	// with slow runners and bursts, waits of 1.6 s to 2.3 s were seen shortly before the bound, and 0.3 s for nine in ten on calm ones.
	leastWait = time.Second
)

// StartWindow is the time in which requests may begin on weights that newer ones have replaced. Its zero value has no end.
type StartWindow struct {
	// ReplacedAt is when the first newer version was named, the zero time where there is none.
	ReplacedAt time.Time
	// Bound is how long after that a request may begin, zero for as long as it likes.
	Bound time.Duration
}

// ClosesAt is when a request that has not begun is to be cancelled, since it might begin too late, the zero time where there is no end.
func (w StartWindow) ClosesAt() time.Time {
	if w.ReplacedAt.IsZero() || w.Bound <= 0 {
		return time.Time{}
	}
	return w.ReplacedAt.Add(w.Bound - closeMargin)
}

// Admits reports whether a request that is sent now to a runner with the weights begins in time, where it is expected to wait there for
// the given time.
func (w StartWindow) Admits(now time.Time, wait time.Duration) bool {
	end := w.ClosesAt()
	return end.IsZero() || now.Add(max(wait, leastWait)).Before(end)
}
