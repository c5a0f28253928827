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
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
	pathModels     = "/v1/models"
	pathTickets    = "/v1/tickets/:service"
	pathServices   = "/services/:service/*path"
	notReadyRetry  = 2 * time.Second
	leavingRetry   = time.Second
)

// servicesMethods are the methods that calls to plain services may use.
var servicesMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func (e *Entry) routes() http.Handler {
	router := httprouter.New()
	router.POST(pathChat, e.prompt)
	router.POST(pathCompletion, e.prompt)
	router.GET(pathModels, e.models)
	router.POST(pathTickets, e.ticket)
	for _, method := range servicesMethods {
		router.Handle(method, pathServices, e.service)
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(e.closing(w), rillreach.NotRun(rillreach.ReasonUnknownPath, "no such path: "+r.URL.Path))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(e.closing(w), rillreach.NotRun(rillreach.ReasonMethodNotAllowed, "path does not take "+r.Method))
	})
	return router
}

func (e *Entry) prompt(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.run(w, r, e.chain, func(*rillreach.Request) {})
}

func (e *Entry) service(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	e.run(w, r, e.chain, func(req *rillreach.Request) {
		req.Service = rillreach.ServiceID(p.ByName("service"))
		req.Path = p.ByName("path")
	})
}

func (e *Entry) ticket(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	e.run(w, r, e.mint, func(req *rillreach.Request) {
		req.Service = rillreach.ServiceID(p.ByName("service"))
	})
}

// run reads a request and runs it through a chain.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, chain *filter.Chain, set func(*rillreach.Request)) {
	e.running.Add()
	defer e.running.Done()
	ctx, unbind := e.running.Bind(r.Context())
	defer unbind()
	x := &rillreach.Exchange{Writer: e.closing(w), ArrivedAt: e.Node.Clock.Now()}
	x.Request = requestOf(r)
	set(&x.Request)
	w.Header().Set(rillreach.HeaderRequestID, string(x.Request.ID))
	if refusal := e.read(ctx, w, r, x); refusal != nil {
		writeRefusal(x.Writer, filter.DowngradeNotRun(x.Request, refusal))
		return
	}
	refusal := chain.Run(ctx, x)
	e.observe(x, refusal)
	if refusal != nil {
		end(x, refusal)
	}
}

// observe counts how a request ended.
func (e *Entry) observe(x *rillreach.Exchange, refusal *rillreach.Refusal) {
	if !x.ResponseStartedAt.IsZero() {
		e.Node.Metrics.RecordFirstToken(x.ResponseStartedAt.Sub(x.ArrivedAt))
	}
	if refusal != nil {
		e.Node.Metrics.CountRequest(string(refusal.Outcome), string(refusal.Reason))
		return
	}
	e.Node.Metrics.CountRequest(answeredOutcome, "")
}

const answeredOutcome = "answered"

// read takes the body in, if the entry takes requests at all.
func (e *Entry) read(ctx context.Context, w http.ResponseWriter, r *http.Request, x *rillreach.Exchange) *rillreach.Refusal {
	if e.Node.Leaving() {
		return leaving()
	}
	if !e.Node.Ready() {
		return rillreach.NotRun(rillreach.ReasonNotReady, "entry does not know the table yet").WithRetryAfter(notReadyRetry)
	}
	body, err := e.readBody(ctx, w, r)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return rillreach.NotRun(rillreach.ReasonTooLarge, "body is larger than the limit")
	case err != nil && errors.Is(context.Cause(ctx), errEnding):
		return leaving()
	case err != nil:
		return rillreach.NotRun(rillreach.ReasonBadRequest, "body could not be read")
	}
	x.Request.Body = body
	return nil
}

func leaving() *rillreach.Refusal {
	return rillreach.NotRun(rillreach.ReasonLeaving, "entry is leaving").WithRetryAfter(leavingRetry)
}

// readBody reads the body, for bodyTimeout at the longest, or until the request is given up.
func (e *Entry) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	until := func(deadline time.Time) {
		if err := control.SetReadDeadline(deadline); err != nil {
			e.Node.Log.V(1).Info("no read deadline", "cause", err.Error())
		}
	}
	until(time.Now().Add(bodyTimeout))
	stop := context.AfterFunc(ctx, func() { until(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.MaxBody))
	if stop() && err == nil {
		until(time.Time{})
	}
	return body, err
}

func requestOf(r *http.Request) rillreach.Request {
	return rillreach.Request{
		ID:             rillreach.RequestID(uuid.NewString()),
		Method:         r.Method,
		Path:           r.URL.Path,
		Query:          r.URL.RawQuery,
		Header:         passedHeader(r.Header),
		IdempotencyKey: r.Header.Get(rillreach.HeaderIdempotencyKey),
		Ticket:         r.Header.Get(rillreach.HeaderTicket),
	}
}

// notPassed are the headers of one connection, and those that say who the caller is on its way.
var notPassed = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Accept-Encoding", "Expect", "Cookie",
}

func passedHeader(header http.Header) http.Header {
	passed := header.Clone()
	for _, named := range strings.Split(header.Get("Connection"), ",") {
		passed.Del(strings.TrimSpace(named))
	}
	for _, name := range notPassed {
		passed.Del(name)
	}
	return passed
}

// ticketStep answers with a ticket for one later request.
type ticketStep struct {
	dispatch *dispatch.Filter
}

// Name is the step's name.
func (ticketStep) Name() string { return "ticket" }

// Run mints the ticket.
func (s ticketStep) Run(_ context.Context, x *rillreach.Exchange) error {
	m, err := s.dispatch.ChooseAgent(x)
	if err != nil {
		return err
	}
	text, err := s.dispatch.IssueTicket(x.Request.Account, x.Request.Service, m)
	if err != nil {
		return err
	}
	writeJSON(x.Writer, http.StatusCreated, ticketAnswer{Ticket: text, ExpiresIn: dispatch.TicketLifetime.Seconds()})
	return nil
}

type ticketAnswer struct {
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
