package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach/admission"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/roster"
)

const (
	// linePause is the least time between two looks at the waiting requests, which bounds what they cost.
	linePause = 5 * time.Millisecond
	// lineIdle is the longest time between two looks while requests wait, in case no report comes.
	lineIdle = 20 * time.Millisecond
	// mostBlocked is how many requests in a row may find no room before a look ends.
	mostBlocked = 8
)

// waitingRequest is one request that waits for room at an engine.
type waitingRequest struct {
	exchange *exchange
	request  admission.Request
	// decided is told once what becomes of it.
	decided chan decision
}

// decision is what became of a waiting request: a target, or why it has none.
type decision struct {
	target  *target
	verdict string
}

// line holds the requests that wait at this entry for room at a model engine.
type line struct {
	gateway *Gateway

	mu       sync.Mutex
	waiting  []*waitingRequest
	backlog  admission.RateEstimator
	late     admission.RateEstimator
	standing admission.StandingQueue
	// mostCold says that most engines were cold when requests were last decided on.
	mostCold bool
	wake     chan struct{}
}

func newLine(g *Gateway) *line {
	return &line{gateway: g, wake: make(chan struct{}, 1)}
}

// Name is the controller's name.
func (l *line) Name() string { return "admit-waiting" }

// Run admits waiting requests as room comes back, until the context ends.
func (l *line) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.await(ctx)
		l.look(time.Now())
		pause.For(ctx, linePause)
	}
	return nil
}

// await waits until the line is to be looked at; while nobody waits there, only a request that comes ends that.
func (l *line) await(ctx context.Context) {
	var idle <-chan time.Time
	if l.len() > 0 {
		timer := time.NewTimer(lineIdle)
		defer timer.Stop()
		idle = timer.C
	}
	select {
	case <-ctx.Done():
	case <-l.wake:
	case <-idle:
	}
}

// changed has the waiting requests looked at soon, since something is known anew of an engine. An entry before hundreds of engines hears of
// one some hundred times a second, and mostly nobody waits.
func (l *line) changed() {
	if l.len() == 0 {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// len is how many requests wait.
func (l *line) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// admit waits until the request may go to an engine, and says why where it may not.
func (l *line) admit(ctx context.Context, x *exchange) (*target, string) {
	w := &waitingRequest{exchange: x, request: l.gateway.admissionOf(x), decided: make(chan decision, 1)}
	if d, done := l.enter(w, time.Now()); done {
		return d.target, d.verdict
	}
	l.changed()
	select {
	case d := <-w.decided:
		return d.target, d.verdict
	case <-ctx.Done():
	}
	if l.leave(w) {
		return nil, verdictLeftQueue
	}
	d := <-w.decided // it was decided just now
	return d.target, d.verdict
}

// enter decides on a request that nobody waits before, or has it wait.
func (l *line) enter(w *waitingRequest, now time.Time) (decision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 || w.request.AnswerStarted {
		if d, done := l.decide(w, l.gateway.viewsAt(now), nil, l.drainTime(now), now); done {
			return d, true
		}
	}
	if d, done := l.shed(w, l.tokensBefore(w, now), now); done {
		return d, true
	}
	l.waiting = append(l.waiting, w)
	l.noteStanding(now)
	return decision{}, false
}

// tokensBefore is how many tokens the requests take that are to be admitted before this one.
func (l *line) tokensBefore(w *waitingRequest, now time.Time) int {
	sum := 0
	for _, other := range l.waiting {
		if admission.Compare(other.request, w.request, now) <= 0 {
			sum += other.request.Tokens
		}
	}
	return sum
}

// leave takes a request off the line; it reports whether that was still there.
func (l *line) leave(w *waitingRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	l.noteStanding(time.Now())
	return true
}

// look admits those that wait in their order. One that finds no room keeps the engine that has the most for itself, so that those
// behind it, which may be smaller, don't take room there as it comes back.
func (l *line) look(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.noteStanding(now)
	if len(l.waiting) == 0 {
		return
	}
	slices.SortStableFunc(l.waiting, func(a, b *waitingRequest) int { return admission.Compare(a.request, b.request, now) })
	claimed := map[*roster.Runner]bool{}
	views := l.gateway.viewsAt(now)
	drain := l.drainTime(now)
	blocked, before := 0, 0
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waitingRequest) bool {
		d, done := decision{}, false
		if blocked < mostBlocked {
			d, done = l.decide(w, views, claimed, drain, now)
		}
		if !done {
			d, done = l.shed(w, before, now)
		}
		if !done {
			blocked++
			before += w.request.Tokens
			return false
		}
		if d.target != nil {
			l.noteAdmitted(w, now)
		}
		w.decided <- d
		return true
	})
}

// decide admits a request, or ends its wait, with drain as the time to come back; it reports whether it did either. Claimed are the
// engines that requests before it keep, nil where nobody waits.
func (l *line) decide(w *waitingRequest, views *runnerViews, claimed map[*roster.Runner]bool, drain time.Duration, now time.Time) (decision, bool) {
	g, x := l.gateway, w.exchange
	o := g.options(x, views, now)
	switch {
	case len(o.views) > 0:
	case o.leftOut.endsInTime(w.request):
		return decision{}, false
	default:
		return decision{verdict: o.leftOut.refuse(x)}, true
	}
	l.mostCold = o.mostCold()
	choice, room := g.chooseWithRoom(x, o, roomQuery{claimed: claimed, senders: l.senders(claimed), idle: w.request.Deprioritized(now)}, now)
	switch {
	case choice.Index >= 0:
		t := g.assign(x, o, choice, now)
		if t == nil {
			return decision{}, false
		}
		*o.views[choice.Index] = t.runner.View(now) // the next request finds less room there
		return decision{target: t}, true
	case w.request.MissesDeadline(now):
		x.admissionWait = drain
		return decision{verdict: verdictNoRoom}, true
	case room >= 0 && claimed != nil:
		claimed[o.runners[room]] = true
	}
	return decision{}, false
}

// senders is how many entries are taken to send at the same time.
func (l *line) senders(claimed map[*roster.Runner]bool) int {
	if claimed == nil {
		return 1 // nobody waits here
	}
	return l.gateway.budgets.Entries()
}
