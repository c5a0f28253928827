package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/bounded"
	"github.com/rillreach/rillreach/responseclass"
)

const (
	// maxBufferedAnswer is the largest answer, in bytes, that is buffered until it is complete.
	maxBufferedAnswer = 256 << 10
	// relayBufferSize is the maximum size of one read from a stream, in bytes.
	relayBufferSize = 4 << 10
)

// relay forwards the runner's answer to the caller, and reports whether the request is finished.
func (a *attempt) relay() bool {
	x, t := a.exchange, a.target
	if a.headers.Weights != 0 && x.wire.Prompt != nil {
		t.runner.SetWeights(x.wire.Prompt.Model, a.headers.Weights)
	}
	a.judgeStatus()
	if x.headSent && !a.canContinue() {
		x.reason = "resumed-elsewhere-refused"
		return false
	}
	if a.forwardsEvents() {
		return a.relayStream()
	}
	return a.relayBuffered()
}

// judgeStatus records whether the runner failed the request, once for each answer.
func (a *attempt) judgeStatus() {
	if a.judged {
		return
	}
	a.judged = true
	g, x, t, status := a.gateway, a.exchange, a.target, a.answer.Head.StatusCode
	failed := a.class == responseclass.Failed
	g.rollouts.recordAnswer(a, failed)
	// A runner that asks for backoff says itself for how long to send it no requests.
	if failed && a.headers.RetryAfter == 0 {
		failureRate := t.runner.RecordFailure(time.Now())
		g.Log.Info("runner failed the request", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID, "status", status, "failures", failureRate)
	}
}

// canContinue reports whether the answer can continue one that has begun.
func (a *attempt) canContinue() bool {
	return a.answer.Head.StatusCode == http.StatusOK && a.matchesPin(a.exchange.progress)
}

// forwardsEvents reports whether the answer's events are forwarded as they arrive.
func (a *attempt) forwardsEvents() bool {
	return a.isEventStream() && a.class != responseclass.Failed && !a.exchange.buffered
}

// isEventStream reports whether the route's answers are event streams.
func (a *attempt) isEventStream() bool { return a.exchange.isEventStream() }

// isEventStream reports whether the route's answers are event streams.
func (x *exchange) isEventStream() bool { return x.route.Kind == deployment.EventStream }

// relayBuffered buffers an answer until it is complete, so that one that breaks off can still be replaced. An answer for
// which there is no memory is forwarded as it arrives.
func (a *attempt) relayBuffered() bool {
	g, x, t := a.gateway, a.exchange, a.target
	answer := &bounded.Reader{From: a, Memory: &a.memory}
	_, err := a.body.ReadFrom(io.LimitReader(answer, maxBufferedAnswer+1-int64(a.body.Len())))
	body := a.body.Bytes()
	switch {
	case errors.Is(err, bounded.ErrNoMemory):
		g.Log.Info("answer forwarded before it is complete", "decision", "stream", "reason", "no-memory", "request", x.wire.ID, "buffered", len(body), "buffers", g.buffers.Used())
		return a.relayLarge(body)
	case err == nil && len(body) > maxBufferedAnswer:
		return a.relayLarge(body)
	}
	if errors.Is(err, errInterrupted) {
		return a.park()
	}
	if err != nil {
		return a.failRelay(errors.Wrap(err, "answer broke off"))
	}
	if a.class == responseclass.Failed && a.shouldRetryFailure() {
		return false
	}
	if a.class != responseclass.Failed {
		t.runner.RecordSuccess(time.Now())
	}
	a.pinStream()
	h := g.beginAnswer(x, a.answer)
	if a.answer.Framed() {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	g.writeHead(x, a.answer.Head.StatusCode)
	if _, err := x.writer.Write(body); err != nil {
		g.Log.Info("cannot write answer to caller", "decision", "drop", "request", x.wire.ID, "cause", err.Error())
		return true
	}
	a.recordAnswered()
	return true
}

// failRelay records that the answer broke off. It returns false: the request is not finished.
func (a *attempt) failRelay(cause error) bool {
	a.handleFailure(cause)
	return false
}

// shouldRetryFailure decides whether the request moves to another runner instead of returning this runner's failure.
func (a *attempt) shouldRetryFailure() bool {
	if !a.awaitHedge() && !a.mayTryAnother() {
		return false
	}
	a.exchange.maybeRan, a.exchange.reason = true, "runner-failed"
	return true
}

// mayTryAnother reports whether the request may be sent to another runner after this one.
func (a *attempt) mayTryAnother() bool {
	x := a.exchange
	return !x.route.AtMostOnce() && x.mayUseAnotherRunner() && a.requestCtx.Err() == nil && a.gateway.allowsRepeat(x)
}

// relayLarge forwards an answer that is too large to buffer. The prefix was already read.
func (a *attempt) relayLarge(prefix []byte) bool {
	g, x, t := a.gateway, a.exchange, a.target
	if !a.commit() {
		return a.park()
	}
	if !x.continuePastShutdown() {
		return a.failRelay(errShuttingDown)
	}
	a.pinStream()
	h := g.beginAnswer(x, a.answer)
	if length := a.answer.Head.ContentLength; length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	g.writeHead(x, a.answer.Head.StatusCode)
	_, err := x.writer.Write(prefix)
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

// recordCrashOnReadError records a crash if the answer could not be read to its end because the runner crashed.
func (a *attempt) recordCrashOnReadError() {
	if a.readErr != nil && a.classifyFailure(a.readErr) == causeRunnerEnded {
		a.recordCrash()
	}
}

// abortAnswer closes the connection of an answer that cannot be completed, so that the caller does not take it for a
// complete one.
func (g *Gateway) abortAnswer(x *exchange, t *target, cause error) {
	g.Log.Error(cause, "answer aborted", "decision", "cut", "request", x.wire.ID, "runner", t.view.ID, "after", time.Since(x.arrived).String())
	g.Metrics.CountRequest("unknown", "cut")
	panic(http.ErrAbortHandler)
}

// recordAnswered records that the request has its complete answer.
func (a *attempt) recordAnswered() {
	g, x, t, status := a.gateway, a.exchange, a.target, a.answer.Head.StatusCode
	g.clearSuspicion(x)
	took := time.Since(x.arrived)
	g.Log.Info("answered", "decision", "done", "request", x.wire.ID, "route", x.route.Name, "runner", t.view.ID, "status", status, "sends", x.sends.sendCount(),
		"first", x.timeToFirstEvent().String(), "waited", x.firstTokenWait.String(), "weights", t.weights, "took", took.String(), "buffered", x.buffered,
		"framing", a.answer.Framing(), "sealed", a.headers.Sealed, "eventCount", a.reader.response.Body.Events(), "config", x.config.Version)
	if a.class != responseclass.Failed {
		g.answerTimes.observe(x.route.Name, took)
	}
	g.Metrics.CountRequest("answered", strings.ToLower(x.route.Kind.String()))
	g.Metrics.RecordStep(x.route.Kind.String(), took)
}

func (x *exchange) timeToFirstEvent() time.Duration {
	if x.firstEventAt.IsZero() {
		return 0
	}
	return x.firstEventAt.Sub(x.arrived)
}
