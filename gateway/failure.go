package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/roster"
)

// failureCause is what ended an attempt that brought no answer, as far as the entry can tell.
type failureCause string

// The causes of failed attempts.
const (
	// causeNotSent says that the request didn't reach the runner.
	causeNotSent failureCause = "not-sent"
	// causeRunnerEnded says that the runner's process ended with the request under way, causeRunnerLeft that it did so as it had announced.
	causeRunnerEnded failureCause = "runner-ended"
	causeRunnerLeft  failureCause = "runner-left"
	// causeConnectionClosed says that the runner closed the connection, and isn't known to have ended.
	causeConnectionClosed failureCause = "connection-closed"
	// causeEndedByEntry is all that this side ends: a caller that leaves, a time-out, an attempt that another one replaces.
	causeEndedByEntry failureCause = "ended-by-entry"
	// causeUnreadableAnswer is an answer that can't be read.
	causeUnreadableAnswer failureCause = "unreadable-answer"
)

// Why the entry itself ends an attempt, beside the end of the request's own time.
var (
	errSecondAttemptAnswers   = errors.New("a second attempt answers")
	errSecondAttemptNotNeeded = errors.New("the first attempt goes on, or its answer is enough")
)

// cancelReason says why the entry ended the attempt, empty where it did not.
func (a *attempt) cancelReason() string {
	if cause := context.Cause(a.waiting); cause != nil {
		return cause.Error()
	}
	return ""
}

// classifyFailure finds out why the attempt failed. Only a runner that closes the connection is asked whether it still listens.
func (a *attempt) classifyFailure(err error) failureCause {
	switch {
	case errors.Is(err, forward.ErrNotSent):
		return causeNotSent
	case !forward.ClosedByRunner(err):
		if a.waiting.Err() != nil {
			return causeEndedByEntry
		}
		return causeUnreadableAnswer
	case !a.gateway.hasEnded(a.target.runner):
		return causeConnectionClosed
	case a.target.runner.View(time.Now()).Leaving && !hasLaterRun(a.target.runner):
		return causeRunnerLeft
	default:
		return causeRunnerEnded
	}
}

// hasEnded reports that the runner's process is known to have ended: a later run took its place, or nobody listens at its address. The
// requests that failed there together ask once.
func (g *Gateway) hasEnded(r *roster.Runner) bool {
	if hasLaterRun(r) {
		return true
	}
	info := r.Info()
	refuses, _, _ := g.listenProbes.Do(info.Address.String(), func() (any, error) {
		g.pool.Forget(info.Address) // before the question, whose connection is kept
		return g.pool.Refuses(context.Background(), info.Address), nil
	})
	return refuses == true
}

// hasLaterRun reports that a later run of the runner is known.
func hasLaterRun(r *roster.Runner) bool {
	select {
	case <-r.Ended():
		return true
	default:
		return false
	}
}
