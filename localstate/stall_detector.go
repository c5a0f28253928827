package localstate

import (
	"sync"
	"time"
)

const (
	// minStall is the time without a tick after which the process counts as stalled. A tick is due every
	// expireInterval; on a seventh of a core, ticks are about 0.1 s late.
	minStall = time.Second
	// minSuspension is the shortest suspension of the machine that counts. Two clocks that are read one after the
	// other differ by less.
	minSuspension = 100 * time.Millisecond
	// maxDeliveryDelay is how soon after the end of a stall, or after the first request since, a process receives
	// what was changed meanwhile. Messages wait in its buffers, and the object store responds within milliseconds,
	// or 0.35 s if it is slow.
	maxDeliveryDelay = 500 * time.Millisecond
)

// stallDetector detects that the process was stalled. After a stall it cannot tell when the changes that it
// receives were made. The zero value is ready to use.
type stallDetector struct {
	// SuspendedTime returns how long the machine has been suspended in total, which the clock of the ticks does
	// not count. It may be nil.
	SuspendedTime func() time.Duration

	mu sync.Mutex
	// lastSuspendedTime is the result of SuspendedTime at the last tick.
	lastSuspendedTime time.Duration
	lastTick          time.Time
	// lastStallEnd is when the last stall ended, and catchingUp means that no request since then has been answered.
	lastStallEnd time.Time
	catchingUp   bool
	// lastRequest is when the source was last asked.
	lastRequest time.Time
}

// tick must be called every expireInterval.
func (d *stallDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check(now)
}

// check records that the process is running now, and detects a stall since the last check. The lock must be held.
func (d *stallDetector) check(now time.Time) {
	suspended := d.suspendedTime()
	if !d.lastTick.IsZero() && (now.Sub(d.lastTick) > minStall || suspended-d.lastSuspendedTime >= minSuspension) {
		d.lastStallEnd, d.catchingUp = now, true
	}
	d.lastTick, d.lastSuspendedTime = now, suspended
}

func (d *stallDetector) suspendedTime() time.Duration {
	if d.SuspendedTime == nil {
		return 0
	}
	return d.SuspendedTime()
}

// requestSent records that the source is asked for changes.
func (d *stallDetector) requestSent(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check(now)
	d.lastRequest = now
}

// responseApplied records that a complete response of the source has been applied.
func (d *stallDetector) responseApplied(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check(now)
	d.catchingUp = d.catchingUp && d.lastRequest.Before(d.lastStallEnd)
}

// mayBeDelayed reports whether a change that is received now may have been made a while ago. A response may
// have waited for the end of a stall, and the first request after a stall is answered at once with what was
// changed meanwhile.
func (d *stallDetector) mayBeDelayed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check(now)
	return withinDeliveryDelay(now, d.lastStallEnd) || d.catchingUp && withinDeliveryDelay(now, d.lastRequest)
}

// stalledSince reports whether the process was stalled after the given time.
func (d *stallDetector) stalledSince(then, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check(now)
	return d.lastStallEnd.After(then)
}

func withinDeliveryDelay(now, then time.Time) bool {
	return !then.IsZero() && now.Sub(then) < maxDeliveryDelay
}
