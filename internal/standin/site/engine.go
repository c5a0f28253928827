package site

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// Engine is a model engine: a runner with weights, reports, orders, and KV cache that holds what Keep says. An order has it refuse
// what has not begun and end what has, before it loads. Exported fields are set before Start.
type Engine struct {
	Runner
	// Model is what the engine serves, Version its weights at the start; LoadTime is how long others take.
	Model    string
	Version  uint64
	LoadTime time.Duration
	// StartUnixMS is the Unix millisecond of the engine's start, which all that it says of itself tells; zero tells none.
	StartUnixMS int64
	// OnOrder is told of each order that arrives; where it says so the order gets no answer and is carried out late.
	OnOrder func(Order) (lose bool)
	// OnDelayedOrder is given an order without an answer when it is carried out; without it the engine that got it takes it.
	OnDelayedOrder func(Order)
	// QueueDelay says how long a request waits before it begins; without it requests begin at once.
	QueueDelay func() time.Duration
	// RefusesRequests says whether requests are refused now that would begin otherwise; without it none are.
	RefusesRequests func() bool

	mu      sync.Mutex
	taken   uint64
	waiting int
	running map[string]int
	// ordered is the version that is loaded once nothing runs any more, zero without an order; taking it closes emptying.
	ordered  uint64
	emptying chan struct{}
	// starts counts the restarts, and kept are the events of the run.
	starts int
	kept   [][]any
}

// lateBy is how long an order without an answer takes to be carried out.
const lateBy = 2 * time.Second

// Start begins to listen.
func (e *Engine) Start() {
	e.running, e.emptying = map[string]int{}, make(chan struct{})
	e.server = httptest.NewServer(e)
}

// LoadedVersion are those that the engine has now.
func (e *Engine) LoadedVersion() uint64 {
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
		e.events(w, r)
	default:
		e.serve(w, r)
	}
}

// Restart has the engine crash and start again under its id, with another start, or none where that is zero. A load that was under
// way is no longer.
func (e *Engine) Restart(born int64) {
	e.mu.Lock()
	e.StartUnixMS, e.taken, e.ordered, e.kept = born, 0, 0, nil
	e.running, e.emptying = map[string]int{}, make(chan struct{})
	e.starts++
	e.mu.Unlock()
	e.server.CloseClientConnections()
}

// Record is the engine's record in the object store.
func (e *Engine) Record(state string) map[string]any { return e.RecordAt(e.Address(), state) }

// RecordAt is the engine's record in the object store, under the address at which others reach it.
func (e *Engine) RecordAt(address netip.AddrPort, state string) map[string]any {
	record := NewEngineRecord(address, state, e.LoadedVersion())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tellStart(record)
	return record
}

// tellStart adds the start to what the engine says of itself; the lock is held.
func (e *Engine) tellStart(fields map[string]any) {
	if e.StartUnixMS != 0 {
		fields["born"] = e.StartUnixMS
	}
}

// say answers with what the engine says of itself; the lock is held.
func (e *Engine) say(w http.ResponseWriter, status int, fields map[string]any) {
	e.tellStart(fields)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []any{}
	for id, count := range e.running {
		for range count {
			runs = append(runs, []any{id, 0, 1, 0})
		}
	}
	e.say(w, http.StatusOK, map[string]any{
		"models": []any{map[string]any{"name": e.Model, "version": e.Version}}, "sequence": e.taken, "busy": e.ordered != 0,
		"running": len(runs), "queued": e.waiting, "kv_used": 0, "kv_total": 1000, "state": "ready",
		"clock_ms": time.Now().UnixMilli(), "runs": runs,
	})
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
	if e.OnOrder != nil && e.OnOrder(o) {
		time.AfterFunc(lateBy, func() { e.carryOut(o) })
		panic(http.ErrAbortHandler)
	}
	status := e.AcceptOrder(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.say(w, status, map[string]any{"sequence": e.taken})
}

func (e *Engine) carryOut(o Order) {
	if e.OnDelayedOrder != nil {
		e.OnDelayedOrder(o)
		return
	}
	e.AcceptOrder(o)
}

// AcceptOrder takes an order, or says why not.
func (e *Engine) AcceptOrder(o Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.Version >= o.Version:
		return http.StatusOK
	case e.ordered != 0 || o.Expected != e.taken:
		return http.StatusConflict
	}
	e.taken++
	e.ordered = o.Version
	close(e.emptying)
	if len(e.running) == 0 {
		e.load()
	}
	return http.StatusAccepted
}

// load loads the ordered weights; e.mu is held.
func (e *Engine) load() {
	start := e.starts
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.starts != start {
			return
		}
		e.Version, e.ordered, e.emptying = e.ordered, 0, make(chan struct{})
	})
}

// serve takes a request, unless other weights are expected or weights are about to be loaded.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	version := strconv.FormatUint(e.Version, 10)
	e.mu.Unlock()
	w.Header().Set("Versions", version)
	if expected := r.Header.Get("Expect-Version"); expected != "" && expected != version {
		w.Header().Set("X-Rillreach-Attempt-Id", RequestID(r))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("X-Rillreach-Target-Instance") != e.ID {
		e.Runner.ServeHTTP(w, r)
		return
	}
	start, begun := e.begin(r)
	if !begun {
		WriteNotExecuted(w, r)
		return
	}
	defer e.end(RequestID(r), start)
	e.Runner.ServeHTTP(w, r)
}

// begin reports that a request begins, after its time in the queue, and in which run of the engine.
func (e *Engine) begin(r *http.Request) (start int, begun bool) {
	if e.RefusesRequests != nil && e.RefusesRequests() {
		return 0, false
	}
	if e.QueueDelay != nil && !e.queue(r, e.QueueDelay()) {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ordered != 0 {
		return 0, false
	}
	e.running[RequestID(r)]++
	return e.starts, true
}

// queue has a request wait; it reports whether it may begin then.
func (e *Engine) queue(r *http.Request, d time.Duration) bool {
	e.mu.Lock()
	emptying := e.emptying
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.waiting--
	}()
	select {
	case <-time.After(d):
		return true
	case <-emptying:
	case <-r.Context().Done():
	}
	return false
}

// end notes the end of a request that had begun in a run of the engine; the last one lets the ordered load begin.
func (e *Engine) end(id string, start int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.starts != start {
		return
	}
	if e.running[id]--; e.running[id] == 0 {
		delete(e.running, id)
	}
	if e.ordered != 0 && len(e.running) == 0 {
		e.load()
	}
}
