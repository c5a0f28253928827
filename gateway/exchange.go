package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/platform"
)

// exchange is one request of a caller and what has become of it so far.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	wire    platform.Request
	call    forward.Call
	config  *deployment.Config
	route   *deployment.Route
	account *deployment.Account
	// regions are those in which the request may run and what it leaves may be kept, where limited says that not all are.
	regions        []rillreach.RegionID
	regionsLimited bool
	service        *deployment.Service
	arrived        time.Time
	// deadline is when the final answer is due.
	deadline time.Time
	// sends are where the request went, maybeRan says that one of these may have run it.
	sends    *sends
	maybeRan bool
	// noRunnerLeft says that no runner is left to be asked.
	noRunnerLeft bool
	// failedSends is how many sends in a row no runner took, or could not be made.
	failedSends int
	// firstTokenWait is how long the last runner that began on the request took from the send to its first token.
	firstTokenWait time.Duration
	// firstEventAt is when the firstEventAt event went to the caller.
	firstEventAt time.Time
	// buffered says that nothing of the answer goes out before it is whole; keepPastEnd lets a stream go on past the time at which the entry
	// gives those without an answer their last one, and reports whether that was not too late.
	buffered             bool
	continuePastShutdown func() bool
	// lazyFingerprint tells whether the request is one under which runners have ended.
	lazyFingerprint *lazyFingerprint
	// trial says that it is sent once though runners have ended under it.
	trial bool
	// reason is why the last attempt failed, comeBack how long the requests that wait take to be admitted, and notBefore when runners take requests
	// again, where that was why.
	reason         string
	admissionWait  time.Duration
	retryNotBefore time.Time

	*progress
}

// newExchange is a request that has just come.
func newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		writer: w, request: r, wire: platform.DecodeRequest(r.Header), arrived: time.Now(), sends: &sends{}, lazyFingerprint: &lazyFingerprint{}, progress: &progress{},
	}
}

// progress is how much of its answer a caller has. Its own goroutine alone changes it, others may copy it.
type progress struct {
	mu sync.Mutex
	// headSent says that the head of an answer has gone to the caller, lastEvent is the last whole event that the caller has.
	headSent  bool
	lastEvent string
	// lastWriteAt is when the last part of the answer went to the caller.
	lastWriteAt time.Time
}

// fork is the request as a second attempt takes it; where both are sent is recorded in one place.
func (x *exchange) fork() *exchange {
	return &exchange{
		request: x.request, wire: x.wire, call: x.call, config: x.config, route: x.route, account: x.account, regions: x.regions, regionsLimited: x.regionsLimited, service: x.service,
		arrived: x.arrived, deadline: x.deadline, sends: x.sends, lazyFingerprint: x.lazyFingerprint, trial: x.trial, buffered: x.buffered, progress: x.snapshot(),
	}
}

func (p *progress) snapshot() *progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &progress{headSent: p.headSent, lastEvent: p.lastEvent, lastWriteAt: p.lastWriteAt}
}

// recordHead records that the head of an answer goes to the caller.
func (p *progress) recordHead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.headSent, p.lastWriteAt = true, time.Now()
}

// recordWrite records a part of the answer that went to the caller, with its last event where it has a whole one.
func (p *progress) recordWrite(event string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastWriteAt = time.Now()
	if event != "" {
		p.lastEvent = event
	}
}

// lastWrite is when the last part of the answer went to the caller, its head where no other has.
func (p *progress) lastWrite() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastWriteAt
}

// mayUseAnotherRunner reports whether the route allows the request one more runner.
func (x *exchange) mayUseAnotherRunner() bool { return x.runnersLeft() > 0 }

// runnersLeft is how many more runners the route allows the request. Once an answer has begun, a runner that has refused the rest of it doesn't count:
// nothing has run there, and no refusal can be passed on to the caller.
func (x *exchange) runnersLeft() int {
	if x.headSent {
		return x.route.MaxRunners - len(x.sends.mayHaveRun())
	}
	return x.route.MaxRunners - len(x.sends.used())
}

// needsEngine reports that the request has a prompt for a model engine.
func (x *exchange) needsEngine() bool {
	return x.wire.Prompt != nil && x.service.Engine != nil
}

func (x *exchange) priority() *int {
	p := x.route.Priority
	if x.account != nil && x.account.Priority != nil {
		p = *x.account.Priority
	}
	return &p
}

func (x *exchange) accountName() rillreach.AccountID {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}
