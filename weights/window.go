package weights

import "time"

const (
	// cancelMargin is how long before the bound on replaced weights a request that has not begun is cancelled. It
	// covers a timer that fires late on a small share of a core, the time for the closed connection to reach the
	// runner (12 ms between regions), and the delay until this process learns of the newer version (at most
	// 0.4 s from a live agent).
	cancelMargin = 500 * time.Millisecond
	// minExpectedWait is the least time that a request is assumed to wait at a runner. Without slow runners and
	// bursts nine in ten requests wait at most 0.3 s; with them, waits shortly before the bound reach 1.6 s to 2.3 s.
	minExpectedWait = time.Second
)

// StartWindow is the time during which requests may begin on weights that a newer version has replaced. The zero
// value never closes.
type StartWindow struct {
	// ReplacedAt is when the first newer version was requested, the zero time if there is none.
	ReplacedAt time.Time
	// Bound is how long after ReplacedAt a request may begin; zero means no limit.
	Bound time.Duration
}

// ClosesAt returns when to cancel a request that has not begun, because it might begin too late. It is the zero time
// if the window never closes.
func (w StartWindow) ClosesAt() time.Time {
	if w.ReplacedAt.IsZero() || w.Bound <= 0 {
		return time.Time{}
	}
	return w.ReplacedAt.Add(w.Bound - cancelMargin)
}

// Admits reports whether a request that is sent to the runner now and is expected to wait there for the given time
// begins before the window closes.
func (w StartWindow) Admits(now time.Time, wait time.Duration) bool {
	end := w.ClosesAt()
	return end.IsZero() || now.Add(max(wait, minExpectedWait)).Before(end)
}
