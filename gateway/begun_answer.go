package gateway

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/internal/pause"
)

// Once a caller has received part of an answer, a refusal can no longer be returned to it. If no runner accepts the
// rest of the request, it is sent again until one does, the caller gives up, or as many runners may have run it as the
// route allows.

const (
	// minResendDelay and maxResendDelay bound the delay before a started answer is resumed again. It doubles with each
	// send that no runner accepts.
	minResendDelay = 25 * time.Millisecond
	maxResendDelay = 200 * time.Millisecond
	// maxDoublings keeps the delay from overflowing.
	maxDoublings = 8
	// verdictBudgetExhausted means that the retry budget is used up. verdictNotResumedInTime means that no runner
	// accepted the rest of a started answer before its caller gave up.
	verdictBudgetExhausted  = "budget-spent"
	verdictNotResumedInTime = "none-in-time"
)

// isTransient reports whether the reason why no runner can take a request may soon go away.
func isTransient(verdict string) bool {
	switch verdict {
	case verdictNoRunner, verdictRunnersCold, verdictRunnersLimited, verdictRunnersBackingOff, verdictZoneEvacuated, verdictRegionNotAllowed, verdictBacklog, verdictBudgetExhausted:
		return true
	default:
		return false
	}
}

// canResume reports whether the caller has part of an answer that another runner can continue.
func (x *exchange) canResume() bool { return x.headSent && x.route.Resumable }

// resendAt returns when a started answer may be sent on again. After the first send that no runner accepted this is at
// once, since another runner may have room.
func (x *exchange) resendAt(now time.Time) time.Time {
	if x.retryNotBefore.After(now) {
		return x.retryNotBefore
	}
	if x.failedSends < 2 {
		return now
	}
	delay := minResendDelay << min(x.failedSends-2, maxDoublings)
	return now.Add(min(delay, maxResendDelay))
}

// callerGivesUpAt returns when the caller of a started answer stops waiting, or the deadline of the request if that is
// earlier.
func (x *exchange) callerGivesUpAt() time.Time {
	idleDeadline := x.lastWrite().Add(x.route.CallerIdleTimeout())
	if idleDeadline.Before(x.deadline) {
		return idleDeadline
	}
	return x.deadline
}

// awaitResend decides whether another attempt may follow and, for a started answer, waits until it is worth making. It
// returns the reason why none may follow, or an empty string.
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
		resendAt := x.resendAt(now)
		if resendAt.After(x.callerGivesUpAt()) {
			return verdictNotResumedInTime
		}
		x.noRunnerLeft = false
		pause.For(ctx, resendAt.Sub(now))
		if verdict == "" && ctx.Err() == nil {
			return ""
		}
	}
}
