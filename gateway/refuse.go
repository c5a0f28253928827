package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rillreach/rillreach/admission"
	"github.com/rillreach/rillreach/platform"
)

// refusal is an answer of the entry's own to a request that it doesn't send to a runner.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller should come back, zero where that makes no sense.
	retryAfter time.Duration
}

// The refusals of requests that were never sent.
var (
	refusedNoConfiguration = &refusal{http.StatusServiceUnavailable, "no-configuration", time.Second}
	refusedNoRoute         = &refusal{http.StatusNotFound, "no-route", 0}
	refusedUnknownKey      = &refusal{http.StatusUnauthorized, "unknown-key", 0}
	refusedUnknownService  = &refusal{http.StatusServiceUnavailable, "unknown-service", time.Second}
	refusedHeadTooLarge    = &refusal{http.StatusRequestHeaderFieldsTooLarge, "head-too-large", 0}
	refusedBodyTooLarge    = &refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	refusedBodyUnreadable  = &refusal{http.StatusBadRequest, "body-unreadable", 0}
	refusedCrashesRunners  = &refusal{http.StatusBadGateway, verdictCrashesRunners, 0}
	refusedShutdown        = &refusal{http.StatusServiceUnavailable, "entry-stops", shortRetryAfter}
)

// refuse answers a request that was never sent.
func (g *Gateway) refuse(x *exchange, r *refusal) {
	routeName := ""
	if x.route != nil {
		routeName = x.route.Name
	}
	var version int64
	if x.config != nil {
		version = x.config.Version
	}
	g.Log.Error(nil, "request refused", "decision", "refuse", "request", x.wire.ID, "reason", r.reason, "status", r.status,
		"host", x.request.Host, "route", routeName, "config", version)
	g.Metrics.Request("not-run", r.reason)
	g.respond(x, r.status, r.reason, r.retryAfter)
}

// giveUp ends a request whose attempts have failed: at once, and saying that it has not run only where that is certain.
func (g *Gateway) giveUp(ctx context.Context, x *exchange, verdict string) {
	status, outcome, after := http.StatusServiceUnavailable, "not-run", retryAfterFor(x)
	switch {
	case x.maybeRan && verdict == verdictTimedOut:
		status, outcome, after = http.StatusGatewayTimeout, "unknown", 0
	case x.maybeRan:
		status, outcome, after = http.StatusBadGateway, "unknown", 0
	case verdict == verdictCrashesRunners:
		status, after = http.StatusBadGateway, 0 // its caller isn't to come back
	}
	if x.request.Context().Err() != nil && verdict != verdictStopping {
		verdict = verdictCallerLeft
	}
	g.Log.Error(ctx.Err(), "request given up", "decision", verdict, "request", x.wire.ID, "account", x.accountName(), "route", x.route.Name,
		"reason", x.reason, "outcome", outcome, "status", status, "began", x.headSent, "sends", x.sends.sent(), "runners", x.sends.used(),
		"config", x.config.Version, "listAge", g.listAge(time.Now()).String(), "after", time.Since(x.arrived).String())
	g.Metrics.Request(outcome, verdict)
	if verdict == verdictTimedOut {
		g.answerTimes.add(x.route.Name, time.Since(x.arrived)) // it takes that long at the least
	}
	if x.headSent || verdict == verdictCallerLeft {
		panic(http.ErrAbortHandler) // the connection is cut, so that nothing on it can be taken for a whole answer
	}
	g.respond(x, status, verdict, after)
}

// retryAfterFor is when a request that has not run should be sent again: once a runner has rested, or the requests that wait are admitted, or soon where
// neither was the reason.
func retryAfterFor(x *exchange) time.Duration {
	if !x.retryNotBefore.IsZero() {
		return max(0, time.Until(x.retryNotBefore)) + time.Duration(rand.Float64()*float64(restJitter))
	}
	if x.admissionWait > 0 {
		return admission.RetryAfter(x.admissionWait, rand.Float64())
	}
	return min(shortRetryAfter, x.route.TargetLatency/8)
}

const (
	shortRetryAfter = 50 * time.Millisecond
	// restJitter is the time over which callers come back once a rest has ended.
	restJitter = 300 * time.Millisecond
)

// respond writes an respond of the entry's own.
func (g *Gateway) respond(x *exchange, status int, reason string, after time.Duration) {
	h := x.writer.Header()
	g.setConnectionClose(h)
	platform.OwnAnswer(h, x.wire.ID)
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	x.writer.WriteHeader(status)
	_, err := x.writer.Write([]byte(reason + "\n"))
	if err == nil && g.shuttingDown.Load() {
		err = http.NewResponseController(x.writer).Flush() // the process may end before the server does so, once the request counts as running no more
	}
	if err != nil {
		g.Log.Info("answer not taken", "decision", "drop", "request", x.wire.ID, "cause", err.Error())
	}
}
