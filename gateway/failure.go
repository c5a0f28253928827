package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/completeness"
	"github.com/rillreach/rillreach/forward"
)

// failureCause is why an attempt failed, as far as the entry can tell.
type failureCause string

// The causes of failed attempts.
const (
	// causeNotSent means that the request did not reach the runner.
	causeNotSent failureCause = "not-sent"
	// causeRunnerEnded means that the runner's process ended unexpectedly while it served the request, causeRunnerLeft
	// that it ended after it had announced to leave.
	causeRunnerEnded failureCause = "runner-ended"
	causeRunnerLeft  failureCause = "runner-left"
	// causeConnectionClosed means that the runner closed the connection but is not known to have ended.
	causeConnectionClosed failureCause = "connection-closed"
	// causeEndedByEntry covers all attempts that the entry itself ends: the caller has left, a timeout has expired, or
	// another attempt has replaced this one.
	causeEndedByEntry failureCause = "ended-by-entry"
	// causeRunnerSilent means that the runner's machine no longer responds, as far as the connection tells.
	causeRunnerSilent failureCause = "runner-silent"
	// causeUnreadableAnswer means that the answer could not be parsed, causeOversizedAnswer that a part of it exceeded its
	// bound, and causeInvalidAnswer that it is not the runner's own.
	causeUnreadableAnswer failureCause = "unreadable-answer"
	causeOversizedAnswer  failureCause = "oversized-answer"
	causeInvalidAnswer    failureCause = "invalid-answer"
)

// isRunnersFault reports whether the runner itself ended the attempt without a complete answer.
func (c failureCause) isRunnersFault() bool {
	return c == causeRunnerEnded || c == causeConnectionClosed || c == causeRunnerSilent || c.isBadAnswer()
}

// leavesRunUnknown reports whether the runner may have ended while it served the request.
func (c failureCause) leavesRunUnknown() bool {
	return c == causeEndedByEntry || c == causeConnectionClosed || c == causeRunnerSilent
}

// isBadAnswer reports whether the runner has sent something that is no answer.
func (c failureCause) isBadAnswer() bool {
	return c == causeUnreadableAnswer || c == causeOversizedAnswer || c == causeInvalidAnswer
}

// The reasons for which the entry cancels an attempt, other than the request's deadline.
var (
	errSecondAttemptAnswers   = errors.New("replaced by a second attempt")
	errSecondAttemptNotNeeded = errors.New("second attempt is not needed")
)

// errInvalidAnswer means that the runner has sent a response that is neither its sealed answer nor a refusal.
var errInvalidAnswer = errors.New("response is neither a sealed answer nor a refusal")

// errInterrupted means that the wait for a runner has ended because another attempt is to go on. The runner goes on.
var errInterrupted = errors.New("another attempt goes on")

// cancelReason returns why the entry cancelled the attempt, or an empty string if it did not.
func (a *attempt) cancelReason() string {
	if cause := context.Cause(a.ctx); cause != nil {
		return cause.Error()
	}
	return ""
}

// handleFailure records an attempt that failed without a complete answer, and ejects the runner if it is at fault.
func (a *attempt) handleFailure(err error) {
	g, x, t := a.gateway, a.exchange, a.target
	cause := a.classifyFailure(err)
	notSent := cause == causeNotSent
	if !notSent {
		x.maybeRan = true
	}
	g.Metrics.CountFailedAttempt(string(cause))
	a.recordFault(cause, err)
	now := time.Now()
	if t.cancelled.Load() {
		x.reason = errStartTooLate.Error()
		g.Log.Info("request cancelled before it began", "decision", "cancel", "request", x.wire.ID, "runner", t.view.ID, "weights", t.weights,
			"replacedFor", g.sinceReplaced(x, t.weights, now).String(), "notSent", notSent, "after", now.Sub(x.arrived).String())
		return
	}
	x.reason = err.Error()
	callerLeft := x.request.Context().Err() != nil
	ejectedFor := time.Duration(0)
	spared := a.noEjection.Load() || errors.Is(context.Cause(a.ctx), errSecondAttemptNotNeeded)
	if !callerLeft && !spared && !errors.Is(err, forward.ErrTooManyConns) {
		ejectedFor = t.runner.Eject(now)
		if cause != causeConnectionClosed && cause != causeInvalidAnswer { // the process runs
			g.pool.CloseIdle(t.view.Address)
		}
	}
	g.Log.Info("attempt failed", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID, "notSent", notSent,
		"callerLeft", callerLeft, "spared", spared, "timedOut", errors.Is(context.Cause(a.ctx), context.DeadlineExceeded), "kind", cause, "endedBy", a.cancelReason(), "fingerprint", x.fingerprint().String(),
		"events", x.lastEvent, "received", a.received, "answering", a.answeringFor(now).String(), "parts", x.partNames(), "cause", err.Error(), "avoidedFor", ejectedFor.String(), "after", now.Sub(x.arrived).String())
}

// recordFault records what a failure says of the request and of the runner.
func (a *attempt) recordFault(cause failureCause, err error) {
	switch {
	case cause == causeRunnerEnded:
		a.recordCrash()
	case cause.leavesRunUnknown() && a.wasReceived(err):
		a.recordUnanswered()
	}
	if cause.isRunnersFault() {
		a.gateway.rollouts.recordAnswer(a, true)
	}
	if cause.isBadAnswer() {
		a.target.runner.RecordFailure(time.Now()) // a success between two such answers ends an ejection
	}
}

// answeringFor returns how long the runner has been sending its answer, zero before the first data.
func (a *attempt) answeringFor(now time.Time) time.Duration {
	if at := a.firstDataAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}

// classifyFailure returns why the attempt failed. The runner's address is probed only if the runner closed the
// connection.
func (a *attempt) classifyFailure(err error) failureCause {
	switch {
	case errors.Is(err, forward.ErrNotSent):
		return causeNotSent
	case errors.Is(err, errInvalidAnswer):
		return causeInvalidAnswer
	case errors.Is(err, forward.ErrResponseTooLarge):
		return causeOversizedAnswer
	case !forward.ClosedByRunner(err):
		return a.classifyOpenFailure(err)
	case a.checkProcess() != completeness.ProcessEnded:
		return causeConnectionClosed
	case a.target.runner.View(time.Now()).Leaving && !hasLaterRun(a.target.runner):
		return causeRunnerLeft
	default:
		return causeRunnerEnded
	}
}

// classifyOpenFailure is classifyFailure for a runner that has not closed the connection.
func (a *attempt) classifyOpenFailure(err error) failureCause {
	switch {
	case a.ctx.Err() != nil:
		return causeEndedByEntry
	case errors.Is(err, syscall.ETIMEDOUT):
		return causeRunnerSilent
	default:
		return causeUnreadableAnswer
	}
}
