package drain

import "time"

const (
	// meanGain and deviationGain are the weights of the newest value, as RFC 6298 has them for the time of a round trip.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations is how many mean deviations over the mean still count as usual. Of the streams on the users' sites about nine in
	// ten end within that.
	deviations = 2
	// leastSamples is how many values must be known before anything is said.
	leastSamples = 8
)

// Usual learns how long requests of one kind take; its zero value knows nothing.
type Usual struct {
	samples   int
	mean      time.Duration
	deviation time.Duration
}

// Add takes the time of one request that was served.
func (u *Usual) Add(took time.Duration) {
	if u.samples++; u.samples == 1 {
		u.mean, u.deviation = took, took/2
		return
	}
	off := took - u.mean
	u.mean += time.Duration(meanGain * float64(off))
	u.deviation += time.Duration(deviationGain * float64(off.Abs()-u.deviation))
}

// Time is how long most requests of the kind take, zero while too few are known.
func (u *Usual) Time() time.Duration {
	if u.samples < leastSamples {
		return 0
	}
	return u.mean + deviations*u.deviation
}
