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
	// askedLimit is the limit that runners name, in requests a second, and limitAtLeast for how long they do at the least.
	askedLimit   = 2.0
	limitAtLeast = 5 * time.Second
	// limitWindow, limitOver and limitSlack bound what comes within a limit: in any such time so many times what it allows, and a few more.
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// askedRest is the rest that runners ask for, mostInRest how many requests may still come in it.
	askedRest  = 2 * time.Second
	mostInRest = 2
	// toldBefore is how long before a request its entry must have been told of a limit or a rest for it to count.
	toldBefore = 500 * time.Millisecond
)

// pressure is what a runner asks for in its answers, and in nothing else.
type pressure struct {
	mu      sync.Mutex
	limited time.Time
	refuses time.Time
	leaving string
}

// limit has the runner name a limit for a time, refuse has it turn requests away and ask for rest, and leave has one run of it say that it leaves.
func (p *pressure) limit(d time.Duration) { p.set(func() { p.limited = time.Now().Add(d) }) }

func (p *pressure) refuse(d time.Duration) { p.set(func() { p.refuses = time.Now().Add(d) }) }

func (p *pressure) leave(run string) { p.set(func() { p.leaving = run }) }

func (p *pressure) set(do func()) {
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

// take notes a request that came to a run of the runner, has its answer ask for what is asked for now, and reports whether it was turned away.
func (p *pressure) take(l *ledger, label string, w http.ResponseWriter, r *http.Request) (refused bool) {
	p.mu.Lock()
	now := time.Now()
	a := arrival{ID: site.RequestID(r), Runner: label, At: now, Limited: now.Before(p.limited), Leaving: p.leaving == label, Refused: now.Before(p.refuses)}
	p.mu.Unlock()
	l.arrive(a)
	if a.Limited {
		w.Header().Set("Server-Limit", fmt.Sprint(askedLimit))
	}
	if a.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if a.Refused {
		w.Header().Set("Retry-After", strconv.FormatFloat(askedRest.Seconds(), 'f', -1, 64))
		site.WriteNotExecuted(w, r)
	}
	return a.Refused
}

func (l *ledger) arrive(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// injectPressure has a plain runner or an engine ask for less in its answers.
func (w *world) injectPressure(a action, p *place, n *engine) {
	asks := &p.pressure
	if a.Which%2 == 1 {
		asks = &n.pressure
	}
	switch a.Fault {
	case faultLimit:
		asks.limit(limitAtLeast + a.For)
		w.later(limitAtLeast+a.For, func() {})
	case faultRest:
		asks.refuse(a.For)
		w.later(a.For+askedRest, func() {})
	case faultLeaveUntold:
		w.leaveUntold(a, p, n)
	}
}

// leaveUntold has a runner say in its answers alone that it leaves, and ends it some time later.
func (w *world) leaveUntold(a action, p *place, n *engine) {
	ends := leaveWithin + time.Second + a.For
	if a.Which%2 == 1 {
		n.replacing.Lock()
		n.pressure.leave(n.label())
		w.later(ends, func() { w.replaceEngine(n) })
		return
	}
	p.replacing.Lock()
	p.pressure.leave(p.id())
	w.later(ends, func() { w.replacePlace(p) })
}
