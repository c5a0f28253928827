package gateway

import (
	"time"

	"github.com/rillreach/rillreach/admission"
	"github.com/rillreach/rillreach/roster"
)

const (
	// evacuationRetryAfter is when a caller may come back whose request could only run in evacuated zones: evacuations last for seconds at the least.
	evacuationRetryAfter = time.Second
	// coldRetryAfter is the same where all runners are cold and have as much as they bear.
	coldRetryAfter = 200 * time.Millisecond
	// minLimitRetryAfter and mostLimitComeBack bound the same where all runners name limits and have as much as those allow.
	minLimitRetryAfter = 50 * time.Millisecond
	maxLimitRetryAfter = 2 * time.Second
)

// exclusions counts the runners of a service that may not take a request, by why.
type exclusions struct {
	evacuated, disallowedRegion, cold, limited, backingOff int
	// limitedRate is what those that are limited take together, in requests a second.
	limitedRate float64
	// backoffEnds is when the first of those that rest takes requests again.
	backoffEnds time.Time
}

// add counts a runner for which one of the reasons holds, the first that does, and reports that one does. One that only lacks a permit is counted where
// the request doesn't wait for that.
func (l *exclusions) add(v *roster.View, evacuated, elsewhere, waits bool) bool {
	switch {
	case evacuated:
		l.evacuated++
	case elsewhere:
		l.disallowedRegion++
	case v.Denied == "" || waits && lacksPermit(v):
		return false
	default:
		l.addDenied(v)
	}
	return true
}

// addDenied counts a runner that may not be given a request now.
func (l *exclusions) addDenied(v *roster.View) {
	switch v.Denied {
	case roster.DeniedLimited:
		l.limited++
		l.limitedRate += v.Limit.PerSecond
	case roster.DeniedCold:
		l.cold++
	case roster.DeniedBackoff:
		l.backingOff++
		if l.backoffEnds.IsZero() || v.BackoffUntil.Before(l.backoffEnds) {
			l.backoffEnds = v.BackoffUntil
		}
	}
}

// lacksPermit reports that a runner would take a request of this entry if there were a permit.
func lacksPermit(v *roster.View) bool {
	return v.Denied == roster.DeniedCold || v.Denied == roster.DeniedLimited
}

// setRefusal records why the request has no runner, where no other was left, and when its caller may come back.
func (l *exclusions) setRefusal(x *exchange) (verdict string) {
	x.comeBack, x.notBefore = 0, time.Time{}
	switch {
	case l.cold > 0:
		x.comeBack = coldRetryAfter
		return verdictCold
	case l.limited > 0:
		x.comeBack = l.limitRetryAfter()
		return verdictLimited
	case l.backingOff > 0:
		x.notBefore = l.backoffEnds
		return verdictResting
	case l.evacuated > 0:
		x.comeBack = evacuationRetryAfter
		return verdictEvacuated
	case l.disallowedRegion > 0:
		x.comeBack = evacuationRetryAfter
		return verdictElsewhere
	default:
		return verdictNoRunner
	}
}

// backoffEndsInTime reports that no runner is left but for rests of which the first ends early enough for the request.
func (l *exclusions) backoffEndsInTime(r admission.Request) bool {
	if l.backingOff == 0 || l.cold+l.limited > 0 {
		return false
	}
	if r.AnswerStarted {
		return !r.MissesDeadline(l.backoffEnds)
	}
	return !r.MissesTarget(l.backoffEnds)
}

// limitRetryAfter is how long the runners that are limited take to take one more request.
func (l *exclusions) limitRetryAfter() time.Duration {
	if l.limitedRate*maxLimitRetryAfter.Seconds() <= 1 {
		return maxLimitRetryAfter
	}
	return max(minLimitRetryAfter, time.Duration(float64(time.Second)/l.limitedRate))
}
