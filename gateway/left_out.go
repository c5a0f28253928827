package gateway

import (
	"time"

	"github.com/rillreach/rillreach/admission"
	"github.com/rillreach/rillreach/roster"
)

const (
	// evacuationComeBack is when a caller may come back whose request could only run in evacuated zones: evacuations last for seconds at the least.
	evacuationComeBack = time.Second
	// coldComeBack is the same where all runners are cold and have as much as they bear.
	coldComeBack = 200 * time.Millisecond
	// limitComeBack and mostLimitComeBack bound the same where all runners name limits and have as much as those allow.
	limitComeBack     = 50 * time.Millisecond
	mostLimitComeBack = 2 * time.Second
)

// leftOut counts the runners of a service that may not take a request, by why.
type leftOut struct {
	evacuated, elsewhere, cold, limited, resting int
	// perSecond is what those that are limited take together, in requests a second.
	perSecond float64
	// restEnds is when the first of those that rest takes requests again.
	restEnds time.Time
}

// add counts a runner for which one of the reasons holds, the first that does, and reports that one does. One that only lacks a permit is counted where
// the request doesn't wait for that.
func (l *leftOut) add(v *roster.View, evacuated, elsewhere, waits bool) bool {
	switch {
	case evacuated:
		l.evacuated++
	case elsewhere:
		l.elsewhere++
	case v.Denied == "" || waits && lacksPermit(v):
		return false
	default:
		l.addDenied(v)
	}
	return true
}

// addDenied counts a runner that may not be given a request now.
func (l *leftOut) addDenied(v *roster.View) {
	switch v.Denied {
	case roster.DeniedLimited:
		l.limited++
		l.perSecond += v.Limit.PerSecond
	case roster.DeniedCold:
		l.cold++
	case roster.DeniedBackoff:
		l.resting++
		if l.restEnds.IsZero() || v.BackoffUntil.Before(l.restEnds) {
			l.restEnds = v.BackoffUntil
		}
	}
}

// lacksPermit reports that a runner would take a request of this entry if there were a permit.
func lacksPermit(v *roster.View) bool {
	return v.Denied == roster.DeniedCold || v.Denied == roster.DeniedLimited
}

// refuse records why the request has no runner, where no other was left, and when its caller may come back.
func (l *leftOut) refuse(x *exchange) (verdict string) {
	x.admissionWait, x.retryNotBefore = 0, time.Time{}
	switch {
	case l.cold > 0:
		x.admissionWait = coldComeBack
		return verdictRunnersCold
	case l.limited > 0:
		x.admissionWait = l.nextUnderLimit()
		return verdictRunnersLimited
	case l.resting > 0:
		x.retryNotBefore = l.restEnds
		return verdictRunnersResting
	case l.evacuated > 0:
		x.admissionWait = evacuationComeBack
		return verdictZoneEvacuated
	case l.elsewhere > 0:
		x.admissionWait = evacuationComeBack
		return verdictRegionNotAllowed
	default:
		return verdictNoRunner
	}
}

// endsInTime reports that no runner is left but for rests of which the first ends early enough for the request.
func (l *leftOut) endsInTime(r admission.Request) bool {
	if l.resting == 0 || l.cold+l.limited > 0 {
		return false
	}
	if r.AnswerStarted {
		return !r.MissesDeadline(l.restEnds)
	}
	return !r.MissesTarget(l.restEnds)
}

// nextUnderLimit is how long the runners that are limited take to take one more request.
func (l *leftOut) nextUnderLimit() time.Duration {
	if l.perSecond*mostLimitComeBack.Seconds() <= 1 {
		return mostLimitComeBack
	}
	return max(limitComeBack, time.Duration(float64(time.Second)/l.perSecond))
}
