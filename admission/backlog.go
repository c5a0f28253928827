package admission

import "time"

const (
	// rateWindow is the time after which an observed admission no longer counts. It covers about ten requests of each
	// entry and is shorter than a typical overload.
	rateWindow = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused caller is given.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryJitter is the fraction by which a retry delay is varied in both directions, so that refused callers do not
	// all retry at the same time.
	retryJitter = 0.5
)

// RateEstimator estimates the rate at which waiting requests are admitted, in tokens per second. The zero value has no
// observations.
type RateEstimator struct {
	tokensPerSecond float64
	lastUpdate      time.Time
}

// Record adds the admission of a waiting request that takes the given number of tokens.
func (e *RateEstimator) Record(now time.Time, tokens int) {
	e.decay(now)
	e.tokensPerSecond += float64(tokens) / rateWindow.Seconds()
}

// decay reduces the rate in proportion to the time since the last update, to zero after rateWindow.
func (e *RateEstimator) decay(now time.Time) {
	if !e.lastUpdate.IsZero() {
		elapsed := max(now.Sub(e.lastUpdate), 0)
		e.tokensPerSecond *= max(0, 1-elapsed.Seconds()/rateWindow.Seconds())
	}
	e.lastUpdate = now
}

// EstimateWait returns how long it takes to admit the given number of tokens. The second result is false if too few
// admissions were observed for an estimate.
func (e *RateEstimator) EstimateWait(now time.Time, tokens int) (time.Duration, bool) {
	e.decay(now)
	if e.tokensPerSecond < 1 {
		return 0, false
	}
	return time.Duration(float64(tokens) / e.tokensPerSecond * float64(time.Second)), true
}

// RetryAfter returns the retry delay for a refused caller: the time until the requests that wait now are admitted,
// scaled by a factor from 0.5 to 1.5 according to random, which is between 0 and 1.
func RetryAfter(wait time.Duration, random float64) time.Duration {
	factor := 1 - retryJitter + 2*retryJitter*random
	return min(max(time.Duration(float64(wait)*factor), minRetryAfter), maxRetryAfter)
}
