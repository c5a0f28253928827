package gateway

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach/admission"
)

// minTTFT is the least time from the send of a prompt to its first token.
const minTTFT = 50 * time.Millisecond

// admissionRequest is what the line has to know of the request.
func (g *Gateway) admissionRequest(x *exchange) admission.Request {
	r := admission.Request{
		Arrived: x.arrived, TargetTime: x.arrived.Add(x.route.TargetLatency), Deadline: x.ends, ExpectedTTFT: g.expectedTTFT(x),
		Tokens: x.wire.Prompt.Tokens + x.wire.Prompt.MaxOutputTokens, AnswerStarted: x.began,
	}
	if quiet := x.route.CallerIdleTimeout(); quiet > 0 && !x.began {
		if left := x.arrived.Add(quiet); left.Before(r.Deadline) {
			r.Deadline = left
		}
	}
	return r
}

// expectedTTFT is how long most requests of the route take from the send to the first token, for a prompt of this size.
func (g *Gateway) expectedTTFT(x *exchange) time.Duration {
	rest := g.firstWaits.estimator(x.route.Name)
	return max(minTTFT, g.unsharedPrefillTime(x)+rest.UpperBound(typicalDeviations))
}

// unsharedPrefillTime is how long engines read what no other request has in common with this one.
func (g *Gateway) unsharedPrefillTime(x *exchange) time.Duration {
	return time.Duration(x.wire.Prompt.UnsharedTokens()) * g.firsts.model(x.service.Name).PerToken
}

// shed ends the wait of a request that won't be served, so that its caller isn't held for nothing; it reports whether it did. That is one
// which those before it keep from an engine until its caller has gone, and under a backlog that lasts one that can't be in time: requests
// that can be go before it, also those that are yet to come.
//
// A request whose answer has begun waits to its end. While most engines are cold nobody is turned away so: what the waiting know of the rate is that of permits, and more is to be had once the slow start
// ends.
func (l *admissionQueue) shed(w *waitingRequest, before int, now time.Time) (decision, bool) {
	if l.mostEnginesCold || w.request.AnswerStarted {
		return decision{}, false
	}
	wait, known := l.estimateWait(w, before, now)
	lost := known && w.request.MissesDeadline(now.Add(wait))
	if !lost && !l.standingQueue.ShouldShed(now, w.request, wait) {
		return decision{}, false
	}
	w.exchange.comeBack = max(wait, l.standingQueue.Age(now))
	return decision{verdict: verdictBacklog}, true
}

// estimateWait is how long it takes until those before a request are admitted. A late one waits for what the others leave.
func (l *admissionQueue) estimateWait(w *waitingRequest, before int, now time.Time) (time.Duration, bool) {
	if w.request.Deprioritized(now) {
		if wait, known := l.lateAdmitRate.EstimateWait(now, before); known {
			return wait, true
		}
	}
	return l.admitRate.EstimateWait(now, before)
}

// recordAdmission records that a request was admitted.
func (l *admissionQueue) recordAdmission(w *waitingRequest, now time.Time) {
	l.admitRate.Record(now, w.request.Tokens)
	if w.request.MissesTarget(now) {
		l.lateAdmitRate.Record(now, w.request.Tokens)
	}
}

// observeStandingQueue records whether requests that can be in time wait; the lock is held. A wait for engines that are cold is no backlog.
func (l *admissionQueue) observeStandingQueue(now time.Time) {
	l.standingQueue.Observe(now, !l.mostEnginesCold && slices.ContainsFunc(l.waiting, func(w *waitingRequest) bool { return !w.request.MissesTarget(now) }))
}

// drainTime is how long it takes until all that wait now are admitted, as far as is known.
func (l *admissionQueue) drainTime(now time.Time) time.Duration {
	sum := 0
	for _, w := range l.waiting {
		sum += w.request.Tokens
	}
	wait, _ := l.admitRate.EstimateWait(now, sum)
	return wait
}
