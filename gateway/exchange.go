package gateway

import (
	"net/http"
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
	service *deployment.Service
	arrived time.Time
	// ends is when the final answer is due.
	ends time.Time
	// sends counts how often the request went out, runners where to; maybeRan says that one of these may have run it.
	sends int
	// tried are the runners that were asked, also those that could not be reached.
	tried    []rillreach.InstanceID
	runners  []rillreach.InstanceID
	maybeRan bool
	// exhausted says that no runner is left to be asked.
	exhausted bool
	// began says that the head of an answer has gone to the caller, first when the first event did.
	began bool
	first time.Time
	// waited is how long the last runner that began on the request took from the send to its first token.
	waited time.Duration
	// buffered says that nothing of the answer goes out before it is whole; keepPastEnd lets a stream go on past the time at which the entry
	// gives those without an answer their last one, and reports whether that was not too late.
	buffered    bool
	keepPastEnd func() bool
	// lastEvent is the last whole event that the caller has.
	lastEvent string
	// reason is why the last attempt failed, comeBack how long the requests that wait take to be admitted, where that was why.
	reason   string
	comeBack time.Duration
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
