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
	// announcedLimit is the limit that runners name, in requests a second, and limitAtLeast for how long they do at the least.
	announcedLimit   = 2.0
	minLimitDuration = 5 * time.Second
	// limitWindow, limitOver and limitSlack bound what comes within a limit: in any such time so many times what it allows, and a few more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// retryAfter is the rest that runners ask for, mostInRest how many requests may still come in it.
	retryAfter          = 2 * time.Second
	maxDuringRetryAfter = 2
	// noticeDelay is how long before a request its entry must have been told of a limit or a rest for it to count.
	noticeDelay = 500 * time.Millisecond
)

// backpressureControl is what a runner asks for in its answers, and in nothing else.
type backpressureControl struct {
	mu            sync.Mutex
	limitedUntil  time.Time
	refusingUntil time.Time
	leavingRunner string
}

// limitFor has the runner name a limitFor for a time, refuse has it turn requests away and ask for rest, and leave has one run of it say that it leaves.
func (p *backpressureControl) limitFor(d time.Duration) {
	p.update(func() { p.limitedUntil = time.Now().Add(d) })
}

func (p *backpressureControl) refuseFor(d time.Duration) {
	p.update(func() { p.refusingUntil = time.Now().Add(d) })
}

func (p *backpressureControl) leave(run string) { p.update(func() { p.leavingRunner = run }) }

func (p *backpressureControl) update(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
}

// arrival is a request as it came to a runner, with what its answer asked for.
type arrival struct {
	ID     string
	Runner string
	At     time.Time
	// Limited says that the answer named a limit, Leaving that the runner leaves, and Refused that it was turned away and its entry asked for rest.
	Limited bool
	Leaving bool
	Refused bool
}

// handle notes a request that came to a run of the runner, has its answer ask for what is asked for now, and reports whether it was turned away.
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
		site.Refuse(w, r)
	}
	return a.Refused
}

func (l *eventLog) recordArrival(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// injectBackpressure has a plain runner or an engine ask for less in its answers.
func (w *cluster) injectBackpressure(a action, p *runnerSlot, n *engine) {
	asks := &p.backpressure
	if a.Target%2 == 1 {
		asks = &n.backpressure
	}
	switch a.Fault {
	case faultRateLimit:
		asks.limitFor(minLimitDuration + a.Duration)
		w.schedule(minLimitDuration+a.Duration, func() {})
	case faultRetryAfter:
		asks.refuseFor(a.Duration)
		w.schedule(a.Duration+retryAfter, func() {})
	case faultLeaveInResponses:
		w.injectLeaveInResponses(a, p, n)
	}
}

// injectLeaveInResponses has a runner say in its answers alone that it leaves, and ends it some time later.
func (w *cluster) injectLeaveInResponses(a action, p *runnerSlot, n *engine) {
	ends := leaveWithin + time.Second + a.Duration
	if a.Target%2 == 1 {
		n.replaceMu.Lock()
		n.backpressure.leave(n.label())
		w.schedule(ends, func() { w.replaceEngine(n) })
		return
	}
	p.replaceMu.Lock()
	p.backpressure.leave(p.id())
	w.schedule(ends, func() { w.replaceRunner(p) })
}
