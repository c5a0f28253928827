package admission

import "time"

const (
	// rateMemory is how long an observed rate of admissions counts: some ten requests of each entry, and less than an overload
	// takes to pass.
	rateMemory = 3 * time.Second
	// leastRetry and mostRetry bound when a refused caller is asked to come back.
	leastRetry = 50 * time.Millisecond
	mostRetry  = 5 * time.Second
	// retrySpread is the part of the time to come back by which callers are spread, so that they don't come back together.
	retrySpread = 0.5
)

// RateEstimator observes how fast waiting requests are admitted; its zero value has seen nothing.
type RateEstimator struct {
	rate float64
	at   time.Time
}

// Record records that a waiting request was admitted.
func (b *RateEstimator) Record(now time.Time, tokens int) {
	b.decay(now)
	b.rate += float64(tokens) / rateMemory.Seconds()
}

// decay takes away what was observed too long ago.
func (b *RateEstimator) decay(now time.Time) {
	if !b.at.IsZero() {
		passed := max(now.Sub(b.at), 0)
		b.rate *= max(0, 1-passed.Seconds()/rateMemory.Seconds())
	}
	b.at = now
}

// EstimateWait is how long the tokens that wait before a request take to be admitted; it reports whether enough was seen to say so.
func (b *RateEstimator) EstimateWait(now time.Time, tokens int) (time.Duration, bool) {
	b.decay(now)
	if b.rate < 1 {
		return 0, false
	}
	return time.Duration(float64(tokens) / b.rate * float64(time.Second)), true
}

// RetryAfter is when a refused caller should come back: when what waits now is gone, spread over a half to one and a half of that
// by a draw from 0 to 1.
func RetryAfter(wait time.Duration, draw float64) time.Duration {
	spread := 1 - retrySpread + 2*retrySpread*draw
	return min(max(time.Duration(float64(wait)*spread), leastRetry), mostRetry)
}
