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
	// minAdmitInterval is the minimum time between two passes over the waiting requests, which bounds their cost.
	minAdmitInterval = 5 * time.Millisecond
	// maxAdmitInterval is the maximum time between two passes while requests wait, in case no report arrives.
	maxAdmitInterval = 20 * time.Millisecond
	// maxBlocked is the number of requests without room after which a pass admits no more.
	maxBlocked = 8
)

// waitingRequest is a request that waits for room at a model engine.
type waitingRequest struct {
	exchange *exchange
	request  admission.Request
	// decided receives the decision once.
	decided chan decision
}

// decision is the target of a waiting request, or the reason why it has none.
type decision struct {
	target  *target
	verdict string
}

// admissionQueue holds the requests that wait at this entry for room at a model engine.
type admissionQueue struct {
	gateway *Gateway

	mu            sync.Mutex
	waiting       []*waitingRequest
	admitRate     admission.RateEstimator
	lateAdmitRate admission.RateEstimator
	standingQueue admission.StandingQueue
	// mostEnginesCold is set if most engines were cold at the last decision.
	mostEnginesCold bool
	wake            chan struct{}
}

func newAdmissionQueue(g *Gateway) *admissionQueue {
	return &admissionQueue{gateway: g, wake: make(chan struct{}, 1)}
}

// Name returns the name of the controller.
func (q *admissionQueue) Name() string { return "admit-waiting" }

// Run admits waiting requests as engines become free, until the context ends.
func (q *admissionQueue) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		q.awaitWake(ctx)
		q.admitWaiting(time.Now())
		pause.For(ctx, minAdmitInterval)
	}
	return nil
}

// awaitWake waits until the next pass is due. While the queue is empty, only a new request ends the wait.
func (q *admissionQueue) awaitWake(ctx context.Context) {
	var timeout <-chan time.Time
	if q.len() > 0 {
		timer := time.NewTimer(maxAdmitInterval)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-ctx.Done():
	case <-q.wake:
	case <-timeout:
	}
}

// notify schedules a pass over the waiting requests because the state of an engine has changed. With hundreds of
// engines this is called several hundred times per second, mostly while the queue is empty.
func (q *admissionQueue) notify() {
	if q.len() == 0 {
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// len returns the number of waiting requests.
func (q *admissionQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// admit waits until the request may be sent to an engine, or returns the reason why it may not.
func (q *admissionQueue) admit(ctx context.Context, x *exchange) (*target, string) {
	w := &waitingRequest{exchange: x, request: q.gateway.admissionRequest(x), decided: make(chan decision, 1)}
	if d, done := q.enqueue(w, time.Now()); done {
		return d.target, d.verdict
	}
	q.notify()
	select {
	case d := <-w.decided:
		return d.target, d.verdict
	case <-ctx.Done():
	}
	if q.remove(w) {
		return nil, verdictLeftQueue
	}
	d := <-w.decided // it was decided at the same moment
	return d.target, d.verdict
}

// enqueue decides on the request at once if no others wait or its answer has started, and adds it to the queue
// otherwise. The second result is false if it was added.
func (q *admissionQueue) enqueue(w *waitingRequest, now time.Time) (decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 || w.request.AnswerStarted {
		if d, done := q.tryAdmit(w, q.gateway.viewsAt(now), nil, q.drainTime(now), now); done {
			return d, true
		}
	}
	if d, done := q.shed(w, q.tokensAhead(w, now), now); done {
		return d, true
	}
	q.waiting = append(q.waiting, w)
	q.observeStandingQueue(now)
	return decision{}, false
}

// tokensAhead returns the total tokens of the waiting requests that are admitted before this one.
func (q *admissionQueue) tokensAhead(w *waitingRequest, now time.Time) int {
	tokens := 0
	for _, other := range q.waiting {
		if admission.Compare(other.request, w.request, now) <= 0 {
			tokens += other.request.Tokens
		}
	}
	return tokens
}

// remove removes a request from the queue and reports whether it was there.
func (q *admissionQueue) remove(w *waitingRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.observeStandingQueue(time.Now())
	return true
}

// admitWaiting admits waiting requests in order. A request without room reserves the engine that has the most, so that
// later, smaller requests do not take the memory that becomes free there.
func (q *admissionQueue) admitWaiting(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.observeStandingQueue(now)
	if len(q.waiting) == 0 {
		return
	}
	slices.SortStableFunc(q.waiting, func(a, b *waitingRequest) int { return admission.Compare(a.request, b.request, now) })
	reserved := map[*roster.Runner]bool{}
	views := q.gateway.viewsAt(now)
	drainTime := q.drainTime(now)
	blocked, tokensAhead := 0, 0
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waitingRequest) bool {
		d, done := decision{}, false
		if blocked < maxBlocked {
			d, done = q.tryAdmit(w, views, reserved, drainTime, now)
		}
		if !done {
			d, done = q.shed(w, tokensAhead, now)
		}
		if !done {
			blocked++
			tokensAhead += w.request.Tokens
			return false
		}
		if d.target != nil {
			q.recordAdmission(w, now)
		}
		w.decided <- d
		return true
	})
}

// tryAdmit admits or refuses the request, or returns false if it has to wait. A refused caller is told to retry after
// drainTime. The engines in reserved are kept for requests ahead of this one; nil means that none wait.
func (q *admissionQueue) tryAdmit(w *waitingRequest, views *runnerViews, reserved map[*roster.Runner]bool, drainTime time.Duration, now time.Time) (decision, bool) {
	g, x := q.gateway, w.exchange
	o := g.findOptions(x, views, now)
	switch {
	case len(o.views) > 0:
	case o.exclusions.backoffEndsInTime(w.request):
		return decision{}, false
	default:
		return decision{verdict: o.exclusions.setRefusal(x)}, true
	}
	q.mostEnginesCold = o.mostlyCold()
	choice, mostFree := g.chooseWithRoom(x, o, roomQuery{reserved: reserved, senders: q.senders(x, reserved), idleOnly: w.request.Deprioritized(now)}, now)
	switch {
	case choice.Index >= 0:
		t := g.assign(x, o, choice, now)
		if t == nil {
			return decision{}, false
		}
		*o.views[choice.Index] = t.runner.View(now) // the next request finds less room there
		return decision{target: t}, true
	case w.request.MissesDeadline(now):
		x.admissionWait = drainTime
		return decision{verdict: verdictNoRoom}, true
	case mostFree >= 0 && reserved != nil:
		reserved[o.runners[mostFree]] = true
	}
	return decision{}, false
}

// senders returns the number of entries assumed to send at the same time.
func (q *admissionQueue) senders(x *exchange, reserved map[*roster.Runner]bool) int {
	if reserved == nil {
		return 1 // no requests wait here
	}
	return q.gateway.concurrentSenders(x.service.Name)
}
