package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/platform"
)

// handle takes one request of a caller.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	g.inflight.Add()
	defer g.inflight.Done()
	x := newExchange(w, r)
	g.awaitState(r.Context())
	refusal := g.admit(x)
	if refusal == nil {
		refusal = g.accept(x)
	}
	if refusal != nil {
		g.refuse(x, refusal)
		return
	}
	timed, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(timed)
	defer end(nil)
	x.continuePastShutdown = context.AfterFunc(g.drainCtx, func() { end(errShuttingDown) })
	defer x.continuePastShutdown()
	g.serve(ctx, x)
}

// admit finds out what the request is and whether it may run.
func (g *Gateway) admit(x *exchange) *refusal {
	x.config = g.state.Config()
	if x.config == nil || !g.state.HasSynced() {
		return refusedNoConfiguration
	}
	if most := x.config.Limits.MaxHeader; most > 0 && headSize(x.request) > most {
		return refusedHeadTooLarge
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = x.request.URL.EscapedPath()
	}
	if x.route = x.config.Match(x.request.Host, path); x.route == nil {
		return refusedNoRoute
	}
	if refusal := x.authenticate(); refusal != nil {
		return refusal
	}
	x.regions, x.regionsLimited = deployment.AllowedRegions(x.route, x.account)
	x.deadline = x.arrived.Add(x.route.Timeout)
	if x.wire.Patience > 0 && x.wire.Patience < x.route.Timeout {
		x.deadline = x.arrived.Add(x.wire.Patience)
	}
	x.service = x.config.Services[g.chooseService(x)]
	if x.service == nil {
		return refusedUnknownService
	}
	g.budgets.RecordRequest(x.arrived, x.service.Name)
	return nil
}

// accept reads the rest of a request that may run; while the entry stops it decides whether there is time for it.
func (g *Gateway) accept(x *exchange) *refusal {
	if refusal := x.read(); refusal != nil {
		return refusal
	}
	if !g.admitsSuspect(x) {
		return refusedCrashesRunners
	}
	if g.shuttingDown.Load() {
		return g.acceptDuringShutdown(x)
	}
	return nil
}

// headSize is about how many bytes the head of a request takes.
func headSize(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

func (x *exchange) authenticate() *refusal {
	if !x.config.NeedsKeys() {
		return nil
	}
	x.account = x.config.AccountByKey(x.wire.Key)
	if x.account == nil && !x.route.Public {
		return refusedUnknownKey
	}
	return nil
}

// chooseService picks one of the route's services by their weights; requests of one conversation stay together.
func (g *Gateway) chooseService(x *exchange) rillreach.ServiceID {
	shares := x.route.WeightedServices
	if len(shares) == 1 {
		return shares[0].Service
	}
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	at := float64(xxhash.Sum64String(conversationID(x))) / math.MaxUint64 * sum
	for _, s := range shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return shares[len(shares)-1].Service
}

// conversationID names what the request has in common with those that come back: the last shared part of its prompt.
func conversationID(x *exchange) string {
	if x.wire.Prompt != nil {
		if shared := x.wire.Prompt.SharedParts(); len(shared) > 0 {
			return shared[len(shared)-1].ID
		}
	}
	return string(x.wire.ID)
}

// read takes the body in and makes the call that goes to the runner.
func (x *exchange) read() *refusal {
	r := x.request
	x.call = forward.Call{
		Method: r.Method, Target: r.RequestURI, Host: r.Host,
		HasBody: r.ContentLength != 0 || len(r.Header["Content-Length"]) > 0,
	}
	if !x.call.HasBody {
		return nil
	}
	control := http.NewResponseController(x.writer)
	if err := control.SetReadDeadline(x.deadline); err != nil {
		return refusedBodyUnreadable
	}
	body, err := readBody(http.MaxBytesReader(x.writer, r.Body, x.config.Limits.MaxBody), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusedBodyTooLarge
	case err != nil:
		return refusedBodyUnreadable
	}
	x.call.Body = body
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return refusedBodyUnreadable
	}
	return nil
}

// readBody reads a body whose length may be known.
func readBody(from io.Reader, length int64) ([]byte, error) {
	if length <= 0 || length > maxPreallocatedBody {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// maxPreallocatedBody is the largest body for which memory is taken before it has come, in bytes.
const maxPreallocatedBody = 256 << 10

// serve tries runners until the request has its answer or none can give it.
func (g *Gateway) serve(ctx context.Context, x *exchange) {
	for {
		done := g.attempt(ctx, x)
		if done {
			return
		}
		if verdict := g.awaitResend(ctx, x); verdict != "" {
			g.giveUp(ctx, x, verdict)
			return
		}
	}
}

// Verdicts on a request whose attempts have failed, where they decide on its answer.
const (
	verdictStopping   = "stopping"
	verdictCallerLeft = "caller-left"
	verdictTimedOut   = "timed-out"
	verdictNoRunner   = "no-runner"
	// verdictRunnersCold says that all runners left are cold and have as much as they bear, verdictLimited that they have as much as the limits that they name
	// allow, verdictResting that they rest, verdictEvacuated that they are in evacuated zones, and verdictElsewhere that they are in regions in which the request may not run.
	verdictRunnersCold      = "runners-cold"
	verdictRunnersLimited   = "runners-limited"
	verdictRunnersResting   = "runners-resting"
	verdictZoneEvacuated    = "zone-evacuated"
	verdictRegionNotAllowed = "region-not-allowed"
	// verdictNoRoom says that no engine had room in time, verdictBacklog that none will have, for what waits already, and
	// verdictLeftLine that the request's time or its caller's patience ended before one had.
	verdictNoRoom    = "no-room"
	verdictBacklog   = "backlog"
	verdictLeftQueue = "left-while-waiting"
	// verdictCrashesRunners says that runners have ended under the request.
	verdictCrashesRunners = "crashes-runners"
)

// checkRetry decides whether another attempt may follow; it returns why not, or nothing.
func (g *Gateway) checkRetry(ctx context.Context, x *exchange) string {
	now := time.Now()
	switch {
	case g.drainCtx.Err() != nil && ctx.Err() != nil:
		return verdictStopping
	case x.request.Context().Err() != nil:
		return verdictCallerLeft
	case ctx.Err() != nil:
		return verdictTimedOut
	case x.maybeRan && (x.route.AtMostOnce() || x.headSent && !x.route.Resumable):
		return "may-have-run"
	case x.noRunnerLeft:
		return x.reason
	case x.deadline.Sub(now) < minRemainingTime:
		return "no-time-left"
	default:
		return g.checkRetryLimits(x, now)
	}
}

// checkRetryLimits decides whether route and budget leave room for another attempt; it returns why not, or nothing.
func (g *Gateway) checkRetryLimits(x *exchange, now time.Time) string {
	switch {
	case x.sends.sent() == 0 && (now.Sub(x.arrived) > maxConnectTime || len(x.sends.asked()) >= maxConnectRunners):
		return "no-connection"
	case x.sends.sent() == 0:
		return ""
	case !x.mayUseAnotherRunner():
		return "runners-used"
	case g.isQuarantined(x):
		return verdictCrashesRunners
	case !g.budgets.TrySpend(now, x.service.Name):
		return verdictNoBudget
	default:
		return ""
	}
}

const (
	// minRemainingTime is the time under which another attempt cannot succeed.
	minRemainingTime = 10 * time.Millisecond
	// maxConnectTime bounds the search for a runner that takes a connection.
	maxConnectTime = 600 * time.Millisecond
	// maxConnectRunners bounds how many runners are asked for a connection.
	maxConnectRunners = 6
)

// directions are what goes to the runner beside the caller's own header.
func (g *Gateway) directions(x *exchange, t *target) *platform.Directions {
	d := &platform.Directions{
		Runner:    t.view.ID,
		Account:   x.accountName(),
		Remaining: time.Until(x.deadline),
		DropKey:   !x.route.Public || x.account != nil,
		LastEvent: x.lastEvent,
	}
	if x.service.Engine != nil {
		d.Priority = x.priority()
	}
	g.directEngine(x, t, d)
	return d
}
