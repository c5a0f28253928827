package gateway

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/internal/pause"
)

// A caller that has a part of an answer is owed the rest for as long as it stays: no refusal is a final answer to it any more. Where no runner takes
// the rest, the request is sent again until one does, the caller's patience ends, or as many runners may have run it as the route allows.

const (
	// firstResendDelay and mostResendDelay bound the pause before a begun answer is sent on once more; it doubles with each send that no runner takes.
	firstResendDelay = 25 * time.Millisecond
	mostResendDelay  = 200 * time.Millisecond
	// mostDoublings keeps the pause from overflowing.
	mostDoublings = 8
	// verdictNoBudget says that the retry budget is spent, verdictNoneInTime that no runner took the rest of a begun answer for as long as its caller stays.
	verdictNoBudget   = "budget-spent"
	verdictNoneInTime = "none-in-time"
)

// isTransient reports that what keeps a request from runners may be over soon.
func isTransient(verdict string) bool {
	switch verdict {
	case verdictNoRunner, verdictRunnersCold, verdictRunnersLimited, verdictRunnersResting, verdictZoneEvacuated, verdictRegionNotAllowed, verdictBacklog, verdictNoBudget:
		return true
	default:
		return false
	}
}

// canResume reports that the caller has a part of an answer that another runner can go on with.
func (x *exchange) canResume() bool { return x.headSent && x.route.Resumable }

// resendAt is when a begun answer may be sent on again: at once after the first send that no runner took, since another may have room.
func (x *exchange) resendAt(now time.Time) time.Time {
	if x.retryNotBefore.After(now) {
		return x.retryNotBefore
	}
	if x.failedSends < 2 {
		return now
	}
	delay := firstResendDelay << min(x.failedSends-2, mostDoublings)
	return now.Add(min(delay, mostResendDelay))
}

// staysUntil is when the caller of a begun answer gives it up, or its time is over.
func (x *exchange) staysUntil() time.Time {
	quiet := x.lastWrite().Add(x.route.CallerIdleTimeout())
	if quiet.Before(x.deadline) {
		return quiet
	}
	return x.deadline
}

// awaitResend decides whether an attempt of a begun answer may follow the last one, and waits until it is worthwhile. It returns why none may, or
// nothing.
func (g *Gateway) awaitResend(ctx context.Context, x *exchange) string {
	for {
		verdict := g.checkRetry(ctx, x)
		if !x.canResume() || verdict != "" && !isTransient(verdict) {
			return verdict
		}
		if verdict != "" {
			x.failedSends++
		}
		now := time.Now()
		at := x.resendAt(now)
		if at.After(x.staysUntil()) {
			return verdictNoneInTime
		}
		x.noRunnerLeft = false
		pause.For(ctx, at.Sub(now))
		if verdict == "" && ctx.Err() == nil {
			return ""
		}
	}
}
