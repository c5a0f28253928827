package predict

import "time"

const (
	// meanGain and deviationGain are the weights of the newest value. RFC 6298, whose estimate this is, has four times as much:
	// one stream in a hundred takes eight times the median here, and must not count for long.
	meanGain      = 1.0 / 32
	deviationGain = 1.0 / 16
)

// DurationEstimator learns how long requests of one kind take; its zero value knows nothing.
type DurationEstimator struct {
	samples   int
	mean      time.Duration
	deviation time.Duration
}

// Observe takes the time of one request that was served.
func (u *DurationEstimator) Observe(took time.Duration) {
	u.samples++
	off := took - u.mean
	// The first values count alike, and the first one's deviation is itself: little is sure while little is known.
	u.mean += time.Duration(max(meanGain, 1/float64(u.samples)) * float64(off))
	u.deviation += time.Duration(max(deviationGain, 1/float64(u.samples)) * float64(off.Abs()-u.deviation))
}

// UpperBound is the mean and as many mean deviations, zero while no request is known.
func (u *DurationEstimator) UpperBound(deviations int) time.Duration {
	return u.mean + time.Duration(deviations)*u.deviation
}
