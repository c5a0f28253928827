package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// announcedLimit is the rate limit in requests per second that runners announce, and minLimitDuration is the
	// minimum time for which they do.
	announcedLimit   = 2.0
	minLimitDuration = 5 * time.Second
	// Within any limitWindow, a runner may receive limitFactor times what its limit allows, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// retryAfter is the Retry-After that refusing runners send, and maxDuringRetryAfter is the number of requests that
	// may still arrive in that time.
	retryAfter          = 2 * time.Second
	maxDuringRetryAfter = 2
	// noticeDelay is the minimum time between an entry learning of a limit or a Retry-After and a request that counts
	// as a violation.
	noticeDelay = 500 * time.Millisecond
)

// backpressureControl holds the backpressure signals that a runner sends in its responses, and nowhere else.
type backpressureControl struct {
	mu            sync.Mutex
	limitedUntil  time.Time
	refusingUntil time.Time
	leavingRunner string
}

// limitFor makes the runner announce a rate limit for the given time. refuseFor makes it refuse requests with a
// Retry-After, and leave makes one run of it announce that it is leaving.
func (p *backpressureControl) limitFor(d time.Duration) {
	p.update(func() { p.limitedUntil = time.Now().Add(d) })
}

func (p *backpressureControl) refuseFor(d time.Duration) {
	p.update(func() { p.refusingUntil = time.Now().Add(d) })
}

func (p *backpressureControl) leave(run string) { p.update(func() { p.leavingRunner = run }) }

func (p *backpressureControl) update(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn()
}

// arrival is a request that reached a runner, with the backpressure signals in its response.
type arrival struct {
	ID     string
	Runner string
	At     time.Time
	// Limited reports whether the response announced a limit, Leaving whether it announced that the runner is leaving,
	// and Refused whether the request was refused with a Retry-After.
	Limited bool
	Leaving bool
	Refused bool
}

// handle records a request that reached a run of the runner and adds the current backpressure signals to its response.
// It reports whether the request was refused.
func (p *backpressureControl) handle(l *eventLog, label string, w http.ResponseWriter, r *http.Request) (refused bool) {
	p.mu.Lock()
	now := time.Now()
	a := arrival{ID: site.RequestID(r), Runner: label, At: now, Limited: now.Before(p.limitedUntil), Leaving: p.leavingRunner == label, Refused: now.Before(p.refusingUntil)}
	p.mu.Unlock()
	l.recordArrival(a)
	if a.Limited {
		w.Header().Set("Server-Limit", fmt.Sprint(announcedLimit))
	}
	if a.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if a.Refused {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
		site.WriteNotExecuted(w, r)
		return true
	}
	return l.refuseOverload(a, w, r)
}

func (l *eventLog) recordArrival(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// injectBackpressure makes a plain runner or an engine send backpressure signals in its responses.
func (c *cluster) injectBackpressure(a action, p *plainRunner, n *engine) {
	control := &p.backpressure
	if a.Target%2 == 1 {
		control = &n.backpressure
	}
	switch a.Fault {
	case faultRateLimit:
		control.limitFor(minLimitDuration + a.Duration)
		c.schedule(minLimitDuration+a.Duration, func() {})
	case faultRetryAfter:
		control.refuseFor(a.Duration)
		c.schedule(a.Duration+retryAfter, func() {})
	case faultLeaveInResponses:
		c.injectLeaveInResponses(a, p, n)
	}
}

// injectLeaveInResponses makes a runner announce only in its responses that it is leaving, and replaces it some time
// later.
func (c *cluster) injectLeaveInResponses(a action, p *plainRunner, n *engine) {
	endsAfter := leaveWithin + time.Second + a.Duration
	if a.Target%2 == 1 {
		n.replaceMu.Lock()
		n.backpressure.leave(n.label())
		c.schedule(endsAfter, func() { c.replaceEngine(n) })
		return
	}
	p.replaceMu.Lock()
	p.backpressure.leave(p.id())
	c.schedule(endsAfter, func() { c.replaceRunner(p) })
}
