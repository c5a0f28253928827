package gateway

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/platform"
)

// attempt is one send of a request to one runner, until the end of that runner's answer.
type attempt struct {
	gateway  *Gateway
	exchange *exchange
	target   *target
	// requestCtx is the context of the request's attempts, and waiting that of this one, which cancel ends for a reason.
	requestCtx    context.Context
	ctx           context.Context
	cancel        context.CancelCauseFunc
	watchdog      *watchdog
	startDeadline *startDeadline
	// stopAfterEnd takes back what is to be done when the runner's run turns out to be over.
	stopAfterEnd func() bool

	// sentAt is when the request was sent.
	sentAt  time.Time
	answer  *forward.Answer
	headers platform.Answer
	// prefetched is what was read of the answer before it is passed on, had the last event that the caller has from another attempt.
	prefetched  bytes.Buffer
	resumeAfter string
	// received is how much of the answer has come, in bytes.
	received int64
	// readErr is what ended the reading of an answer that isn't whole.
	readErr error

	// noEjection says that the entry ended the attempt for a reason that doesn't speak against the runner.
	noEjection atomic.Bool
	// mu guards the attempt that was begun beside this one, and whether another may still be.
	mu            sync.Mutex
	hedge         *hedge
	hedgingClosed bool
	// hedgeMayHaveRun says that an earlier second attempt may have run.
	hedgeMayHaveRun bool
	// writingToCaller says that what the runner said is being written to the caller.
	writingToCaller atomic.Bool
}

// runAttempt sends the request to one runner, and where need be to another beside it; it reports whether the request is done with.
func (g *Gateway) runAttempt(ctx context.Context, x *exchange) bool {
	t, verdict := g.findTarget(ctx, x)
	if t != nil && !x.trial && g.isQuarantined(x) { // runners may have ended under it while it waited
		t.inflight.end()
		t, verdict = nil, verdictCrashesRunners
	}
	if t == nil {
		x.reason = verdict
		x.exhausted = true
		return false
	}
	a := g.newAttempt(ctx, x, t)
	defer func() { a.close() }()
	for {
		if a.run() {
			return true
		}
		next := a.replacement()
		if next == nil {
			return false
		}
		a.close()
		a = next
	}
}

// newAttempt prepares a send to the target.
func (g *Gateway) newAttempt(ctx context.Context, x *exchange, t *target) *attempt {
	a := &attempt{gateway: g, exchange: x, target: t, requestCtx: ctx}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.watchdog = g.newWatchdog(a)
	a.startDeadline = g.newStartDeadline(x, t, func() { a.cancel(errStartTooLate) })
	a.stopAfterEnd = t.runner.AfterEnd(a.watchdog.checkNow)
	return a
}

// run sends the request, unless that is done already, and passes the answer on; it reports whether the request is done with.
func (a *attempt) run() bool {
	if a.answer == nil {
		a.startWatchdog()
		if !a.send() {
			return false
		}
	}
	return a.relay()
}

// startWatchdog bounds the wait for the runner's answer where another runner may be asked beside it.
func (a *attempt) startWatchdog() {
	x := a.exchange
	if !x.route.AtMostOnce() && x.runnersLeft() > 1 {
		a.watchdog.start(firstByteTimeout(x.route))
	}
}

// send sends the request and reads the head of the answer; it reports whether the runner took it.
func (a *attempt) send() bool {
	g, x, t := a.gateway, a.exchange, a.target
	call := x.call
	call.Header = g.directions(x, t).Header(x.request.Header)
	x.sends.recordSend(t.view.ID)
	a.sentAt = time.Now()
	answer, err := g.pool.Do(a.ctx, t.view.Address, g.maxConns(x), &call, func(resp *http.Response) bool {
		a.headers = platform.DecodeAnswer(resp.StatusCode, resp.Header)
		return a.headers.Request == x.wire.ID || a.headers.Request == "" && x.wire.ID == ""
	})
	if err != nil {
		if errors.Is(err, forward.ErrNotSent) {
			x.sends.recordNotSent(t.view.ID)
			x.untaken++
		}
		a.handleFailure(err)
		return false
	}
	a.answer = answer
	answer.Rest = a.headers.Rest
	a.applyRunnerState(time.Now())
	if a.headers.NotRun {
		g.handleRefusal(x, t, answer, a.headers)
		return false
	}
	return true
}

// Read reads the answer's body.
func (a *attempt) Read(buf []byte) (int, error) {
	if a.prefetched.Len() > 0 {
		return a.prefetched.Read(buf)
	}
	return a.readAnswer(buf)
}

// readAnswer reads what the runner sends, and records that it does.
func (a *attempt) readAnswer(buf []byte) (int, error) {
	n, err := a.answer.Read(buf)
	if n > 0 {
		a.recordProgress()
		a.received += int64(n)
		a.gateway.noteReceived(a.exchange, a.received)
	}
	if err != nil && !isEnd(err) {
		a.readErr = err
	}
	return n, err
}

// recordProgress records that the runner has said something of its answer.
func (a *attempt) recordProgress() {
	a.startDeadline.stop()
	a.watchdog.reset()
	a.target.inflight.recordFirstToken()
}

// close ends the attempt, and the one that was begun beside it.
func (a *attempt) close() {
	if h := a.takeHedge(); h != nil {
		h.close()
	}
	a.stopAfterEnd()
	a.watchdog.stop()
	a.startDeadline.stop()
	if a.answer != nil {
		a.answer.Close() // before the context ends, which would close a connection that can be kept
	}
	a.cancel(nil)
	a.target.inflight.end()
}

// findTarget finds a runner for the next attempt, or says why there is none.
func (g *Gateway) findTarget(ctx context.Context, x *exchange) (*target, string) {
	if x.needsEngine() {
		return g.line.admit(ctx, x)
	}
	return g.choose(x, time.Now())
}

// maxConns is how many connections this entry may have to one runner.
func (g *Gateway) maxConns(x *exchange) int {
	if x.service.MaxConns == 0 {
		return 0
	}
	return max(minConns, x.service.MaxConns/connShareDivisor)
}

const (
	// connShareDivisor is into how many parts a runner's connections are dealt among entries.
	connShareDivisor = 6
	// minConns is the least that an entry takes for itself.
	minConns = 8
)

// handleFailure judges an attempt that brought no answer.
func (a *attempt) handleFailure(err error) {
	g, x, t := a.gateway, a.exchange, a.target
	cause := a.cause(err)
	notSent := cause == causeNotSent
	if !notSent {
		x.maybeRan = true
	}
	g.Metrics.Attempt(string(cause))
	if cause == causeRunnerEnded {
		a.noteCrash()
	}
	now := time.Now()
	if t.cancelled.Load() {
		x.reason = errStartTooLate.Error()
		g.Log.Info("request cancelled before it began", "decision", "cancel", "request", x.wire.ID, "runner", t.view.ID, "weights", t.weights,
			"replacedFor", g.sinceReplaced(x, t.weights, now).String(), "notSent", notSent, "after", now.Sub(x.arrived).String())
		return
	}
	x.reason = err.Error()
	callerLeft := x.request.Context().Err() != nil
	pause := time.Duration(0)
	if !callerLeft && !a.noEjection.Load() && !errors.Is(err, forward.ErrFull) {
		pause = t.runner.Eject(now)
		if cause != causeClosed {
			g.pool.Forget(t.view.Address)
		}
	}
	g.Log.Info("attempt failed", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID, "notSent", notSent,
		"callerLeft", callerLeft, "spared", a.noEjection.Load(), "timedOut", a.requestCtx.Err() != nil, "kind", cause, "endedBy", a.endedBy(), "fingerprint", x.fingerprint().String(),
		"events", x.lastEvent, "cause", err.Error(), "avoidedFor", pause.String(), "after", now.Sub(x.arrived).String())
}

// handleRefusal judges a runner's word that it has not run the request.
func (g *Gateway) handleRefusal(x *exchange, t *target, answer *forward.Answer, head platform.Answer) {
	x.reason = "runner-refused"
	x.untaken++
	x.sends.recordRefusal(t.view.ID)
	g.Log.Info("runner refused", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID,
		"status", answer.Response.StatusCode, "began", x.began, "rest", head.RetryAfter.String(), "otherRunner", head.OtherRunner, "answeredBy", head.Instance, "weights", head.Weights)
	switch {
	case head.OtherRunner && head.Instance != "" && head.Instance != t.view.ID:
		t.runner.MarkLeaving() // another run has its address, so that this one is over, whatever the list says
		select {
		case g.restarted <- struct{}{}:
		default: // the list is going to be asked for already
		}
	case head.OtherRunner && x.wire.Prompt != nil:
		g.updateWeights(x, t, head)
	case head.RetryAfter == 0: // it has not said for how long it wants nothing
		t.runner.Eject(time.Now())
	}
}

// updateWeights takes from a refusal that the runner has other weights than were expected.
func (g *Gateway) updateWeights(x *exchange, t *target, head platform.Answer) {
	version := head.Weights
	if version == 0 {
		named, _ := g.state.NamedWeights(x.wire.Prompt.Model)
		version = named.Version
	}
	t.runner.SetWeights(x.wire.Prompt.Model, version)
	x.sends.allowRetry() // the same runner may be asked again for its own weights
}
