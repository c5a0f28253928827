package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Order is an order as an engine got it.
type Order struct {
	Version  uint64 `json:"version"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fencing_token"`
	Expected uint64 `json:"expected_revision"`
}

// Engine is a model engine: a runner with weights, reports, orders, and no KV cache that anybody hears of. Exported fields
// are set before Start.
type Engine struct {
	Runner
	// Model is what the engine serves, Version its weights at the start; LoadTime is how long others take.
	Model    string
	Version  uint64
	LoadTime time.Duration
	// Ordered is told of each order that arrives; where it says so the order gets no answer and is carried out late.
	Ordered func(Order) (lose bool)

	mu      sync.Mutex
	taken   uint64
	loading bool
}

// lateBy is how long an order without an answer takes to be carried out.
const lateBy = 2 * time.Second

// Start begins to listen.
func (e *Engine) Start() { e.server = httptest.NewServer(e) }

// Weights are those that the engine has now.
func (e *Engine) Weights() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Version
}

// ServeHTTP takes one request or control call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case "/kv-events":
		e.nothingNew(w, r)
	default:
		e.serve(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"models":[{"name":%q,"version":%d}],"sequence":%d,"busy":%t,"running":0,"queued":0,"kv_used":0,"kv_total":1000,
		"state":"ready","clock_ms":%d,"runs":[]}`, e.Model, e.Version, e.taken, e.loading, time.Now().UnixMilli())
}

// nothingNew holds the question for as long as it may wait.
func (e *Engine) nothingNew(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil {
		wait = 0
	}
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(wait) * time.Millisecond):
		_, _ = fmt.Fprint(w, `{"boot_epoch":1,"next_page_token":0,"lost":false,"events":[]}`)
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Rillreach-Target-Instance") != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.Ordered != nil && e.Ordered(o) {
		time.AfterFunc(lateBy, func() { e.take(o) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(e.take(o))
}

// take carries an order out, or says why not.
func (e *Engine) take(o Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.Version >= o.Version:
		return http.StatusOK
	case e.loading || o.Expected != e.taken:
		return http.StatusConflict
	}
	e.taken++
	e.loading = true
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Version, e.loading = o.Version, false
	})
	return http.StatusAccepted
}

// serve takes a request, unless other weights are expected or weights are being loaded.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	version, loading := strconv.FormatUint(e.Version, 10), e.loading
	e.mu.Unlock()
	w.Header().Set("Versions", version)
	if expected := r.Header.Get("Expect-Version"); expected != "" && expected != version {
		w.Header().Set("X-Rillreach-Attempt-Id", RequestID(r))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if loading && r.Header.Get("X-Rillreach-Target-Instance") == e.ID {
		Refuse(w, r)
		return
	}
	e.Runner.ServeHTTP(w, r)
}
