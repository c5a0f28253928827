package localstate

import (
	"sync"
	"time"
)

const (
	// stallLeast is the least time without a tick, one of which is due every expireEvery, after which the process is taken to have
	// stood still: ticks come some 0.1 s late on a seventh of a core.
	stallLeast = time.Second
	// suspensionLeast is the least suspension of the machine that counts as one; two clocks that are read one after the other differ by less.
	suspensionLeast = 100 * time.Millisecond
	// deliverWithin is how soon after the end of a stall, or after a question asked since, a process hears of what was done meanwhile:
	// the messages wait for it, and the object store answers within some ms, or 0.35 s where it is slow.
	deliverWithin = 500 * time.Millisecond
)

// stallDetector notices that the process stood still, after which it cannot know when what it hears of was done. Its zero value is ready.
type stallDetector struct {
	// Suspended is for how long the machine has been suspended until now: the ticks' clock stands still meanwhile. It may be nil.
	Suspended func() time.Duration

	mu sync.Mutex
	// suspended is what Suspended said at the last tick.
	suspended time.Duration
	ticked    time.Time
	// ended is when the last stall did, and behind says that no question asked since then has been answered.
	ended  time.Time
	behind bool
	// asked is when the source was last asked.
	asked time.Time
}

// tick is to be called every expireEvery.
func (d *stallDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notice(now)
}

// notice records that the process runs now; the lock is held.
func (d *stallDetector) notice(now time.Time) {
	suspended := d.suspension()
	if !d.ticked.IsZero() && (now.Sub(d.ticked) > stallLeast || suspended-d.suspended >= suspensionLeast) {
		d.ended, d.behind = now, true
	}
	d.ticked, d.suspended = now, suspended
}

func (d *stallDetector) suspension() time.Duration {
	if d.Suspended == nil {
		return 0
	}
	return d.Suspended()
}

// ask records that the source is asked for changes.
func (d *stallDetector) ask(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notice(now)
	d.asked = now
}

// answer records that a whole answer of the source has been taken over.
func (d *stallDetector) answer(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notice(now)
	d.behind = d.behind && d.asked.Before(d.ended)
}

// doubts reports that a change which is heard of now may have been made a while ago: an answer may have waited for the end of a stall,
// and the first question after it is answered at once with what was done meanwhile.
func (d *stallDetector) doubts(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notice(now)
	return soonAfter(now, d.ended) || d.behind && soonAfter(now, d.asked)
}

// stalledSince reports that the process stood still after the given moment.
func (d *stallDetector) stalledSince(then, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notice(now)
	return d.ended.After(then)
}

func soonAfter(now, then time.Time) bool { return !then.IsZero() && now.Sub(then) < deliverWithin }
