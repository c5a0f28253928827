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
	// after is when the caller should come back, zero where that makes no sense.
	after time.Duration
}

// The refusals of requests that were never sent.
var (
	notYet         = &refusal{http.StatusServiceUnavailable, "no-configuration", time.Second}
	unknownRoute   = &refusal{http.StatusNotFound, "no-route", 0}
	unknownKey     = &refusal{http.StatusUnauthorized, "unknown-key", 0}
	unknownService = &refusal{http.StatusServiceUnavailable, "unknown-service", time.Second}
	headTooLarge   = &refusal{http.StatusRequestHeaderFieldsTooLarge, "head-too-large", 0}
	bodyTooLarge   = &refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	unreadable     = &refusal{http.StatusBadRequest, "body-unreadable", 0}
	crashesRunners = &refusal{http.StatusBadGateway, verdictCrashesRunners, 0}
	leavingNow     = &refusal{http.StatusServiceUnavailable, "entry-stops", comeBackSoon}
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
	g.answer(x, r.status, r.reason, r.after)
}

// giveUp ends a request whose attempts have failed: at once, and saying that it has not run only where that is certain.
func (g *Gateway) giveUp(ctx context.Context, x *exchange, verdict string) {
	status, outcome, after := http.StatusServiceUnavailable, "not-run", comeBack(x)
	switch {
	case x.maybeRan && verdict == verdictTimedOut:
		status, outcome, after = http.StatusGatewayTimeout, "unknown", 0
	case x.maybeRan:
		status, outcome, after = http.StatusBadGateway, "unknown", 0
	case verdict == verdictCrashesRunners:
		status, after = http.StatusBadGateway, 0 // its caller isn't to come back
	}
	if x.request.Context().Err() != nil && verdict != verdictStopping {
		verdict = verdictLeft
	}
	g.Log.Error(ctx.Err(), "request given up", "decision", verdict, "request", x.wire.ID, "account", x.accountName(), "route", x.route.Name,
		"reason", x.reason, "outcome", outcome, "status", status, "began", x.began, "sends", x.sends.sendCount(), "runners", x.sends.runnersUsed(),
		"config", x.config.Version, "listAge", g.listAge(time.Now()).String(), "after", time.Since(x.arrived).String())
	g.Metrics.Request(outcome, verdict)
	if verdict == verdictTimedOut {
		g.usual.observe(x.route.Name, time.Since(x.arrived)) // it takes that long at the least
	}
	if x.began || verdict == verdictLeft {
		panic(http.ErrAbortHandler) // the connection is cut, so that nothing on it can be taken for a whole answer
	}
	g.answer(x, status, verdict, after)
}

// comeBack is when a request that has not run should be sent again: once a runner has rested, or the requests that wait are admitted, or soon where
// neither was the reason.
func comeBack(x *exchange) time.Duration {
	if !x.notBefore.IsZero() {
		return max(0, time.Until(x.notBefore)) + time.Duration(rand.Float64()*float64(restSpread))
	}
	if x.comeBack > 0 {
		return admission.RetryAfter(x.comeBack, rand.Float64())
	}
	return min(comeBackSoon, x.route.TargetLatency/8)
}

const (
	comeBackSoon = 50 * time.Millisecond
	// restSpread is the time over which callers come back once a rest has ended.
	restSpread = 300 * time.Millisecond
)

// answer writes an answer of the entry's own.
func (g *Gateway) answer(x *exchange, status int, reason string, after time.Duration) {
	h := x.writer.Header()
	g.sayLeaving(h)
	platform.SetRequestID(h, x.wire.ID)
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	x.writer.WriteHeader(status)
	_, err := x.writer.Write([]byte(reason + "\n"))
	if err == nil && g.leaving.Load() {
		err = http.NewResponseController(x.writer).Flush() // the process may end before the server does so, once the request counts as running no more
	}
	if err != nil {
		g.Log.Info("answer not taken", "decision", "drop", "request", x.wire.ID, "cause", err.Error())
	}
}
