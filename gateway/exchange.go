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
	call    forward.Request
	config  *deployment.Config
	route   *deployment.Route
	account *deployment.Account
	// regions are those in which the request may run and what it leaves may be kept, where limited says that not all are.
	regions []rillreach.RegionID
	limited bool
	service *deployment.Service
	arrived time.Time
	// ends is when the final answer is due.
	ends time.Time
	// sends are where the request went, maybeRan says that one of these may have run it.
	sends    *sendHistory
	maybeRan bool
	// exhausted says that no runner is left to be asked.
	exhausted bool
	// untaken is how many sends in a row no runner took, or could not be made.
	untaken int
	// waited is how long the last runner that began on the request took from the send to its first token.
	waited time.Duration
	// first is when the first event went to the caller.
	first time.Time
	// buffered says that nothing of the answer goes out before it is whole; keepPastEnd lets a stream go on past the time at which the entry
	// gives those without an answer their last one, and reports whether that was not too late.
	buffered    bool
	keepPastEnd func() bool
	// identity tells whether the request is one under which runners have ended.
	identity *identity
	// trial says that it is sent once though runners have ended under it.
	trial bool
	// reason is why the last attempt failed, comeBack how long the requests that wait take to be admitted, and notBefore when runners take requests
	// again, where that was why.
	reason    string
	comeBack  time.Duration
	notBefore time.Time

	*progress
}

// newExchange is a request that has just come.
func newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		writer: w, request: r, wire: platform.DecodeRequest(r.Header), arrived: time.Now(), sends: &sendHistory{}, identity: &identity{}, progress: &progress{},
	}
}

// progress is how much of its answer a caller has. Its own goroutine alone changes it, others may copy it.
type progress struct {
	mu sync.Mutex
	// began says that the head of an answer has gone to the caller, lastEvent is the last whole event that the caller has.
	began     bool
	lastEvent string
	// passedAt is when the last part of the answer went to the caller.
	passedAt time.Time
}

// fork is the request as a second attempt takes it; where both are sent is recorded in one place.
func (x *exchange) fork() *exchange {
	return &exchange{
		request: x.request, wire: x.wire, call: x.call, config: x.config, route: x.route, account: x.account, regions: x.regions, limited: x.limited, service: x.service,
		arrived: x.arrived, ends: x.ends, sends: x.sends, identity: x.identity, trial: x.trial, buffered: x.buffered, progress: x.snapshot(),
	}
}

func (p *progress) snapshot() *progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &progress{began: p.began, lastEvent: p.lastEvent, passedAt: p.passedAt}
}

// begin records that the head of an answer goes to the caller.
func (p *progress) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.began, p.passedAt = true, time.Now()
}

// passed records a part of the answer that went to the caller, with its last event where it has a whole one.
func (p *progress) passed(event string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passedAt = time.Now()
	if event != "" {
		p.lastEvent = event
	}
}

// lastPassed is when the last part of the answer went to the caller, its head where no other has.
func (p *progress) lastPassed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passedAt
}

// mayMove reports whether the route allows the request one more runner.
func (x *exchange) mayMove() bool { return x.runnersLeft() > 0 }

// runnersLeft is how many more runners the route allows the request. Once an answer has begun, a runner that has refused the rest of it doesn't count:
// nothing has run there, and no refusal can be passed on to the caller.
func (x *exchange) runnersLeft() int {
	if x.began {
		return x.route.MaxRunners - len(x.sends.mayHaveRun())
	}
	return x.route.MaxRunners - len(x.sends.runnersUsed())
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
