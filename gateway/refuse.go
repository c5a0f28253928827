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

// refusal is the entry's answer to a request that it does not send to a runner.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller should retry. Zero means that retrying does not help.
	retryAfter time.Duration
}

// The refusals of requests that are not sent to a runner.
var (
	refusedNoConfiguration = &refusal{http.StatusServiceUnavailable, "no-configuration", time.Second}
	refusedNoRoute         = &refusal{http.StatusNotFound, "no-route", 0}
	refusedUnknownKey      = &refusal{http.StatusUnauthorized, "unknown-key", 0}
	refusedUnknownService  = &refusal{http.StatusServiceUnavailable, "unknown-service", time.Second}
	refusedHeadTooLarge    = &refusal{http.StatusRequestHeaderFieldsTooLarge, "head-too-large", 0}
	refusedBodyTooLarge    = &refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	refusedBodyUnreadable  = &refusal{http.StatusBadRequest, "body-unreadable", 0}
	refusedCrashesRunners  = &refusal{http.StatusBadGateway, verdictCrashesRunners, 0}
	refusedNoMemory        = &refusal{http.StatusServiceUnavailable, "no-memory", time.Second}
	refusedShutdown        = &refusal{http.StatusServiceUnavailable, "entry-stops", shortRetryAfter}
)

// refuse answers a request that was not sent to a runner.
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
	g.Metrics.CountRequest("not-run", r.reason)
	g.respond(x, r.status, r.reason, r.retryAfter)
}

// giveUp ends a request whose attempts have failed. The response says that the request has not run only if that is
// certain.
func (g *Gateway) giveUp(ctx context.Context, x *exchange, verdict string) {
	status, outcome, retryAfter := http.StatusServiceUnavailable, "not-run", retryAfterFor(x)
	switch {
	case x.maybeRan && verdict == verdictTimedOut:
		status, outcome, retryAfter = http.StatusGatewayTimeout, "unknown", 0
	case x.maybeRan:
		status, outcome, retryAfter = http.StatusBadGateway, "unknown", 0
	case verdict == verdictCrashesRunners:
		status, retryAfter = http.StatusBadGateway, 0 // the caller should not retry
	case verdict == verdictSoftwareGone:
		retryAfter = 0 // the runners of a replaced version do not come back
	}
	if x.request.Context().Err() != nil && verdict != verdictStopping {
		verdict = verdictCallerLeft
	}
	g.Log.Error(ctx.Err(), "request given up", "decision", verdict, "request", x.wire.ID, "account", x.accountName(), "route", x.route.Name,
		"reason", x.reason, "outcome", outcome, "status", status, "began", x.headSent, "sends", x.sends.sendCount(), "runners", x.sends.runnersUsed(),
		"config", x.config.Version, "listAge", g.listAge(time.Now()).String(), "after", time.Since(x.arrived).String())
	g.Metrics.CountRequest(outcome, verdict)
	if verdict == verdictTimedOut {
		g.answerTimes.observe(x.route.Name, time.Since(x.arrived)) // a lower bound for the time that the request takes
	}
	if x.headSent || verdict == verdictCallerLeft {
		panic(http.ErrAbortHandler) // closes the connection, so that a partial answer is not taken for a complete one
	}
	g.respond(x, status, verdict, retryAfter)
}

// retryAfterFor returns when the caller of a request that has not run should retry: once the runners in backoff
// accept requests again, once the queued requests have been admitted, or else soon.
func retryAfterFor(x *exchange) time.Duration {
	if !x.retryNotBefore.IsZero() {
		return max(0, time.Until(x.retryNotBefore)) + time.Duration(rand.Float64()*float64(backoffJitter))
	}
	if x.admissionWait > 0 {
		return admission.RetryAfter(x.admissionWait, rand.Float64())
	}
	return min(shortRetryAfter, x.route.TargetLatency/8)
}

const (
	shortRetryAfter = 50 * time.Millisecond
	// backoffJitter is the period over which retries of callers are spread once a backoff has ended.
	backoffJitter = 300 * time.Millisecond
)

// respond sends the entry's own answer, as opposed to a runner's.
func (g *Gateway) respond(x *exchange, status int, reason string, retryAfter time.Duration) {
	h := x.writer.Header()
	g.setConnectionClose(h)
	platform.SetRequestID(h, x.wire.ID)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	x.writer.WriteHeader(status)
	_, err := x.writer.Write([]byte(reason + "\n"))
	if err == nil && g.shuttingDown.Load() {
		// Once the request no longer counts as running, the process may exit before the server flushes the response.
		err = http.NewResponseController(x.writer).Flush()
	}
	if err != nil {
		g.Log.Info("cannot write answer to caller", "decision", "drop", "request", x.wire.ID, "cause", err.Error())
	}
}
