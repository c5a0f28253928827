package gateway

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/platform"
)

const (
	// maxHeld is the largest answer, in bytes, that is held until it is whole.
	maxHeld = 256 << 10
	// relayBuffer is what one read of a stream takes at the most, in bytes.
	relayBuffer = 8 << 10
	// failureStatus is the least status that says that a runner failed.
	failureStatus = 500
)

// relay passes the runner's answer on; it reports whether the request is done with.
func (a *attempt) relay() bool {
	g, x, t := a.gateway, a.exchange, a.target
	if a.headers.Weights != 0 && x.wire.Prompt != nil {
		t.runner.SetWeights(x.wire.Prompt.Model, a.headers.Weights)
	}
	status := a.answer.Head.StatusCode
	if status >= failureStatus && a.headers.RetryAfter == 0 { // one that asks for rest says by itself for how long it is to be left alone
		share := t.runner.RecordFailure(time.Now())
		g.Log.Info("runner failed the request", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID, "status", status, "failures", share)
	}
	if x.began && !a.goesOn() {
		x.reason = "resumed-elsewhere-refused"
		return false
	}
	if a.passesEvents() {
		return a.relayStream()
	}
	return a.relayWhole()
}

// goesOn reports that the answer can go on with one that has begun.
func (a *attempt) goesOn() bool { return a.answer.Head.StatusCode == http.StatusOK }

// passesEvents reports that the answer's events are passed on as they come.
func (a *attempt) passesEvents() bool {
	return a.isStream() && a.answer.Head.StatusCode < failureStatus && !a.exchange.buffered
}

// isStream reports that the route's answers are streams of events.
func (a *attempt) isStream() bool { return a.exchange.route.Kind == deployment.EventStream }

// relayWhole holds an answer until it is whole, so that a broken one can still be replaced.
func (a *attempt) relayWhole() bool {
	g, x, t := a.gateway, a.exchange, a.target
	body, err := io.ReadAll(io.LimitReader(a, maxHeld+1))
	if err == nil && len(body) > maxHeld {
		return a.relayLarge(body)
	}
	if err != nil {
		return a.brokeOff(errors.Wrap(err, "answer broke off"))
	}
	status := a.answer.Head.StatusCode
	if status >= failureStatus && a.replaceFailure() {
		return false
	}
	if status < failureStatus {
		t.runner.RecordSuccess(time.Now())
	}
	if !a.headers.Sealed && status == http.StatusServiceUnavailable {
		x.maybeRan, x.reason = true, "runner-unavailable"
		return false // it promises nothing, while the same status from us would
	}
	h := g.beginAnswer(x, a.answer)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	if _, err := x.writer.Write(body); err != nil {
		g.Log.Info("answer not taken", "decision", "drop", "request", x.wire.ID, "cause", err.Error())
		return true
	}
	a.answered()
	return true
}

// brokeOff records that the answer broke off; the request isn't done with.
func (a *attempt) brokeOff(cause error) bool {
	a.handleFailure(cause)
	return false
}

// replaceFailure decides whether a runner's failure is answered by another runner instead.
func (a *attempt) replaceFailure() bool {
	if !a.awaitHedge() && !a.mayAskAnother() {
		return false
	}
	a.exchange.maybeRan, a.exchange.reason = true, "runner-failed"
	return true
}

// mayAskAnother reports that another runner may be asked once this one has ended.
func (a *attempt) mayAskAnother() bool {
	x := a.exchange
	return !x.route.AtMostOnce() && x.mayMove() && a.requestCtx.Err() == nil && a.gateway.budgets.Allows(time.Now(), x.service.Name)
}

// relayLarge passes on an answer that is too large to be held.
func (a *attempt) relayLarge(begun []byte) bool {
	g, x, t := a.gateway, a.exchange, a.target
	if !a.commit() {
		return a.brokeOff(errors.New("another attempt has answered"))
	}
	if !x.keepPastEnd() {
		return a.brokeOff(errStopping)
	}
	h := g.beginAnswer(x, a.answer)
	if length := a.answer.Head.ContentLength; length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.writer.WriteHeader(a.answer.Head.StatusCode)
	_, err := x.writer.Write(begun)
	if err == nil {
		_, err = io.Copy(x.writer, a)
	}
	if err != nil {
		a.noteLost()
		g.cut(x, t, err)
	}
	a.answered()
	return true
}

// noteLost records why the rest of an answer can't be had, where it is the runner that ended it.
func (a *attempt) noteLost() {
	if a.readErr != nil && a.cause(a.readErr) == causeRunnerEnded {
		a.noteCrash()
	}
}

// beginAnswer sets the runner's header on the answer to the caller, which from now on can be finished but not be replaced.
func (g *Gateway) beginAnswer(x *exchange, answer *forward.Response) http.Header {
	h := x.writer.Header()
	maps.Copy(h, platform.EndToEndHeader(answer.Head.Header))
	g.sayLeaving(h)
	x.begin()
	return h
}

// sayLeaving tells the caller to close its connection while the entry stops.
func (g *Gateway) sayLeaving(h http.Header) {
	if g.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// relayStream passes events on as they come, whole ones only where the stream may go on elsewhere.
func (a *attempt) relayStream() bool {
	g, x, t := a.gateway, a.exchange, a.target
	if !x.began {
		if !x.keepPastEnd() {
			return a.brokeOff(errStopping) // the entry is just giving it its last answer
		}
		g.beginAnswer(x, a.answer)
		x.writer.WriteHeader(a.answer.Head.StatusCode)
	}
	events := eventReader{from: a, whole: x.route.Resumable, had: a.resumeAfter}
	for {
		part, err := events.next()
		if len(part) > 0 {
			t.runner.RecordSuccess(time.Now())
			a.pass(part, events.last)
		}
		if isEnd(err) {
			a.answered()
			return true
		}
		if err != nil {
			return a.brokeOff(errors.Wrap(err, "stream broke off"))
		}
		if a.shouldMove(time.Now()) {
			a.startHedge(hedgeLoading)
		}
	}
}

// pass passes events on to the caller, up to the one with the given id.
func (a *attempt) pass(part []byte, last string) {
	g, x := a.gateway, a.exchange
	if x.first.IsZero() {
		x.first = time.Now()
		g.Metrics.FirstToken(x.first.Sub(x.arrived))
	}
	a.writingToCaller.Store(true)
	err := x.write(part)
	a.writingToCaller.Store(false)
	if err != nil {
		g.cut(x, a.target, errors.Wrap(err, "caller takes no more"))
	}
	x.untaken = 0
	x.passed(last)
}

// shouldMove reports that it is worth having another runner go on with a stream, since its own waits for its requests to end before it
// loads weights: it takes nothing new meanwhile.
func (a *attempt) shouldMove(now time.Time) bool {
	x := a.exchange
	if !x.route.Resumable || x.lastEvent == "" || x.ends.Sub(now) < x.route.TargetLatency {
		return false
	}
	v := a.target.runner.View(now)
	return v.ReportFresh && v.Load.LoadingWeights
}

func (x *exchange) write(part []byte) error {
	if _, err := x.writer.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(x.writer).Flush()
}

// cut ends an answer that cannot be finished by cutting the connection, so that it cannot be taken for a whole one.
func (g *Gateway) cut(x *exchange, t *target, cause error) {
	g.Log.Error(cause, "answer cut", "decision", "cut", "request", x.wire.ID, "runner", t.view.ID, "after", time.Since(x.arrived).String())
	g.Metrics.Request("unknown", "cut")
	panic(http.ErrAbortHandler)
}

// answered records a request that has its whole answer.
func (a *attempt) answered() {
	g, x, t, status := a.gateway, a.exchange, a.target, a.answer.Head.StatusCode
	if a.answer.Framed() { // any other may have ended with its runner
		g.clearSuspicion(x)
	}
	took := time.Since(x.arrived)
	g.Log.Info("answered", "decision", "done", "request", x.wire.ID, "route", x.route.Name, "runner", t.view.ID, "status", status, "sends", x.sends.sendCount(),
		"first", x.firstAfter().String(), "waited", x.waited.String(), "weights", t.weights, "took", took.String(), "buffered", x.buffered, "config", x.config.Version)
	if status < failureStatus {
		g.usual.observe(x.route.Name, took)
	}
	g.Metrics.Request("answered", strings.ToLower(x.route.Kind.String()))
	g.Metrics.Step(x.route.Kind.String(), took)
}

func (x *exchange) firstAfter() time.Duration {
	if x.first.IsZero() {
		return 0
	}
	return x.first.Sub(x.arrived)
}
