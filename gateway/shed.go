package gateway

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach/admission"
)

// leastFirst is the least time from the send of a prompt to its first token.
const leastFirst = 50 * time.Millisecond

// admissionOf is what the line has to know of the request.
func (g *Gateway) admissionOf(x *exchange) admission.Request {
	r := admission.Request{
		Arrived: x.arrived, TargetTime: x.arrived.Add(x.route.TargetLatency), Deadline: x.deadline, ExpectedTTFT: g.usualFirst(x),
		Tokens: x.wire.Prompt.Tokens + x.wire.Prompt.MaxOutputTokens, AnswerStarted: x.headSent,
	}
	if quiet := x.route.CallerIdleTimeout(); quiet > 0 && !x.headSent {
		if left := x.arrived.Add(quiet); left.Before(r.Deadline) {
			r.Deadline = left
		}
	}
	return r
}

// usualFirst is how long most requests of the route take from the send to the first token, for a prompt of this size.
func (g *Gateway) usualFirst(x *exchange) time.Duration {
	rest := g.firstTokenDelays.of(x.route.Name)
	return max(leastFirst, g.ownReading(x)+rest.UpperBound(likelyDeviations))
}

// ownReading is how long engines read what no other request has in common with this one.
func (g *Gateway) ownReading(x *exchange) time.Duration {
	return time.Duration(x.wire.Prompt.UnsharedTokens()) * g.ttft.of(x.service.Name).PerToken
}

// shed ends the wait of a request that won't be served, so that its caller isn't held for nothing; it reports whether it did. That is one
// which those before it keep from an engine until its caller has gone, and under a backlog that lasts one that can't be in time: requests
// that can be go before it, also those that are yet to come.
//
// A request whose answer has begun waits to its end. While most engines are cold nobody is turned away so: what the waiting know of the rate is that of permits, and more is to be had once the slow start
// ends.
func (l *line) shed(w *waitingRequest, before int, now time.Time) (decision, bool) {
	if l.mostCold || w.request.AnswerStarted {
		return decision{}, false
	}
	wait, known := l.waitBehind(w, before, now)
	lost := known && w.request.MissesDeadline(now.Add(wait))
	if !lost && !l.standing.ShouldShed(now, w.request, wait) {
		return decision{}, false
	}
	w.exchange.admissionWait = max(wait, l.standing.Age(now))
	return decision{verdict: verdictBacklog}, true
}

// waitBehind is how long it takes until those before a request are admitted. A late one waits for what the others leave.
func (l *line) waitBehind(w *waitingRequest, before int, now time.Time) (time.Duration, bool) {
	if w.request.Deprioritized(now) {
		if wait, known := l.late.EstimateWait(now, before); known {
			return wait, true
		}
	}
	return l.backlog.EstimateWait(now, before)
}

// noteAdmitted records that a request was admitted.
func (l *line) noteAdmitted(w *waitingRequest, now time.Time) {
	l.backlog.Record(now, w.request.Tokens)
	if w.request.MissesTarget(now) {
		l.late.Record(now, w.request.Tokens)
	}
}

// noteStanding records whether requests that can be in time wait; the lock is held. A wait for engines that are cold is no backlog.
func (l *line) noteStanding(now time.Time) {
	l.standing.Observe(now, !l.mostCold && slices.ContainsFunc(l.waiting, func(w *waitingRequest) bool { return !w.request.MissesTarget(now) }))
}

// drainTime is how long it takes until all that wait now are admitted, as far as is known.
func (l *line) drainTime(now time.Time) time.Duration {
	sum := 0
	for _, w := range l.waiting {
		sum += w.request.Tokens
	}
	wait, _ := l.backlog.EstimateWait(now, sum)
	return wait
}
