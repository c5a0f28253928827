package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/filter"
	"github.com/rillreach/rillreach/filter/dispatch"
)

const (
	pathChat           = "/v1/chat/completions"
	pathCompletion     = "/v1/completions"
	pathModels         = "/v1/models"
	pathTickets        = "/v1/tickets/:service"
	pathServices       = "/services/:service/*path"
	notReadyRetryAfter = 2 * time.Second
	leavingRetryAfter  = time.Second
)

// serviceMethods are the methods that requests to plain services may use.
var serviceMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func (e *Entry) routes() http.Handler {
	router := httprouter.New()
	router.POST(pathChat, e.handlePrompt)
	router.POST(pathCompletion, e.handlePrompt)
	router.GET(pathModels, e.handleModels)
	router.POST(pathTickets, e.handleTicket)
	for _, method := range serviceMethods {
		router.Handle(method, pathServices, e.handleService)
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(e.withCloseOnLeaving(w), rillreach.NotRun(rillreach.ReasonUnknownPath, "no such path: "+r.URL.Path))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(e.withCloseOnLeaving(w), rillreach.NotRun(rillreach.ReasonMethodNotAllowed, "path does not take "+r.Method))
	})
	return router
}

func (e *Entry) handlePrompt(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.runChain(w, r, e.chain, func(*rillreach.Request) {})
}

func (e *Entry) handleService(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	e.runChain(w, r, e.chain, func(req *rillreach.Request) {
		req.Service = rillreach.ServiceID(p.ByName("service"))
		req.Path = p.ByName("path")
	})
}

func (e *Entry) handleTicket(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	e.runChain(w, r, e.ticketChain, func(req *rillreach.Request) {
		req.Service = rillreach.ServiceID(p.ByName("service"))
	})
}

// runChain receives a request, passes it through a chain of filters and sends any refusal to the caller.
func (e *Entry) runChain(w http.ResponseWriter, r *http.Request, chain *filter.Chain, setFields func(*rillreach.Request)) {
	e.running.Add()
	defer e.running.Done()
	ctx, done := e.running.DeriveContext(r.Context())
	defer done()
	x := &rillreach.Exchange{Writer: e.withCloseOnLeaving(w), ArrivedAt: e.Node.Clock.Now()}
	x.Request = newRequest(r)
	setFields(&x.Request)
	w.Header().Set(rillreach.HeaderRequestID, string(x.Request.ID))
	if refusal := e.receive(ctx, w, r, x); refusal != nil {
		writeRefusal(x.Writer, filter.DowngradeNotRun(x.Request, refusal))
		return
	}
	refusal := chain.Run(ctx, x)
	e.recordMetrics(x, refusal)
	if refusal != nil {
		finishWithRefusal(x, refusal)
	}
}

// recordMetrics records the outcome of a request and the time to the first token.
func (e *Entry) recordMetrics(x *rillreach.Exchange, refusal *rillreach.Refusal) {
	if !x.ResponseStartedAt.IsZero() {
		e.Node.Metrics.RecordFirstToken(x.ResponseStartedAt.Sub(x.ArrivedAt))
	}
	if refusal != nil {
		e.Node.Metrics.CountRequest(string(refusal.Outcome), string(refusal.Reason))
		return
	}
	e.Node.Metrics.CountRequest(outcomeAnswered, "")
}

const outcomeAnswered = "answered"

// receive reads the request body, unless the entry is leaving or not ready.
func (e *Entry) receive(ctx context.Context, w http.ResponseWriter, r *http.Request, x *rillreach.Exchange) *rillreach.Refusal {
	if e.Node.Leaving() {
		return leavingRefusal()
	}
	if !e.Node.Ready() {
		return rillreach.NotRun(rillreach.ReasonNotReady, "entry does not know the table yet").WithRetryAfter(notReadyRetryAfter)
	}
	body, err := e.readBody(ctx, w, r)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return rillreach.NotRun(rillreach.ReasonTooLarge, "body is larger than the limit")
	case err != nil && errors.Is(context.Cause(ctx), errGraceExpired):
		return leavingRefusal()
	case err != nil:
		return rillreach.NotRun(rillreach.ReasonBadRequest, "body could not be read")
	}
	x.Request.Body = body
	return nil
}

func leavingRefusal() *rillreach.Refusal {
	return rillreach.NotRun(rillreach.ReasonLeaving, "entry is leaving").WithRetryAfter(leavingRetryAfter)
}

// readBody reads the request body. It stops after bodyTimeout, or when the context ends.
func (e *Entry) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	setDeadline := func(deadline time.Time) {
		if err := controller.SetReadDeadline(deadline); err != nil {
			e.Node.Log.V(1).Info("failed to set the read deadline", "cause", err.Error())
		}
	}
	setDeadline(time.Now().Add(bodyTimeout))
	stop := context.AfterFunc(ctx, func() { setDeadline(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.MaxBody))
	if stop() && err == nil {
		setDeadline(time.Time{})
	}
	return body, err
}

func newRequest(r *http.Request) rillreach.Request {
	return rillreach.Request{
		ID:             rillreach.RequestID(uuid.NewString()),
		Method:         r.Method,
		Path:           r.URL.Path,
		Query:          r.URL.RawQuery,
		Header:         forwardedHeader(r.Header),
		IdempotencyKey: r.Header.Get(rillreach.HeaderIdempotencyKey),
		Ticket:         r.Header.Get(rillreach.HeaderTicket),
	}
}

// droppedHeaders are not forwarded: they apply to a single connection, or identify the caller.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Accept-Encoding", "Expect", "Cookie",
}

func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		forwarded.Del(strings.TrimSpace(name))
	}
	for _, name := range droppedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// ticketFilter responds with a ticket that allows one later request.
type ticketFilter struct {
	dispatch *dispatch.Filter
}

// Name returns the filter's name.
func (ticketFilter) Name() string { return "ticket" }

// Run issues the ticket.
func (f ticketFilter) Run(_ context.Context, x *rillreach.Exchange) error {
	agent, err := f.dispatch.ChooseAgent(x)
	if err != nil {
		return err
	}
	ticket, err := f.dispatch.IssueTicket(x.Request.Account, x.Request.Service, agent)
	if err != nil {
		return err
	}
	writeJSON(x.Writer, http.StatusCreated, ticketResponse{Ticket: ticket, ExpiresIn: dispatch.TicketLifetime.Seconds()})
	return nil
}

type ticketResponse struct {
	Ticket    string  `json:"ticket"`
	ExpiresIn float64 `json:"expires_in"`
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
