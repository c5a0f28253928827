package gateway

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/internal/pause"
)

// A caller that has a part of an answer is owed the rest for as long as it stays: no refusal is a final answer to it any more. Where no runner takes
// the rest, the request is sent again until one does, the caller's patience ends, or as many runners may have run it as the route allows.

const (
	// minResendDelay and mostResendDelay bound the pause before a begun answer is sent on once more; it doubles with each send that no runner takes.
	minResendDelay = 25 * time.Millisecond
	maxResendDelay = 200 * time.Millisecond
	// maxDoublings keeps the pause from overflowing.
	maxDoublings = 8
	// verdictBudgetExhausted says that the retry budget is spent, verdictNoneInTime that no runner took the rest of a begun answer for as long as its caller stays.
	verdictBudgetExhausted  = "budget-spent"
	verdictNotResumedInTime = "none-in-time"
)

// isTransient reports that what keeps a request from runners may be over soon.
func isTransient(verdict string) bool {
	switch verdict {
	case verdictNoRunner, verdictCold, verdictLimited, verdictResting, verdictEvacuated, verdictElsewhere, verdictBacklog, verdictBudgetExhausted:
		return true
	default:
		return false
	}
}

// canResume reports that the caller has a part of an answer that another runner can go on with.
func (x *exchange) canResume() bool { return x.began && x.route.Resumable }

// resendAt is when a begun answer may be sent on again: at once after the first send that no runner took, since another may have room.
func (x *exchange) resendAt(now time.Time) time.Time {
	if x.notBefore.After(now) {
		return x.notBefore
	}
	if x.untaken < 2 {
		return now
	}
	delay := minResendDelay << min(x.untaken-2, maxDoublings)
	return now.Add(min(delay, maxResendDelay))
}

// callerGivesUpAt is when the caller of a begun answer gives it up, or its time is over.
func (x *exchange) callerGivesUpAt() time.Time {
	quiet := x.lastPassed().Add(x.route.CallerIdleTimeout())
	if quiet.Before(x.ends) {
		return quiet
	}
	return x.ends
}

// awaitResend decides whether an attempt of a begun answer may follow the last one, and waits until it is worthwhile. It returns why none may, or
// nothing.
func (g *Gateway) awaitResend(ctx context.Context, x *exchange) string {
	for {
		verdict := g.again(ctx, x)
		if !x.canResume() || verdict != "" && !isTransient(verdict) {
			return verdict
		}
		if verdict != "" {
			x.untaken++
		}
		now := time.Now()
		at := x.resendAt(now)
		if at.After(x.callerGivesUpAt()) {
			return verdictNotResumedInTime
		}
		x.exhausted = false
		pause.For(ctx, at.Sub(now))
		if verdict == "" && ctx.Err() == nil {
			return ""
		}
	}
}
