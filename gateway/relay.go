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
	// maxBufferedAnswer is the largest answer, in bytes, that is held until it is whole.
	maxBufferedAnswer = 256 << 10
	// relayBufferSize is what one read of a stream takes at the most, in bytes.
	relayBufferSize = 8 << 10
	// minFailureStatus is the least status that says that a runner failed.
	minFailureStatus = 500
)

// relay passes the runner's answer on; it reports whether the request is done with.
func (a *attempt) relay() bool {
	g, x, t := a.gateway, a.exchange, a.target
	if a.head.Weights != 0 && x.wire.Prompt != nil {
		t.runner.SetWeights(x.wire.Prompt.Model, a.head.Weights)
	}
	status := a.answer.Response.StatusCode
	if status >= minFailureStatus && a.head.RetryAfter == 0 { // one that asks for rest says by itself for how long it is to be left alone
		share := t.runner.RecordFailure(time.Now())
		g.Log.Info("runner failed the request", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID, "status", status, "failures", share)
	}
	if x.headSent && !a.canContinue() {
		x.reason = "resumed-elsewhere-refused"
		return false
	}
	if a.forwardsEvents() {
		return a.relayStream()
	}
	return a.relayBuffered()
}

// canContinue reports that the answer can go on with one that has begun.
func (a *attempt) canContinue() bool { return a.answer.Response.StatusCode == http.StatusOK }

// forwardsEvents reports that the answer's events are passed on as they come.
func (a *attempt) forwardsEvents() bool {
	return a.isEventStream() && a.answer.Response.StatusCode < minFailureStatus && !a.exchange.buffered
}

// isEventStream reports that the route's answers are streams of events.
func (a *attempt) isEventStream() bool { return a.exchange.route.Kind == deployment.EventStream }

// relayBuffered holds an answer until it is whole, so that a broken one can still be replaced.
func (a *attempt) relayBuffered() bool {
	g, x, t := a.gateway, a.exchange, a.target
	body, err := io.ReadAll(io.LimitReader(a, maxBufferedAnswer+1))
	if err == nil && len(body) > maxBufferedAnswer {
		return a.relayLarge(body)
	}
	if err != nil {
		return a.failRelay(errors.Wrap(err, "answer broke off"))
	}
	status := a.answer.Response.StatusCode
	if status >= minFailureStatus && a.shouldRetryFailure() {
		return false
	}
	if status < minFailureStatus {
		t.runner.RecordSuccess(time.Now())
	}
	if !a.head.Sealed && status == http.StatusServiceUnavailable {
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
	a.recordAnswered()
	return true
}

// failRelay records that the answer broke off; the request isn't done with.
func (a *attempt) failRelay(cause error) bool {
	a.failed(cause)
	return false
}

// shouldRetryFailure decides whether a runner's failure is answered by another runner instead.
func (a *attempt) shouldRetryFailure() bool {
	if !a.awaitHedge() && !a.mayTryAnother() {
		return false
	}
	a.exchange.maybeRan, a.exchange.reason = true, "runner-failed"
	return true
}

// mayTryAnother reports that another runner may be asked once this one has ended.
func (a *attempt) mayTryAnother() bool {
	x := a.exchange
	return !x.route.AtMostOnce() && x.mayUseAnotherRunner() && a.parent.Err() == nil && a.gateway.budgets.Allows(time.Now(), x.service.Name)
}

// relayLarge passes on an answer that is too large to be held.
func (a *attempt) relayLarge(begun []byte) bool {
	g, x, t := a.gateway, a.exchange, a.target
	if !a.commit() {
		return a.failRelay(errors.New("another attempt has answered"))
	}
	if !x.continuePastShutdown() {
		return a.failRelay(errShuttingDown)
	}
	h := g.beginAnswer(x, a.answer)
	if length := a.answer.Response.ContentLength; length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.writer.WriteHeader(a.answer.Response.StatusCode)
	_, err := x.writer.Write(begun)
	if err == nil {
		_, err = io.Copy(x.writer, a)
	}
	if err != nil {
		a.recordCrashOnReadError()
		g.abortAnswer(x, t, err)
	}
	a.recordAnswered()
	return true
}

// recordCrashOnReadError records why the rest of an answer can't be had, where it is the runner that ended it.
func (a *attempt) recordCrashOnReadError() {
	if a.lost != nil && a.classifyFailure(a.lost) == causeRunnerEnded {
		a.recordCrash()
	}
}

// beginAnswer sets the runner's header on the answer to the caller, which from now on can be finished but not be replaced.
func (g *Gateway) beginAnswer(x *exchange, answer *forward.Answer) http.Header {
	h := x.writer.Header()
	maps.Copy(h, platform.PassedHeader(answer.Response.Header))
	g.setConnectionClose(h)
	x.recordHead()
	return h
}

// setConnectionClose tells the caller to close its connection while the entry stops.
func (g *Gateway) setConnectionClose(h http.Header) {
	if g.shuttingDown.Load() {
		h.Set("Connection", "close")
	}
}

// relayStream passes events on as they come, whole ones only where the stream may go on elsewhere.
func (a *attempt) relayStream() bool {
	g, x, t := a.gateway, a.exchange, a.target
	if !x.headSent {
		if !x.continuePastShutdown() {
			return a.failRelay(errShuttingDown) // the entry is just giving it its last answer
		}
		g.beginAnswer(x, a.answer)
		x.writer.WriteHeader(a.answer.Response.StatusCode)
	}
	events := eventReader{from: a, wholeEvents: x.route.Resumable, resumeAfter: a.had}
	for {
		part, err := events.next()
		if len(part) > 0 {
			t.runner.RecordSuccess(time.Now())
			a.writeEvents(part, events.lastID)
		}
		if isCompleteAnswer(err) {
			a.recordAnswered()
			return true
		}
		if err != nil {
			return a.failRelay(errors.Wrap(err, "stream broke off"))
		}
		if a.shouldMoveStream(time.Now()) {
			a.beginHedge(hedgeLoading)
		}
	}
}

// writeEvents passes events on to the caller, up to the one with the given id.
func (a *attempt) writeEvents(part []byte, last string) {
	g, x := a.gateway, a.exchange
	if x.firstEventAt.IsZero() {
		x.firstEventAt = time.Now()
		g.Metrics.FirstToken(x.firstEventAt.Sub(x.arrived))
	}
	a.passing.Store(true)
	err := x.write(part)
	a.passing.Store(false)
	if err != nil {
		g.abortAnswer(x, a.target, errors.Wrap(err, "caller takes no more"))
	}
	x.failedSends = 0
	x.recordWrite(last)
}

// shouldMoveStream reports that it is worth having another runner go on with a stream, since its own waits for its requests to end before it
// loads weights: it takes nothing new meanwhile.
func (a *attempt) shouldMoveStream(now time.Time) bool {
	x := a.exchange
	if !x.route.Resumable || x.lastEvent == "" || x.deadline.Sub(now) < x.route.TargetLatency {
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

// abortAnswer ends an answer that cannot be finished by cutting the connection, so that it cannot be taken for a whole one.
func (g *Gateway) abortAnswer(x *exchange, t *target, cause error) {
	g.Log.Error(cause, "answer cut", "decision", "cut", "request", x.wire.ID, "runner", t.view.ID, "after", time.Since(x.arrived).String())
	g.Metrics.Request("unknown", "cut")
	panic(http.ErrAbortHandler)
}

// recordAnswered records a request that has its whole answer.
func (a *attempt) recordAnswered() {
	g, x, t, status := a.gateway, a.exchange, a.target, a.answer.Response.StatusCode
	if a.answer.Framed() { // any other may have ended with its runner
		g.clearSuspicion(x)
	}
	took := time.Since(x.arrived)
	g.Log.Info("answered", "decision", "done", "request", x.wire.ID, "route", x.route.Name, "runner", t.view.ID, "status", status, "sends", x.sends.sent(),
		"first", x.timeToFirstEvent().String(), "waited", x.firstTokenWait.String(), "weights", t.weights, "took", took.String(), "buffered", x.buffered, "config", x.config.Version)
	if status < minFailureStatus {
		g.answerTimes.add(x.route.Name, took)
	}
	g.Metrics.Request("answered", strings.ToLower(x.route.Kind.String()))
	g.Metrics.Step(x.route.Kind.String(), took)
}

func (x *exchange) timeToFirstEvent() time.Duration {
	if x.firstEventAt.IsZero() {
		return 0
	}
	return x.firstEventAt.Sub(x.arrived)
}
