package gateway

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/completeness"
	"github.com/rillreach/rillreach/eventstream"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/responseclass"
)

// send sends the request and reads the headers of the answer. It reports whether the runner accepted the request. If the
// attempt is interrupted meanwhile, the next call goes on waiting.
func (a *attempt) send() bool {
	if a.accepted {
		return true
	}
	g, x := a.gateway, a.exchange
	if a.sentAt.IsZero() {
		var allowed bool
		if a.repeat, allowed = g.takeRepeat(x); !allowed {
			x.reason, x.noRunnerLeft = verdictBudgetExhausted, true
			return false
		}
		a.call = x.call
		a.call.Header = g.directions(x, a.target).Merge(x.request.Header)
		x.sends.recordSend(a.target.view.ID)
		a.continues = a.isContinuation()
		a.sentAt = time.Now()
	}
	err, ok := a.sending.Await(a.interrupted, func() error { return a.awaitHead(x) })
	if !ok {
		return a.park()
	}
	if err != nil {
		a.handleSendFailure(err)
		return false
	}
	return a.accept()
}

// isContinuation reports whether the runner is asked for the rest of a stream.
func (a *attempt) isContinuation() bool {
	x := a.exchange
	return x.route.Resumable && (a.position != "" || x.wire.LastEventID != "")
}

// accept classifies the answer by its headers, before any of it is forwarded or believed. It reports whether the answer is
// the runner's own.
func (a *attempt) accept() bool {
	a.class = responseclass.Classify(responseclass.Response{
		Status: a.answer.Head.StatusCode, Sealed: a.headers.Sealed, NotExecuted: a.headers.NotExecuted,
	})
	a.applyRunnerState(time.Now())
	if !a.headers.Misdirected {
		a.recordHeard(time.Now())
	}
	switch a.class {
	case responseclass.Refused:
		a.gateway.handleRefusal(a.exchange, a.target, a.answer, a.headers)
		return false
	case responseclass.Invalid:
		a.handleFailure(errors.Wrapf(errInvalidAnswer, "status %d", a.answer.Head.StatusCode))
		return false
	default:
		a.accepted = true
		return true
	}
}

// awaitHead sends the request and waits for the headers of the answer. It may go on while the attempt is given the exchange
// of another one.
func (a *attempt) awaitHead(x *exchange) error {
	g := a.gateway
	answer, err := g.pool.Do(a.ctx, a.target.view.Address, g.maxConns(x), &a.call, func(resp *http.Response) bool {
		a.headers = platform.DecodeResponse(resp.StatusCode, resp.Header)
		return a.headers.RequestID == x.wire.ID || a.headers.RequestID == "" && x.wire.ID == ""
	})
	if err != nil {
		return err
	}
	answer.KeepAliveTimeout = a.headers.KeepAliveTimeout
	a.answer = answer
	if !answer.Framed() && x.service.HealthPath != "" {
		a.follower = g.pool.Follow(answer, g.maxConns(x))
	}
	a.reader.start(answer, completeness.Body{
		EventStream: x.isEventStream() && hasEvents(answer.Head), Continues: a.continues, Framed: answer.Framed(),
	})
	return nil
}

// hasEvents reports whether the answer on a route of event streams consists of events, unlike an error message.
func hasEvents(head *http.Response) bool {
	contentType := head.Header.Get("Content-Type")
	return head.StatusCode == http.StatusOK && (contentType == "" || eventstream.HasMediaType(contentType))
}

// handleSendFailure records that no answer has begun.
func (a *attempt) handleSendFailure(err error) {
	if errors.Is(err, forward.ErrNotSent) {
		a.exchange.sends.recordOutcome(a.target.view.ID, sendNotMade)
		a.exchange.failedSends++
		if a.repeat != nil {
			a.repeat.Return(a.gateway.Clock.Now())
		}
	}
	a.handleFailure(err)
}

// maxConns returns how many connections this entry may open to one runner. Zero means no limit.
func (g *Gateway) maxConns(x *exchange) int {
	if x.service.MaxConns == 0 {
		return 0
	}
	return max(minConns, x.service.MaxConns/connShareDivisor)
}

const (
	// connShareDivisor is the number of shares into which a runner's connections are divided; each entry uses one.
	connShareDivisor = 6
	// minConns is the number of connections that an entry may open even if its share is smaller.
	minConns = 8
)

// handleRefusal records that the runner has stated that it did not run the request.
func (g *Gateway) handleRefusal(x *exchange, t *target, answer *forward.Response, headers platform.Response) {
	x.reason = "runner-refused"
	x.failedSends++
	x.sends.recordOutcome(t.view.ID, sendRefused)
	g.Log.Info("runner refused", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID,
		"status", answer.Head.StatusCode, "began", x.headSent, "rest", headers.RetryAfter.String(), "otherRunner", headers.Misdirected, "answeredBy", headers.Instance, "weights", headers.Weights)
	switch {
	case headers.Misdirected && headers.Instance != "" && headers.Instance != t.view.ID:
		x.sends.recordOutcome(t.view.ID, sendMisdirected)
		g.silentRuns.apply(t.runner, g.silentRuns.silent.Ended(time.Now(), t.view.Run()))
		t.runner.MarkLeaving() // another process has its address, so this one has ended even if it is still listed
		select {
		case g.refreshRunners <- struct{}{}:
		default: // a refresh of the list is already pending
		}
	case headers.Misdirected && x.wire.Prompt != nil:
		g.updateWeights(x, t, headers)
	case headers.RetryAfter == 0: // it gave no time after which to retry
		t.runner.Eject(time.Now())
	}
}

// updateWeights records the weights of a runner that refused the request because they are not the expected ones.
func (g *Gateway) updateWeights(x *exchange, t *target, headers platform.Response) {
	version := headers.Weights
	if version == 0 {
		desired, _ := g.state.DesiredWeights(x.wire.Prompt.Model)
		version = desired.Version
	}
	t.runner.SetWeights(x.wire.Prompt.Model, version)
	x.sends.recordOutdated(t.view.ID) // so that the runner can be tried again with its actual weights
}
