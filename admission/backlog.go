package admission

import (
	"math"
	"time"
)

const (
	// rateMemory is how long an observed rate of admissions counts: some ten requests of each entry, and less than an overload
	// takes to pass.
	rateMemory = 3 * time.Second
	// leastObserved is for how long requests have to have waited before a rate is told from what was admitted meanwhile.
	leastObserved = 500 * time.Millisecond
	// leastRetry and mostRetry bound when a refused caller is asked to come back.
	leastRetry = 50 * time.Millisecond
	mostRetry  = 5 * time.Second
	// retrySpread is the part of the time to come back by which callers are spread, so that they don't come back together.
	retrySpread = 0.5
)

// Backlog observes how fast waiting requests are admitted; its zero value has seen nothing.
//
// It answers the load at the end of an outage, when many requests begin to wait at once: the first ones that are admitted say little of the rate,
// and a rate that was too low would turn away what can be served.
type Backlog struct {
	// sum is a moving sum of the tokens admitted, of which what is older than rateMemory counts little.
	sum float64
	// at is up to when it is worked out, last when a request was admitted, since when the rate has been observed, and idle since when nobody
	// waits, zero while somebody does.
	at    time.Time
	last  time.Time
	since time.Time
	idle  time.Time
}

// Waiting records whether requests wait; time in which none does says nothing of the rate.
func (b *Backlog) Waiting(now time.Time, waiting bool) {
	switch {
	case !waiting && b.idle.IsZero():
		b.decay(now)
		b.idle = now
	case waiting && !b.idle.IsZero():
		b.resume(now)
	}
}

// resume goes on with what was known when requests waited last, unless that is too long ago.
func (b *Backlog) resume(now time.Time) {
	pause := now.Sub(b.idle)
	b.idle = time.Time{}
	if pause >= rateMemory || b.at.IsZero() {
		*b = Backlog{}
		return
	}
	b.at, b.last, b.since = b.at.Add(pause), b.last.Add(pause), b.since.Add(pause)
}

// Admitted records that a waiting request was admitted.
func (b *Backlog) Admitted(now time.Time, tokens int) {
	b.decay(now)
	if b.sum < 1 {
		b.since = now
	}
	b.sum += float64(tokens)
	b.last = now
}

// decay takes away what was observed too long ago.
func (b *Backlog) decay(now time.Time) {
	if !b.at.IsZero() {
		passed := max(now.Sub(b.at), 0)
		b.sum *= math.Exp(-passed.Seconds() / rateMemory.Seconds())
	}
	if now.Sub(b.last) >= rateMemory {
		b.sum = 0
	}
	b.at = now
}

// Wait is how long the tokens that wait before a request take to be admitted; it reports whether enough was seen to say so.
func (b *Backlog) Wait(now time.Time, tokens int) (time.Duration, bool) {
	b.decay(now)
	observed := now.Sub(b.since)
	if b.sum < 1 || observed < leastObserved {
		return 0, false
	}
	// The sum lacks what came before the observation began.
	span := rateMemory.Seconds() * (1 - math.Exp(-observed.Seconds()/rateMemory.Seconds()))
	return time.Duration(float64(tokens) / b.sum * span * float64(time.Second)), true
}

// RetryAfter is when a refused caller should come back: when what waits now is gone, spread over a half to one and a half of that
// by a draw from 0 to 1.
func RetryAfter(wait time.Duration, draw float64) time.Duration {
	spread := 1 - retrySpread + 2*retrySpread*draw
	return min(max(time.Duration(float64(wait)*spread), leastRetry), mostRetry)
}
