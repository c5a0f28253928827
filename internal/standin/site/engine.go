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

// Engine is a model engine: a runner with weights, reports, orders, and KV cache that holds what Keep says. Exported fields are set
// before Start.
type Engine struct {
	Runner
	// Model is what the engine serves, Version its weights at the start; LoadTime is how long others take.
	Model    string
	Version  uint64
	LoadTime time.Duration
	// Born is what the engine says of its start, in Unix milliseconds; zero has it say nothing.
	Born int64
	// Ordered is told of each order that arrives; where it says so the order gets no answer and is carried out late.
	Ordered func(Order) (lose bool)

	mu      sync.Mutex
	taken   uint64
	loading bool
	// runs counts the restarts, and kept are the events of the run.
	runs int
	kept [][]any
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

// Restart has the engine crash and start again under its id, with another start, or none where that is zero. A load that was under
// way is no longer.
func (e *Engine) Restart(born int64) {
	e.mu.Lock()
	e.Born, e.taken, e.loading, e.kept = born, 0, false, nil
	e.runs++
	e.mu.Unlock()
	e.server.CloseClientConnections()
}

// Keep has the engine hold a part from now on.
func (e *Engine) Keep(salt, part string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept = append(e.kept, []any{len(e.kept) + 1, "+", salt, part, tokens, e.Model})
}

// Record is the engine's record.
func (e *Engine) Record(state string) any {
	record := EngineRecordOf(e.Address(), state, e.Weights())
	e.mu.Lock()
	defer e.mu.Unlock()
	if fields, ok := record.(map[string]any); ok && e.Born != 0 {
		fields["born"] = e.Born
	}
	return record
}

// ServeHTTP takes one request or control call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case "/kv-events":
		e.events(w, r)
	default:
		e.serve(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"models":[{"name":%q,"version":%d}],"sequence":%d,"busy":%t,"running":0,"queued":0,"kv_used":0,"kv_total":1000,
		"state":"ready","clock_ms":%d,"runs":[]%s}`, e.Model, e.Version, e.taken, e.loading, time.Now().UnixMilli(), e.bornField())
}

// bornField is the field that tells the start; the lock is held.
func (e *Engine) bornField() string {
	if e.Born == 0 {
		return ""
	}
	return fmt.Sprintf(`,"born":%d`, e.Born)
}

// lookForEvents is how often a question that waits is looked at.
const lookForEvents = 5 * time.Millisecond

// events answers once there is something after the position that the caller knows, or the question has waited for as long as it may.
func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil {
		wait = 0
	}
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if page := e.page(since); page != nil {
			writeJSON(w, page)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, e.page(-1))
			return
		case <-time.After(lookForEvents):
		}
	}
}

// page holds the events after a position, nil where there are none and nothing else is new; a negative position asks for none.
func (e *Engine) page(since int) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	if since == len(e.kept) {
		return nil
	}
	events := [][]any{}
	if since >= 0 && since < len(e.kept) {
		events = e.kept[since:]
	}
	page := map[string]any{"boot_epoch": e.runs + 1, "next_page_token": len(e.kept), "lost": false, "events": events}
	if e.Born != 0 {
		page["born"] = e.Born
	}
	return page
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
	status := e.take(o)
	w.WriteHeader(status)
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"sequence":%d%s}`, e.taken, e.bornField())
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
	run := e.runs
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs != run {
			return
		}
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
