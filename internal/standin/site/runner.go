package site

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReceivedRequest is one request that a runner has got.
type ReceivedRequest struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   string
}

// Runner is a runner that answers as published, unless its Handle says otherwise.
type Runner struct {
	// ID is the runner's.
	ID string
	// Handle answers a request in place of the usual answer; it is set before the first request.
	Handle http.HandlerFunc

	server *httptest.Server
	mu     sync.Mutex
	runs   []ReceivedRequest
}

// Start begins to listen.
func (r *Runner) Start() {
	r.server = httptest.NewServer(r)
}

// Stop ends the runner and every connection.
func (r *Runner) Stop() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// Crash ends the runner as a crash does: nobody listens any more, and all connections are closed. It may be called while a request runs.
func (r *Runner) Crash() {
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
}

// Address is where the runner listens.
func (r *Runner) Address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(r.server.URL, "http://"))
}

// ReceivedRequests are the requests so far.
func (r *Runner) ReceivedRequests() []ReceivedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ReceivedRequest(nil), r.runs...)
}

// ServeHTTP takes one request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if named := req.Header.Get("X-Rillreach-Target-Instance"); named != r.ID {
		w.Header().Set("X-Rillreach-Attempt-Id", req.Header.Get("X-Rillreach-Attempt-Id"))
		w.Header().Set("X-Rillreach-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, ReceivedRequest{Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header.Clone(), Body: string(body)})
	r.mu.Unlock()
	if r.Handle != nil {
		r.Handle(w, req)
		return
	}
	WriteResponse(w, req, r.ID+" says hello")
}

// SetSealHeaders sets what ties an answer to the request and marks it as a runner's own work.
func SetSealHeaders(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Rillreach-Attempt-Id", req.Header.Get("X-Rillreach-Attempt-Id"))
	w.Header().Set("X-Rillreach-Response-Seal", "sealed")
}

// WriteResponse gives a whole answer.
func WriteResponse(w http.ResponseWriter, req *http.Request, body string) {
	SetSealHeaders(w, req)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// WriteNotExecuted says that the request has not run.
func WriteNotExecuted(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Rillreach-Attempt-Id", req.Header.Get("X-Rillreach-Attempt-Id"))
	w.Header().Set("X-Rillreach-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// StreamEvents streams events with the ids after the one that the request names, up to the last, and breaks the connection off
// inside an event once cutAfter has been sent; zero never does.
func StreamEvents(w http.ResponseWriter, req *http.Request, last, cutAfter int) {
	SetSealHeaders(w, req)
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	for id := from + 1; id <= last; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		if id == cutAfter {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// StreamEventsAtInterval streams events with the ids up to the last, one at each tick, until the stream is whole or its caller has gone.
func StreamEventsAtInterval(w http.ResponseWriter, req *http.Request, last int, tick time.Duration) {
	SetSealHeaders(w, req)
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for id := 1; id <= last; id++ {
		_, _ = io.WriteString(w, EventText(id))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// EventID is the id of the event with the number.
func EventID(number int) string { return strconv.Itoa(number) }

// EventText is one event of a paced stream.
func EventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }
