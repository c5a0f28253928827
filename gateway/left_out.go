package gateway

import (
	"time"

	"github.com/rillreach/rillreach/admission"
	"github.com/rillreach/rillreach/roster"
)

const (
	// evacuationRetryAfter is the retry delay for a request that could only run in evacuated zones or disallowed
	// regions. Evacuations last for seconds at least.
	evacuationRetryAfter = time.Second
	// coldRetryAfter is the retry delay if all remaining runners are cold and at the limit of their slow start.
	coldRetryAfter = 200 * time.Millisecond
	// minLimitRetryAfter and maxLimitRetryAfter bound the retry delay if all remaining runners are at the limits that
	// they state.
	minLimitRetryAfter = 50 * time.Millisecond
	maxLimitRetryAfter = 2 * time.Second
)

// exclusions counts the runners of a service that may not take a request, by reason.
type exclusions struct {
	// staying counts the runners of the software versions that the request may use, without those that are leaving.
	staying int

	evacuated, disallowedRegion, cold, limited, backingOff int
	// limitedRate is the combined limit of the limited runners, in requests per second.
	limitedRate float64
	// backoffEnds is when the first of the runners that asked for backoff accepts requests again.
	backoffEnds time.Time
}

// add counts a runner under the first reason that applies and reports whether one does. A runner that only lacks a
// permit is not excluded if the request waits for permits.
func (e *exclusions) add(v *roster.View, evacuated, disallowedRegion, awaitsPermit bool) bool {
	switch {
	case evacuated:
		e.evacuated++
	case disallowedRegion:
		e.disallowedRegion++
	case v.Denied == "" || awaitsPermit && lacksPermit(v):
		return false
	default:
		e.addDenied(v)
	}
	return true
}

// addAllowedVersion counts a runner of a software version that the request may use.
func (e *exclusions) addAllowedVersion(v *roster.View) {
	if !v.Leaving {
		e.staying++
	}
}

// addDenied counts a runner that does not admit a request now.
func (e *exclusions) addDenied(v *roster.View) {
	switch v.Denied {
	case roster.DeniedLimited:
		e.limited++
		e.limitedRate += v.Limit.PerSecond
	case roster.DeniedCold:
		e.cold++
	case roster.DeniedBackoff:
		e.backingOff++
		if e.backoffEnds.IsZero() || v.BackoffUntil.Before(e.backoffEnds) {
			e.backoffEnds = v.BackoffUntil
		}
	}
}

// lacksPermit reports whether the runner would admit a request if this entry had a permit.
func lacksPermit(v *roster.View) bool {
	return v.Denied == roster.DeniedCold || v.Denied == roster.DeniedLimited
}

// setRefusal sets the retry delay of a request for which no runner is left, and returns the reason.
func (e *exclusions) setRefusal(x *exchange) (verdict string) {
	x.admissionWait, x.retryNotBefore = 0, time.Time{}
	switch {
	case e.staying == 0 && !x.pin.IsZero():
		return verdictSoftwareGone
	case e.cold > 0:
		x.admissionWait = coldRetryAfter
		return verdictRunnersCold
	case e.limited > 0:
		x.admissionWait = e.limitRetryAfter()
		return verdictRunnersLimited
	case e.backingOff > 0:
		x.retryNotBefore = e.backoffEnds
		return verdictRunnersBackingOff
	case e.evacuated > 0:
		x.admissionWait = evacuationRetryAfter
		return verdictZoneEvacuated
	case e.disallowedRegion > 0:
		x.admissionWait = evacuationRetryAfter
		return verdictRegionNotAllowed
	default:
		return verdictNoRunner
	}
}

// backoffEndsInTime reports whether all remaining runners are in backoff and the first of them accepts requests again
// soon enough for the request.
func (e *exclusions) backoffEndsInTime(r admission.Request) bool {
	if e.backingOff == 0 || e.cold+e.limited > 0 {
		return false
	}
	if r.AnswerStarted {
		return !r.MissesDeadline(e.backoffEnds)
	}
	return !r.MissesTarget(e.backoffEnds)
}

// limitRetryAfter returns the time in which the limited runners together accept one more request.
func (e *exclusions) limitRetryAfter() time.Duration {
	if e.limitedRate*maxLimitRetryAfter.Seconds() <= 1 {
		return maxLimitRetryAfter
	}
	return max(minLimitRetryAfter, time.Duration(float64(time.Second)/e.limitedRate))
}
