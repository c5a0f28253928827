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
	g.running.Add()
	defer g.running.Done()
	x := newExchange(w, r)
	g.awaitSync(r.Context())
	refusal := g.admit(x)
	if refusal == nil {
		refusal = g.take(x)
	}
	if refusal != nil {
		g.refuse(x, refusal)
		return
	}
	timed, cancel := context.WithDeadline(r.Context(), x.ends)
	defer cancel()
	ctx, end := context.WithCancelCause(timed)
	defer end(nil)
	x.keepPastEnd = context.AfterFunc(g.over, func() { end(errStopping) })
	defer x.keepPastEnd()
	g.serve(ctx, x)
}

// admit finds out what the request is and whether it may run.
func (g *Gateway) admit(x *exchange) *refusal {
	x.config = g.state.Config()
	if x.config == nil || !g.state.HasSynced() {
		return notYet
	}
	if most := x.config.Limits.MaxHeader; most > 0 && headSize(x.request) > most {
		return headTooLarge
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = x.request.URL.EscapedPath()
	}
	if x.route = x.config.Match(x.request.Host, path); x.route == nil {
		return unknownRoute
	}
	if refusal := x.authenticate(); refusal != nil {
		return refusal
	}
	x.regions, x.limited = deployment.AllowedRegions(x.route, x.account)
	x.ends = x.arrived.Add(x.route.Timeout)
	if x.wire.Timeout > 0 && x.wire.Timeout < x.route.Timeout {
		x.ends = x.arrived.Add(x.wire.Timeout)
	}
	x.service = x.config.Services[g.share(x)]
	if x.service == nil {
		return unknownService
	}
	g.budgets.RecordRequest(x.arrived, x.service.Name)
	return nil
}

// take reads the rest of a request that may run; while the entry stops it decides whether there is time for it.
func (g *Gateway) take(x *exchange) *refusal {
	if refusal := x.read(); refusal != nil {
		return refusal
	}
	if !g.mayBegin(x) {
		return crashesRunners
	}
	if g.leaving.Load() {
		return g.takeLeaving(x)
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
	x.account = x.config.AccountByKey(x.wire.APIKey)
	if x.account == nil && !x.route.Public {
		return unknownKey
	}
	return nil
}

// share picks one of the route's services by their weights; requests of one conversation stay together.
func (g *Gateway) share(x *exchange) rillreach.ServiceID {
	shares := x.route.WeightedServices
	if len(shares) == 1 {
		return shares[0].Service
	}
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	at := float64(xxhash.Sum64String(conversation(x))) / math.MaxUint64 * sum
	for _, s := range shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return shares[len(shares)-1].Service
}

// conversation names what the request has in common with those that come back: the last shared part of its prompt.
func conversation(x *exchange) string {
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
	x.call = forward.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host,
		HasBody: r.ContentLength != 0 || len(r.Header["Content-Length"]) > 0,
	}
	if !x.call.HasBody {
		return nil
	}
	control := http.NewResponseController(x.writer)
	if err := control.SetReadDeadline(x.ends); err != nil {
		return unreadable
	}
	body, err := readBody(http.MaxBytesReader(x.writer, r.Body, x.config.Limits.MaxBody), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge
	case err != nil:
		return unreadable
	}
	x.call.Body = body
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return unreadable
	}
	return nil
}

// readBody reads a body whose length may be known.
func readBody(from io.Reader, length int64) ([]byte, error) {
	if length <= 0 || length > maxPrepared {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// maxPrepared is the largest body for which memory is taken before it has come, in bytes.
const maxPrepared = 256 << 10

// serve tries runners until the request has its answer or none can give it.
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

// Verdicts on a request whose attempts have failed, where they decide on its answer.
const (
	verdictStopping = "stopping"
	verdictLeft     = "caller-left"
	verdictTimedOut = "timed-out"
	verdictNoRunner = "no-runner"
	// verdictCold says that all runners left are cold and have as much as they bear, verdictLimited that they have as much as the limits that they name
	// allow, verdictResting that they rest, verdictEvacuated that they are in evacuated zones, and verdictElsewhere that they are in regions in which the request may not run.
	verdictCold      = "runners-cold"
	verdictLimited   = "runners-limited"
	verdictResting   = "runners-resting"
	verdictEvacuated = "zone-evacuated"
	verdictElsewhere = "region-not-allowed"
	// verdictNoRoom says that no engine had room in time, verdictBacklog that none will have, for what waits already, and
	// verdictLeftLine that the request's time or its caller's patience ended before one had.
	verdictNoRoom   = "no-room"
	verdictBacklog  = "backlog"
	verdictLeftLine = "left-while-waiting"
	// verdictCrashesRunners says that runners have ended under the request.
	verdictCrashesRunners = "crashes-runners"
)

// again decides whether another attempt may follow; it returns why not, or nothing.
func (g *Gateway) again(ctx context.Context, x *exchange) string {
	now := time.Now()
	switch {
	case g.over.Err() != nil && ctx.Err() != nil:
		return verdictStopping
	case x.request.Context().Err() != nil:
		return verdictLeft
	case ctx.Err() != nil:
		return verdictTimedOut
	case x.maybeRan && (x.route.AtMostOnce() || x.began && !x.route.Resumable):
		return "may-have-run"
	case x.exhausted:
		return x.reason
	case x.ends.Sub(now) < leastTime:
		return "no-time-left"
	default:
		return g.allowed(x, now)
	}
}

// allowed decides whether route and budget leave room for another attempt; it returns why not, or nothing.
func (g *Gateway) allowed(x *exchange, now time.Time) string {
	switch {
	case x.sends.sendCount() == 0 && (now.Sub(x.arrived) > connectFor || len(x.sends.runnersTried()) >= maxTried):
		return "no-connection"
	case x.sends.sendCount() == 0:
		return ""
	case !x.mayMove():
		return "runners-used"
	case g.isQuarantined(x):
		return verdictCrashesRunners
	case !g.budgets.TrySpend(now, x.service.Name):
		return verdictBudgetExhausted
	default:
		return ""
	}
}

const (
	// leastTime is the time under which another attempt cannot succeed.
	leastTime = 10 * time.Millisecond
	// connectFor bounds the search for a runner that takes a connection.
	connectFor = 600 * time.Millisecond
	// maxTried bounds how many runners are asked for a connection.
	maxTried = 6
)

// directions are what goes to the runner beside the caller's own header.
func (g *Gateway) directions(x *exchange, t *target) *platform.RunnerHeaders {
	d := &platform.RunnerHeaders{
		Runner:      t.view.ID,
		Account:     x.accountName(),
		Timeout:     time.Until(x.ends),
		DropAPIKey:  !x.route.Public || x.account != nil,
		LastEventID: x.lastEvent,
	}
	if x.service.Engine != nil {
		d.Priority = x.priority()
	}
	g.setEngineDirections(x, t, d)
	return d
}
