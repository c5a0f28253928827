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
	// parent is the context of the request's attempts, and waiting that of this one, which cancel ends for a reason.
	parent  context.Context
	waiting context.Context
	cancel  context.CancelCauseFunc
	silence *silenceBound
	start   *startDeadline
	// unwatch takes back what is to be done when the runner's run turns out to be over.
	unwatch func() bool

	// sentAt is when the request was sent.
	sentAt time.Time
	answer *forward.Answer
	head   platform.Answer
	// ahead is what was read of the answer before it is passed on, had the last event that the caller has from another attempt.
	ahead bytes.Buffer
	had   string
	// received is how much of the answer has come, in bytes.
	received int64
	// lost is what ended the reading of an answer that isn't whole.
	lost error

	// spared says that the entry ended the attempt for a reason that doesn't speak against the runner.
	spared atomic.Bool
	// mu guards the attempt that was begun beside this one, and whether another may still be.
	mu     sync.Mutex
	hedge  *hedge
	closed bool
	// ranBeside says that an earlier second attempt may have run.
	ranBeside bool
	// passing says that what the runner said is being written to the caller.
	passing atomic.Bool
}

// attempt sends the request to one runner, and where need be to another beside it; it reports whether the request is done with.
func (g *Gateway) attempt(ctx context.Context, x *exchange) bool {
	t, verdict := g.target(ctx, x)
	if t != nil && !x.trial && g.isQuarantined(x) { // runners may have ended under it while it waited
		t.work.end()
		t, verdict = nil, verdictCrashesRunners
	}
	if t == nil {
		x.reason = verdict
		x.noRunnerLeft = true
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
	a := &attempt{gateway: g, exchange: x, target: t, parent: ctx}
	a.waiting, a.cancel = context.WithCancelCause(ctx)
	a.silence = g.boundSilence(a)
	a.start = g.boundStart(x, t, func() { a.cancel(errStartTooLate) })
	a.unwatch = t.runner.AfterEnd(a.silence.askNow)
	return a
}

// run sends the request, unless that is done already, and passes the answer on; it reports whether the request is done with.
func (a *attempt) run() bool {
	if a.answer == nil {
		a.awaitFirstWord()
		if !a.send() {
			return false
		}
	}
	return a.relay()
}

// awaitFirstWord bounds the wait for the runner's answer where another runner may be asked beside it.
func (a *attempt) awaitFirstWord() {
	x := a.exchange
	if !x.route.AtMostOnce() && x.runnersLeft() > 1 {
		a.silence.begin(firstWordAfter(x.route))
	}
}

// send sends the request and reads the head of the answer; it reports whether the runner took it.
func (a *attempt) send() bool {
	g, x, t := a.gateway, a.exchange, a.target
	call := x.call
	call.Header = g.directions(x, t).Header(x.request.Header)
	x.sends.add(t.view.ID)
	a.sentAt = time.Now()
	answer, err := g.pool.Do(a.waiting, t.view.Address, g.maxConns(x), &call, func(resp *http.Response) bool {
		a.head = platform.DecodeAnswer(resp.StatusCode, resp.Header)
		return a.head.Request == x.wire.ID || a.head.Request == "" && x.wire.ID == ""
	})
	if err != nil {
		if errors.Is(err, forward.ErrNotSent) {
			x.sends.drop(t.view.ID)
			x.failedSends++
		}
		a.failed(err)
		return false
	}
	a.answer = answer
	answer.Rest = a.head.Rest
	a.believe(time.Now())
	if a.head.NotRun {
		g.notRun(x, t, answer, a.head)
		return false
	}
	return true
}

// Read reads the answer's body.
func (a *attempt) Read(buf []byte) (int, error) {
	if a.ahead.Len() > 0 {
		return a.ahead.Read(buf)
	}
	return a.readAnswer(buf)
}

// readAnswer reads what the runner sends, and records that it does.
func (a *attempt) readAnswer(buf []byte) (int, error) {
	n, err := a.answer.Read(buf)
	if n > 0 {
		a.heard()
		a.received += int64(n)
		a.gateway.recordProgress(a.exchange, a.received)
	}
	if err != nil && !isCompleteAnswer(err) {
		a.lost = err
	}
	return n, err
}

// heard records that the runner has said something of its answer.
func (a *attempt) heard() {
	a.start.stop()
	a.silence.heard()
	a.target.work.first()
}

// close ends the attempt, and the one that was begun beside it.
func (a *attempt) close() {
	if h := a.releaseHedge(); h != nil {
		h.end()
	}
	a.unwatch()
	a.silence.stop()
	a.start.stop()
	if a.answer != nil {
		a.answer.Close() // before the context ends, which would close a connection that can be kept
	}
	a.cancel(nil)
	a.target.work.end()
}

// target finds a runner for the next attempt, or says why there is none.
func (g *Gateway) target(ctx context.Context, x *exchange) (*target, string) {
	if x.needsEngine() {
		return g.queue.admit(ctx, x)
	}
	return g.choose(x, time.Now())
}

// maxConns is how many connections this entry may have to one runner.
func (g *Gateway) maxConns(x *exchange) int {
	if x.service.MaxConns == 0 {
		return 0
	}
	return max(leastConns, x.service.MaxConns/connShare)
}

const (
	// connShare is into how many parts a runner's connections are dealt among entries.
	connShare = 6
	// leastConns is the least that an entry takes for itself.
	leastConns = 8
)

// failed judges an attempt that brought no answer.
func (a *attempt) failed(err error) {
	g, x, t := a.gateway, a.exchange, a.target
	cause := a.classifyFailure(err)
	notSent := cause == causeNotSent
	if !notSent {
		x.maybeRan = true
	}
	g.Metrics.Attempt(string(cause))
	if cause == causeRunnerEnded {
		a.recordCrash()
	}
	now := time.Now()
	if t.cancelled.Load() {
		x.reason = errStartTooLate.Error()
		g.Log.Info("request cancelled before it began", "decision", "cancel", "request", x.wire.ID, "runner", t.view.ID, "weights", t.weights,
			"replacedFor", g.replacedFor(x, t.weights, now).String(), "notSent", notSent, "after", now.Sub(x.arrived).String())
		return
	}
	x.reason = err.Error()
	callerLeft := x.request.Context().Err() != nil
	pause := time.Duration(0)
	if !callerLeft && !a.spared.Load() && !errors.Is(err, forward.ErrFull) {
		pause = t.runner.Eject(now)
		if cause != causeConnectionClosed {
			g.pool.Forget(t.view.Address)
		}
	}
	g.Log.Info("attempt failed", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID, "notSent", notSent,
		"callerLeft", callerLeft, "spared", a.spared.Load(), "timedOut", a.parent.Err() != nil, "kind", cause, "endedBy", a.cancelReason(), "fingerprint", x.fingerprint().String(),
		"events", x.lastEvent, "cause", err.Error(), "avoidedFor", pause.String(), "after", now.Sub(x.arrived).String())
}

// notRun judges a runner's word that it has not run the request.
func (g *Gateway) notRun(x *exchange, t *target, answer *forward.Answer, head platform.Answer) {
	x.reason = "runner-refused"
	x.failedSends++
	x.sends.refused(t.view.ID)
	g.Log.Info("runner refused", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID,
		"status", answer.Response.StatusCode, "began", x.headSent, "rest", head.RetryAfter.String(), "otherRunner", head.OtherRunner, "answeredBy", head.Instance, "weights", head.Weights)
	switch {
	case head.OtherRunner && head.Instance != "" && head.Instance != t.view.ID:
		t.runner.MarkLeaving() // another run has its address, so that this one is over, whatever the list says
		select {
		case g.refreshRunners <- struct{}{}:
		default: // the list is going to be asked for already
		}
	case head.OtherRunner && x.wire.Prompt != nil:
		g.noteWeights(x, t, head)
	case head.RetryAfter == 0: // it has not said for how long it wants nothing
		t.runner.Eject(time.Now())
	}
}

// noteWeights takes from a refusal that the runner has other weights than were expected.
func (g *Gateway) noteWeights(x *exchange, t *target, head platform.Answer) {
	version := head.Weights
	if version == 0 {
		named, _ := g.state.NamedWeights(x.wire.Prompt.Model)
		version = named.Version
	}
	t.runner.SetWeights(x.wire.Prompt.Model, version)
	x.sends.allowAgain() // the same runner may be asked again for its own weights
}
