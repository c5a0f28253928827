package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReceivedRequest is a request that a runner has received.
type ReceivedRequest struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   string
}

// HealthPath is the path of the runners' health checks.
const HealthPath = "/healthz"

// Runner is a stand-in for a runner that follows the published protocol, unless Handle replaces its response.
type Runner struct {
	// ID is the instance ID; requests for another one are refused.
	ID string
	// Host is the loopback address to listen on; unset means 127.0.0.1.
	Host netip.Addr
	// Handle writes the response instead of the default one. It must be set before the first request.
	Handle http.HandlerFunc
	// HealthDelay is how long the runner takes to answer a health check.
	HealthDelay time.Duration

	server   *httptest.Server
	mu       sync.Mutex
	received []ReceivedRequest
	// unframed holds the connections of responses that end with them, and crashed is set once they are closed.
	unframed map[net.Conn]struct{}
	crashed  bool
}

// Start starts the runner's HTTP server.
func (r *Runner) Start() {
	r.server = Serve(r.Host, r)
}

// Stop closes all connections and stops the server.
func (r *Runner) Stop() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// Crash closes the listener and all connections without waiting for running requests. A running request's handler may
// call it.
func (r *Runner) Crash() {
	_ = r.server.Listener.Close()
	r.closeUnframed()
	r.server.CloseClientConnections()
}

// Address returns the address on which the runner listens.
func (r *Runner) Address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(r.server.URL, "http://"))
}

// ReceivedRequests returns the requests received so far.
func (r *Runner) ReceivedRequests() []ReceivedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ReceivedRequest(nil), r.received...)
}

// ServeHTTP handles a request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if target := req.Header.Get("X-Rillreach-Target-Instance"); target != r.ID {
		w.Header().Set("X-Rillreach-Attempt-Id", req.Header.Get("X-Rillreach-Attempt-Id"))
		w.Header().Set("X-Rillreach-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == HealthPath {
		time.Sleep(r.HealthDelay)
		w.Header().Set("X-Rillreach-Instance-Id", r.ID)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.received = append(r.received, ReceivedRequest{Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header.Clone(), Body: string(body)})
	r.mu.Unlock()
	if r.Handle != nil {
		r.Handle(w, req)
		return
	}
	WriteResponse(w, req, r.ID+" says hello")
}

// SetSealHeaders sets the headers that match the response to the request and mark it as the runner's own.
func SetSealHeaders(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Rillreach-Attempt-Id", req.Header.Get("X-Rillreach-Attempt-Id"))
	w.Header().Set("X-Rillreach-Response-Seal", "sealed")
}

// WriteResponse writes a complete response.
func WriteResponse(w http.ResponseWriter, req *http.Request, body string) {
	SetSealHeaders(w, req)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// WriteNotExecuted responds that the request was not executed.
func WriteNotExecuted(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Rillreach-Attempt-Id", req.Header.Get("X-Rillreach-Attempt-Id"))
	w.Header().Set("X-Rillreach-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// StreamEvents streams the events after the request's Last-Event-Id, up to lastID. After event cutAfter it sends part
// of an event and closes the connection; zero means that it never does.
func StreamEvents(w http.ResponseWriter, req *http.Request, lastID, cutAfter int) {
	SetSealHeaders(w, req)
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	for id := from + 1; id <= lastID; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		if id == cutAfter {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// StreamVersionedEvents streams the events after the request's Last-Event-Id, up to lastID. Each names the software
// version.
func StreamVersionedEvents(w http.ResponseWriter, req *http.Request, software string, lastID int) {
	SetSealHeaders(w, req)
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	for id := from + 1; id <= lastID; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, id, software)
		_ = http.NewResponseController(w).Flush()
	}
}

// StreamEventsAtInterval streams the events up to lastID, one per interval, until the stream is complete or the
// caller disconnects.
func StreamEventsAtInterval(w http.ResponseWriter, req *http.Request, lastID int, interval time.Duration) {
	SetSealHeaders(w, req)
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for id := 1; id <= lastID; id++ {
		_, _ = io.WriteString(w, EventText(id))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// EventID returns the ID of the event with the given number.
func EventID(number int) string { return strconv.Itoa(number) }

// EventText returns the text of an event as StreamEvents and StreamEventsAtInterval send it.
func EventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }
