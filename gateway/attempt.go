package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/platform"
)

// attempt sends the request to one runner; it reports whether the request is done with.
func (g *Gateway) attempt(ctx context.Context, x *exchange) bool {
	t, verdict := g.target(ctx, x)
	if t == nil {
		x.reason = verdict
		x.exhausted = true
		return false
	}
	defer t.work.end()
	x.tried = append(x.tried, t.view.ID)
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	bound := g.boundSilence(x, t, cancel)
	defer bound.stop()
	deadline := g.boundStart(x, t, cancel)
	defer deadline.stop()
	heard := func() {
		deadline.stop()
		bound.heard()
		t.work.first()
	}
	x.call.Header = g.directions(x, t).Header(x.request.Header)
	var head platform.Answer
	answer, err := g.pool.Do(waiting, t.view.Address, g.maxConns(x), &x.call, func(resp *http.Response) bool {
		head = platform.DecodeAnswer(resp.StatusCode, resp.Header)
		return head.Request == x.wire.ID || head.Request == "" && x.wire.ID == ""
	})
	if err != nil {
		if !errors.Is(err, forward.ErrNotSent) {
			x.noteRunner(t.view.ID)
		}
		return g.failed(ctx, x, t, err)
	}
	defer answer.Close()
	answer.Rest = head.Rest
	x.noteRunner(t.view.ID)
	if head.NotRun {
		g.notRun(x, t, answer, head)
		return false
	}
	return g.relay(ctx, x, t, answer, head, heard)
}

// target finds a runner for the next attempt, or says why there is none.
func (g *Gateway) target(ctx context.Context, x *exchange) (*target, string) {
	if x.needsEngine() {
		return g.line.admit(ctx, x)
	}
	if t := g.choose(x, time.Now()); t != nil {
		return t, ""
	}
	return nil, verdictNoRunner
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
func (g *Gateway) failed(ctx context.Context, x *exchange, t *target, err error) bool {
	now := time.Now()
	notSent := errors.Is(err, forward.ErrNotSent)
	if !notSent {
		x.maybeRan = true
	}
	if t.cancelled.Load() {
		x.reason = errStartTooLate.Error()
		g.Log.Info("request cancelled before it began", "decision", "cancel", "request", x.wire.ID, "runner", t.view.ID, "weights", t.weights,
			"replacedFor", g.replacedFor(x, t.weights, now).String(), "notSent", notSent, "after", now.Sub(x.arrived).String())
		return false
	}
	x.reason = err.Error()
	callerLeft := x.request.Context().Err() != nil
	pause := time.Duration(0)
	if !callerLeft && !errors.Is(err, forward.ErrFull) {
		pause = t.runner.Strike(now)
		g.pool.Forget(t.view.Address)
	}
	g.Log.Info("attempt failed", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID, "notSent", notSent,
		"callerLeft", callerLeft, "timedOut", ctx.Err() != nil, "cause", err.Error(), "avoidedFor", pause.String(),
		"after", now.Sub(x.arrived).String())
	return false
}

// notRun judges a runner's word that it has not run the request.
func (g *Gateway) notRun(x *exchange, t *target, answer *forward.Answer, head platform.Answer) {
	x.reason = "runner-refused"
	g.Log.Info("runner refused", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID,
		"status", answer.Response.StatusCode, "otherRunner", head.OtherRunner, "answeredBy", head.Instance, "weights", head.Weights)
	switch {
	case head.OtherRunner && head.Instance != "" && head.Instance != t.view.ID:
		t.runner.Leaves() // another run has its address, so that this one is over, whatever the list says
		select {
		case g.restarted <- struct{}{}:
		default: // the list is going to be asked for already
		}
	case head.OtherRunner && x.wire.Prompt != nil:
		g.learnWeights(x, t, head)
	default:
		t.runner.Strike(time.Now())
	}
}

// learnWeights takes from a refusal that the runner has other weights than were expected.
func (g *Gateway) learnWeights(x *exchange, t *target, head platform.Answer) {
	version := head.Weights
	if version == 0 {
		named, _ := g.state.Weights(x.wire.Prompt.Model)
		version = named.Version
	}
	t.runner.SetWeights(x.wire.Prompt.Model, version)
	if len(x.runners) == 1 && x.sends == 1 {
		x.runners = nil // the same runner may be asked again for its own weights
	}
}
