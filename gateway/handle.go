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
	"github.com/rillreach/rillreach/internal/bounded"
	"github.com/rillreach/rillreach/platform"
)

// handle serves one request of a caller.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	g.inflight.Add()
	defer g.inflight.Done()
	x := newExchange(w, r)
	x.memory.Budget = g.buffers
	defer x.memory.Release()
	defer g.cancelUnusedTrial(x)
	defer g.returnRepeat(x)
	g.awaitSync(r.Context())
	refusal := g.admit(x)
	if refusal == nil {
		refusal = g.accept(r.Context(), x)
	}
	if refusal != nil {
		g.refuse(x, refusal)
		return
	}
	deadlineCtx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(deadlineCtx)
	defer cancelCause(nil)
	x.continuePastShutdown = context.AfterFunc(g.drainCtx, func() { cancelCause(errShuttingDown) })
	defer x.continuePastShutdown()
	g.serve(ctx, x)
	g.allowClose(x)
}

// admit resolves the request's route, account and service, and returns a refusal if the request must not run.
func (g *Gateway) admit(x *exchange) *refusal {
	x.config = g.state.Config()
	if x.config == nil || !g.state.HasSynced() {
		return refusedNoConfiguration
	}
	if maxHeader := x.config.Limits.MaxHeader; maxHeader > 0 && headSize(x.request) > maxHeader {
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
	if x.wire.Timeout > 0 && x.wire.Timeout < x.route.Timeout {
		x.deadline = x.arrived.Add(x.wire.Timeout)
	}
	x.service = x.config.Services[g.chooseService(x)]
	if x.service == nil {
		return refusedUnknownService
	}
	return nil
}

// accept finds the beginning of the stream that an admitted request takes up, and reads the request's body. It refuses the
// request if it is quarantined, or if the entry is shutting down and has no time left for it.
func (g *Gateway) accept(ctx context.Context, x *exchange) *refusal {
	if x.resumesStream() {
		if refusal := g.resumeStream(ctx, x); refusal != nil {
			return refusal
		}
	}
	g.budgets.RecordRequest(g.Clock.Now(), x.service.Name)
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

// headSize returns the approximate size of a request's head in bytes.
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
	x.account = x.config.AccountByKey(x.wire.APIKey)
	if x.account == nil && !x.route.Public {
		return refusedUnknownKey
	}
	return nil
}

// chooseService picks one of the route's services by weight. Requests of one conversation get the same service.
func (g *Gateway) chooseService(x *exchange) rillreach.ServiceID {
	services := x.route.WeightedServices
	if len(services) == 1 {
		return services[0].Service
	}
	totalWeight := 0.0
	for _, s := range services {
		totalWeight += s.Weight
	}
	point := float64(xxhash.Sum64String(conversationID(x))) / math.MaxUint64 * totalWeight
	for _, s := range services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return services[len(services)-1].Service
}

// conversationID identifies the conversation of a request by the last shared part of its prompt, which later requests
// of the conversation have too. A request without shared parts is its own conversation.
func conversationID(x *exchange) string {
	if x.wire.Prompt != nil {
		if shared := x.wire.Prompt.SharedParts(); len(shared) > 0 {
			return shared[len(shared)-1].ID
		}
	}
	return string(x.wire.ID)
}

// read reads the body and prepares the call to the runner.
func (x *exchange) read() *refusal {
	r := x.request
	x.call = forward.Request{
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
	body, err := readBody(http.MaxBytesReader(x.writer, r.Body, x.config.Limits.MaxBody), r.ContentLength, &x.memory)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bounded.ErrNoMemory):
		return refusedNoMemory
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

// readBody reads a body of the given length and reserves memory for it. A length of zero or less means unknown.
func readBody(from io.Reader, length int64, memory *bounded.Reservation) ([]byte, error) {
	if length <= 0 || length > maxPreallocatedBody {
		return io.ReadAll(&bounded.Reader{From: from, Memory: memory})
	}
	if !memory.Grow(length) {
		return nil, bounded.ErrNoMemory
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// maxPreallocatedBody is the largest body, in bytes, for which memory is allocated before the body has arrived.
const maxPreallocatedBody = 256 << 10

// serve makes attempts until the request is answered or must be given up.
func (g *Gateway) serve(ctx context.Context, x *exchange) {
	for {
		done := g.runAttempt(ctx, x)
		if done {
			return
		}
		if verdict := g.awaitResend(ctx, x); verdict != "" {
			g.giveUp(ctx, x, verdict)
			return
		}
	}
}

// Verdicts on requests that are given up.
const (
	verdictStopping   = "stopping"
	verdictCallerLeft = "caller-left"
	verdictTimedOut   = "timed-out"
	verdictNoRunner   = "no-runner"
	// The next five say why none of the remaining runners may take the request: they are cold and have no permits left,
	// have reached the limits that they announce, have asked for backoff, or are in an evacuated zone or in a region in
	// which the request must not run.
	verdictRunnersCold       = "runners-cold"
	verdictRunnersLimited    = "runners-limited"
	verdictRunnersBackingOff = "runners-resting"
	verdictZoneEvacuated     = "zone-evacuated"
	verdictRegionNotAllowed  = "region-not-allowed"
	// verdictSoftwareGone means that no runner is left with the software version that has begun the stream.
	verdictSoftwareGone = "software-gone"
	// verdictNoRoom means that no engine had room in time, verdictBacklog that none will because of the requests that
	// are already queued, and verdictLeftQueue that the request's deadline passed or its caller gave up in the queue.
	verdictNoRoom    = "no-room"
	verdictBacklog   = "backlog"
	verdictLeftQueue = "left-while-waiting"
	// verdictCrashesRunners means that the request is quarantined because runners have crashed while serving it.
	verdictCrashesRunners = "crashes-runners"
)

// checkRetry decides whether another attempt may follow. It returns the reason if not, or an empty string.
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

// checkRetryLimits checks another attempt against the limits of the route and the retry budget, which it spends. It
// returns the reason if the attempt must not be made, or an empty string.
func (g *Gateway) checkRetryLimits(x *exchange, now time.Time) string {
	switch {
	case x.sends.sendCount() == 0 && (now.Sub(x.arrived) > maxConnectTime || len(x.sends.runnersTried()) >= maxConnectRunners):
		return "no-connection"
	case x.sends.sendCount() == 0:
		return ""
	case !x.mayUseAnotherRunner():
		return "runners-used"
	case g.isQuarantined(x), x.sends.runCount() > 0 && g.hasSuspectedPart(x):
		return verdictCrashesRunners
	case !g.reserveRepeat(x, repeatRetry):
		return verdictBudgetExhausted
	default:
		return ""
	}
}

const (
	// minRemainingTime is the shortest remaining time in which another attempt can succeed.
	minRemainingTime = 10 * time.Millisecond
	// maxConnectTime bounds the search for a runner that accepts a connection.
	maxConnectTime = 600 * time.Millisecond
	// maxConnectRunners bounds how many runners are tried in that search.
	maxConnectRunners = 6
)

// directions returns what the runner is told in addition to the caller's own headers.
func (g *Gateway) directions(x *exchange, t *target) *platform.RunnerHeaders {
	d := &platform.RunnerHeaders{
		Runner:      t.view.ID,
		Account:     x.accountName(),
		Timeout:     time.Until(x.deadline),
		DropAPIKey:  !x.route.Public || x.account != nil,
		LastEventID: x.lastEvent,
	}
	if x.service.Engine != nil {
		d.Priority = x.priority()
	}
	g.setEngineDirections(x, t, d)
	return d
}
