package site

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Order is a request to load a version of the weights, as an engine receives it.
type Order struct {
	Version          uint64 `json:"version"`
	Holder           string `json:"holder"`
	FencingToken     uint64 `json:"fencing_token"`
	ExpectedRevision uint64 `json:"expected_revision"`
}

// Engine is a model engine: a runner that also has weights, serves reports, accepts orders and publishes the contents
// of its KV cache, which AddCachedPart fills. After an order it refuses requests that have not begun and lets running
// ones complete before it loads the weights. Exported fields must be set before Start.
type Engine struct {
	Runner
	// Model is the model served, Version the version of its weights, and LoadTime how long it takes to load another
	// version.
	Model    string
	Version  uint64
	LoadTime time.Duration
	// StartUnixMS is the engine's start time in Unix milliseconds, sent in its record and responses; zero omits it.
	StartUnixMS int64
	// OnOrder is called for each order received. If it returns true, the connection is closed without a response and the
	// order is executed after orderDelay.
	OnOrder func(Order) (dropResponse bool)
	// OnDelayedOrder executes an order that got no response. If nil, the engine that received the order accepts it.
	OnDelayedOrder func(Order)
	// QueueDelay returns how long a request waits before it begins. If nil, requests begin at once.
	QueueDelay func() time.Duration
	// RefusesRequests reports whether requests are currently refused. If nil, none are.
	RefusesRequests func() bool

	mu            sync.Mutex
	orderSequence uint64
	queued        int
	// running counts the running requests by request ID.
	running map[string]int
	// orderedVersion is the version to load once no request runs, zero without an order. drainStarted is closed when an
	// order is accepted.
	orderedVersion uint64
	drainStarted   chan struct{}
	// restarts counts the restarts; cacheEvents are the KV cache events since the last one.
	restarts    int
	cacheEvents [][]any
}

// orderDelay is the time from the arrival of an order that gets no response to its execution.
const orderDelay = 2 * time.Second

// Start starts the engine's HTTP server.
func (e *Engine) Start() {
	e.running, e.drainStarted = map[string]int{}, make(chan struct{})
	e.server = Serve(e.Host, e)
}

// LoadedVersion returns the version of the weights that are loaded.
func (e *Engine) LoadedVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Version
}

// ServeHTTP handles a request or a control call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.serveReport(w)
	case "/order":
		e.serveOrder(w, r)
	case "/kv-events":
		e.serveEvents(w, r)
	default:
		e.serveRequest(w, r)
	}
}

// Restart simulates a crash and a restart under the same ID, with a new start time, or none if it is zero. It cancels a
// load in progress.
func (e *Engine) Restart(startUnixMS int64) {
	e.mu.Lock()
	e.StartUnixMS, e.orderSequence, e.orderedVersion, e.cacheEvents = startUnixMS, 0, 0, nil
	e.running, e.drainStarted = map[string]int{}, make(chan struct{})
	e.restarts++
	e.mu.Unlock()
	e.server.CloseClientConnections()
}

// Record returns the engine's record in the object store.
func (e *Engine) Record(state string) map[string]any { return e.RecordAt(e.Address(), state) }

// RecordAt returns the engine's record in the object store, with the address at which other processes reach it.
func (e *Engine) RecordAt(address netip.AddrPort, state string) map[string]any {
	record := NewEngineRecord(address, state, e.LoadedVersion())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addStartTime(record)
	return record
}

// addStartTime adds the start time, if set, to the fields of a record or response. e.mu must be held.
func (e *Engine) addStartTime(fields map[string]any) {
	if e.StartUnixMS != 0 {
		fields["born"] = e.StartUnixMS
	}
}

// writeFields writes a JSON response with the fields and the start time. e.mu must be held.
func (e *Engine) writeFields(w http.ResponseWriter, status int, fields map[string]any) {
	e.addStartTime(fields)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (e *Engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []any{}
	for id, count := range e.running {
		for range count {
			runs = append(runs, []any{id, 0, 1, 0})
		}
	}
	e.writeFields(w, http.StatusOK, map[string]any{
		"models": []any{map[string]any{"name": e.Model, "version": e.Version}}, "sequence": e.orderSequence, "busy": e.orderedVersion != 0,
		"running": len(runs), "queued": e.queued, "kv_used": 0, "kv_total": 1000, "state": "ready",
		"clock_ms": time.Now().UnixMilli(), "runs": runs,
	})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
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
		time.AfterFunc(orderDelay, func() { e.executeDelayedOrder(o) })
		panic(http.ErrAbortHandler)
	}
	status := e.AcceptOrder(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeFields(w, status, map[string]any{"sequence": e.orderSequence})
}

func (e *Engine) executeDelayedOrder(o Order) {
	if e.OnDelayedOrder != nil {
		e.OnDelayedOrder(o)
		return
	}
	e.AcceptOrder(o)
}

// AcceptOrder accepts or rejects an order, and returns the HTTP status of the response.
func (e *Engine) AcceptOrder(o Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.Version >= o.Version:
		return http.StatusOK
	case e.orderedVersion != 0 || o.ExpectedRevision != e.orderSequence:
		return http.StatusConflict
	}
	e.orderSequence++
	e.orderedVersion = o.Version
	close(e.drainStarted)
	if len(e.running) == 0 {
		e.startLoading()
	}
	return http.StatusAccepted
}

// startLoading loads the ordered weights after LoadTime, unless the engine restarts first. e.mu must be held.
func (e *Engine) startLoading() {
	restarts := e.restarts
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.restarts != restarts {
			return
		}
		e.Version, e.orderedVersion, e.drainStarted = e.orderedVersion, 0, make(chan struct{})
	})
}

// serveRequest serves a request, unless it expects another version of the weights or the engine refuses it.
func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	version := strconv.FormatUint(e.Version, 10)
	e.mu.Unlock()
	w.Header().Set("Versions", version)
	if expectedVersion := r.Header.Get("Expect-Version"); expectedVersion != "" && expectedVersion != version {
		w.Header().Set("X-Rillreach-Attempt-Id", RequestID(r))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("X-Rillreach-Target-Instance") != e.ID {
		e.Runner.ServeHTTP(w, r)
		return
	}
	restarts, ok := e.beginRequest(r)
	if !ok {
		WriteNotExecuted(w, r)
		return
	}
	defer e.endRequest(RequestID(r), restarts)
	e.Runner.ServeHTTP(w, r)
}

// beginRequest waits in the queue and reports whether the request may begin. It also returns the number of restarts,
// for endRequest.
func (e *Engine) beginRequest(r *http.Request) (restarts int, ok bool) {
	if e.RefusesRequests != nil && e.RefusesRequests() {
		return 0, false
	}
	if e.QueueDelay != nil && !e.waitInQueue(r, e.QueueDelay()) {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orderedVersion != 0 {
		return 0, false
	}
	e.running[RequestID(r)]++
	return e.restarts, true
}

// waitInQueue waits for the duration. It returns false if an order is accepted or the caller disconnects first.
func (e *Engine) waitInQueue(r *http.Request, d time.Duration) bool {
	e.mu.Lock()
	drainStarted := e.drainStarted
	e.queued++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.queued--
	}()
	select {
	case <-time.After(d):
		return true
	case <-drainStarted:
	case <-r.Context().Done():
	}
	return false
}

// endRequest records the end of a request that began after the given number of restarts. If an order is pending, the
// end of the last request starts the load.
func (e *Engine) endRequest(id string, restarts int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarts != restarts {
		return
	}
	if e.running[id]--; e.running[id] == 0 {
		delete(e.running, id)
	}
	if e.orderedVersion != 0 && len(e.running) == 0 {
		e.startLoading()
	}
}
