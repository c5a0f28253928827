package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/internal/bounded"
	"github.com/rillreach/rillreach/pinning"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/retry"
)

// exchange is one request of a caller and the state of its handling.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	// wire is the request as decoded from the caller's headers, and call the request to the runner.
	wire platform.Request
	call forward.Request
	// memory is reserved for the request's body.
	memory  bounded.Reservation
	config  *deployment.Config
	route   *deployment.Route
	account *deployment.Account
	// regions are those in which the request may run and its KV cache may be kept, if regionsLimited is set.
	regions        []rillreach.RegionID
	regionsLimited bool
	service        *deployment.Service
	arrived        time.Time
	// deadline is when the final answer is due.
	deadline time.Time
	// sends records the runners that the request was sent to. maybeRan reports whether one of them may have run it.
	sends    *sendHistory
	maybeRan bool
	// noRunnerLeft reports whether there is no runner left to try.
	noRunnerLeft bool
	// failedSends is the number of consecutive sends that were refused or could not be made.
	failedSends int
	// firstTokenWait is the time from send to first token at the last runner that started the request.
	firstTokenWait time.Duration
	// firstEventAt is when the first event was sent to the caller.
	firstEventAt time.Time
	// pinRecorded reports whether recordPin was called, at the first event.
	pinRecorded bool
	// buffered means that the answer is held back until it is complete.
	buffered bool
	// resetUnlessComplete is set if the caller's connection ends with a reset until the answer is complete.
	resetUnlessComplete bool
	// continuePastShutdown lets a stream continue past the shutdown deadline. It returns false if the deadline has
	// already passed.
	continuePastShutdown func() bool
	// lazyFingerprint identifies the request in the records of crashes.
	lazyFingerprint *lazyFingerprint
	// lazyParts identifies the parts of the request's prompt there.
	lazyParts *lazyParts
	// trial means that the request is quarantined and sent once as a trial.
	trial bool
	// reason is why the last attempt failed. If the cause was a backlog, admissionWait is how long the queued requests
	// take to be admitted; if the cause was runners in backoff, retryNotBefore is when they accept requests again.
	reason         string
	admissionWait  time.Duration
	retryNotBefore time.Time

	// repeat is set aside in the retry budget for the next send, nil if none is, and repeatKind is why.
	repeat     *retry.Repeat
	repeatKind repeatKind

	*progress
}

// newExchange returns the exchange for a request that has just arrived.
func newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		writer: w, request: r, wire: platform.DecodeRequest(r.Header), arrived: time.Now(), sends: &sendHistory{}, lazyFingerprint: &lazyFingerprint{}, lazyParts: &lazyParts{}, progress: &progress{},
	}
}

// progress is how much of its answer a caller has received. Only the request's own goroutine changes it; other
// goroutines may copy it.
type progress struct {
	mu sync.Mutex
	// headSent reports whether the head of an answer was sent to the caller. lastEvent is the ID of the last complete
	// event that the caller has.
	headSent  bool
	lastEvent string
	// pin is the software version that the caller's events come from. It is zero while the caller has none.
	pin pinning.Pin
	// lastWriteAt is when the last part of the answer was sent to the caller.
	lastWriteAt time.Time
}

// fork returns a copy of the exchange for a second attempt. Both copies share the record of sends.
func (x *exchange) fork() *exchange {
	return &exchange{
		request: x.request, wire: x.wire, call: x.call, config: x.config, route: x.route, account: x.account, regions: x.regions, regionsLimited: x.regionsLimited, service: x.service,
		arrived: x.arrived, deadline: x.deadline, sends: x.sends, lazyFingerprint: x.lazyFingerprint, lazyParts: x.lazyParts, trial: x.trial, buffered: x.buffered, progress: x.snapshot(),
	}
}

func (p *progress) snapshot() *progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &progress{headSent: p.headSent, lastEvent: p.lastEvent, pin: p.pin, lastWriteAt: p.lastWriteAt}
}

// pinTo records the software version that the caller's events come from.
func (p *progress) pinTo(pin pinning.Pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pin = pin
}

// recordHead records that the head of an answer is being sent to the caller.
func (p *progress) recordHead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.headSent, p.lastWriteAt = true, time.Now()
}

// recordWrite records that a part of the answer was sent to the caller, and the ID of the last complete event in it, if
// any.
func (p *progress) recordWrite(event string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastWriteAt = time.Now()
	if event != "" {
		p.lastEvent = event
	}
}

// lastWrite returns when the last part of the answer, or its head, was sent to the caller.
func (p *progress) lastWrite() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastWriteAt
}

// hasBegun reports whether the caller has part of the answer, from this request or from the one whose stream it takes up.
// Only some runners can continue it then.
func (x *exchange) hasBegun() bool { return x.headSent || !x.pin.IsZero() }

// mayUseAnotherRunner reports whether the route allows the request to be sent once more.
func (x *exchange) mayUseAnotherRunner() bool {
	return x.runnersLeft() > 0 || len(x.sends.runnersToAskAgain()) > 0
}

// runnerRestriction returns the only runners that the request may be sent to because the route allows no further ones. It
// returns false if there is no such restriction.
func (x *exchange) runnerRestriction() ([]rillreach.InstanceID, bool) {
	again := x.sends.runnersToAskAgain()
	return again, len(again) > 0 && x.runnersLeft() <= 0
}

// runnersLeft returns how many more runners the route allows for the request. Each send that may have run counts, even
// if it is the second one to the same runner. Once an answer has begun, runners that refused to continue it do not
// count: nothing has run there, and the caller cannot be sent a refusal any more.
func (x *exchange) runnersLeft() int {
	left := x.route.MaxRunners - x.sends.runCount()
	if x.headSent {
		return left
	}
	return left - x.sends.refusingRunnerCount()
}

// needsEngine reports whether the request has a prompt for a model engine.
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
