package predict

import "time"

const (
	// meanGain and deviationGain are the weights of the newest observation. The estimate is that of RFC 6298, which
	// uses weights four times as large. They are smaller here because one stream in a hundred takes eight times the
	// median, which must not affect the estimate for long.
	meanGain      = 1.0 / 32
	deviationGain = 1.0 / 16
)

// DurationEstimator estimates the duration of requests of one kind by a moving mean and mean deviation. The zero value
// has no observations.
type DurationEstimator struct {
	samples   int
	mean      time.Duration
	deviation time.Duration
}

// Observe adds the duration of a request.
func (e *DurationEstimator) Observe(duration time.Duration) {
	e.samples++
	delta := duration - e.mean
	// The first observations are averaged with equal weights, and the first one also sets the deviation, so that the
	// upper bound is wide while there are few observations.
	e.mean += time.Duration(max(meanGain, 1/float64(e.samples)) * float64(delta))
	e.deviation += time.Duration(max(deviationGain, 1/float64(e.samples)) * float64(delta.Abs()-e.deviation))
}

// UpperBound returns the mean plus the given number of mean deviations, or zero without observations.
func (e *DurationEstimator) UpperBound(deviations int) time.Duration {
	return e.mean + time.Duration(deviations)*e.deviation
}
