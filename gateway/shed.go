package gateway

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach/admission"
)

// minTTFT is the lower bound of the expected time to first token.
const minTTFT = 50 * time.Millisecond

// admissionRequest describes the request to package admission.
func (g *Gateway) admissionRequest(x *exchange) admission.Request {
	r := admission.Request{
		Arrived: x.arrived, TargetTime: x.arrived.Add(x.route.TargetLatency), Deadline: x.deadline, ExpectedTTFT: g.expectedTTFT(x),
		Tokens: x.wire.Prompt.Tokens + x.wire.Prompt.MaxOutputTokens, AnswerStarted: x.hasBegun(),
	}
	if idleTimeout := x.route.CallerIdleTimeout(); idleTimeout > 0 && !x.headSent {
		if idleDeadline := x.arrived.Add(idleTimeout); idleDeadline.Before(r.Deadline) {
			r.Deadline = idleDeadline
		}
	}
	return r
}

// expectedTTFT returns a time to first token that suffices for most requests of the route with this prompt size.
func (g *Gateway) expectedTTFT(x *exchange) time.Duration {
	estimator := g.firstTokenDelays.estimator(x.route.Name)
	return max(minTTFT, g.unsharedPrefillTime(x)+estimator.UpperBound(typicalDeviations))
}

// unsharedPrefillTime returns the time to process the part of the prompt that no other request shares.
func (g *Gateway) unsharedPrefillTime(x *exchange) time.Duration {
	return time.Duration(x.wire.Prompt.UnsharedTokens()) * g.ttft.model(x.service.Name).PerToken
}

// shed refuses a waiting request that will not be served, so that its caller is not held in vain, and reports whether
// it did. Such a request is one that will not reach the head of the queue before its caller's deadline or, in a
// standing queue, one that will miss its target: it would be overtaken by all requests that can meet theirs, including
// those still to come.
//
// A request whose answer has started is never shed. None are shed while most engines are cold either, because the
// observed admission rate is then that of the permits and rises once the slow start ends.
func (q *admissionQueue) shed(w *waitingRequest, tokensAhead int, now time.Time) (decision, bool) {
	if q.mostEnginesCold || w.request.AnswerStarted {
		return decision{}, false
	}
	wait, known := q.estimateWait(w, tokensAhead, now)
	tooLate := known && w.request.MissesDeadline(now.Add(wait))
	if !tooLate && !q.standingQueue.ShouldShed(now, w.request, wait) {
		return decision{}, false
	}
	w.exchange.admissionWait = max(wait, q.standingQueue.Age(now))
	return decision{verdict: verdictBacklog}, true
}

// estimateWait returns how long it takes to admit the requests ahead of this one. A deprioritized request only gets the
// capacity that the others leave.
func (q *admissionQueue) estimateWait(w *waitingRequest, tokensAhead int, now time.Time) (time.Duration, bool) {
	if w.request.Deprioritized(now) {
		if wait, known := q.lateAdmitRate.EstimateWait(now, tokensAhead); known {
			return wait, true
		}
	}
	return q.admitRate.EstimateWait(now, tokensAhead)
}

// recordAdmission records that a request was admitted.
func (q *admissionQueue) recordAdmission(w *waitingRequest, now time.Time) {
	q.admitRate.Record(now, w.request.Tokens)
	if w.request.MissesTarget(now) {
		q.lateAdmitRate.Record(now, w.request.Tokens)
	}
}

// observeStandingQueue records whether requests that can still meet their target are waiting. A wait for cold engines
// does not count. q.mu must be held.
func (q *admissionQueue) observeStandingQueue(now time.Time) {
	q.standingQueue.Observe(now, !q.mostEnginesCold && slices.ContainsFunc(q.waiting, func(w *waitingRequest) bool { return !w.request.MissesTarget(now) }))
}

// drainTime estimates how long it takes to admit all requests that wait now, or returns zero if that is not known.
func (q *admissionQueue) drainTime(now time.Time) time.Duration {
	tokens := 0
	for _, w := range q.waiting {
		tokens += w.request.Tokens
	}
	wait, _ := q.admitRate.EstimateWait(now, tokens)
	return wait
}
