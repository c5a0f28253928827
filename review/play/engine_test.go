//go:build review

package play

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	engineService = "llm"
	// loadTime is how long an engine takes to load weights.
	loadTime = 760 * time.Millisecond
)

// order is an order that an engine has got, and its answer to it.
type order struct {
	At      time.Time
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fencing_token"`
	Revises *int   `json:"expected_revision"`
	Status  int
}

// multiEngine is a model runner that serves several models, as its report and its orders allow. An order concerns one model
// and leaves the others untouched.
type multiEngine struct {
	world  *world
	id     string
	server *httptest.Server

	mu       sync.Mutex
	versions map[string]uint64
	busy     bool
	sequence int
	orders   []order
	runs     sync.WaitGroup
	reports  int
	// cache is set if the engine keeps parts of prompts.
	cache *cacheLog
	// handle serves a prompt in place of a short stream, if it is set.
	handle func(e *multiEngine, w http.ResponseWriter, r *http.Request)
}

func (w *world) addEngine(number byte, models ...string) *multiEngine {
	e := &multiEngine{world: w, id: fmt.Sprintf("i-llm-%d", number), versions: map[string]uint64{}}
	for _, m := range models {
		e.versions[m] = 1
	}
	e.server = site.Serve(w.address(1, number), e)
	w.store.Put("servers", e.id, e.entry())
	return e
}

func (e *multiEngine) address() netip.AddrPort { return addressOf(e.server) }

// entry returns what the engine writes into the platform's store.
func (e *multiEngine) entry() map[string]any {
	return map[string]any{
		"service": engineService, "address": e.address().String(), "zone": "z1", "version": "1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "stage": "both", "models": e.models(),
	}
}

func (e *multiEngine) models() []any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.modelsLocked()
}

func (e *multiEngine) modelsLocked() []any {
	var models []any
	for name, version := range e.versions {
		models = append(models, map[string]any{"name": name, "version": version, "adapters": []any{}})
	}
	return models
}

// ServeHTTP handles a request or a call.
func (e *multiEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.takeOrder(w, r)
	case "/kv-events", "/kv-list":
		e.events(w, r)
	case site.HealthPath:
		w.Header().Set("X-Rillreach-Instance-Id", e.id)
	default:
		e.run(w, r)
	}
}

func (e *multiEngine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": e.modelsLocked(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 41564,
		"handles": 0, "state": "ready", "runs": []any{}, "clock_ms": time.Now().UnixMilli(),
	})
}

func (e *multiEngine) events(w http.ResponseWriter, r *http.Request) {
	if ms, err := strconv.Atoi(r.Header.Get("Wait-Ms")); err == nil {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"boot_epoch": 1, "next_page_token": 0, "lost": false, "events": []any{}, "held": []any{}, "clock_ms": time.Now().UnixMilli(),
	})
}

// takeOrder handles an order for one model.
func (e *multiEngine) takeOrder(w http.ResponseWriter, r *http.Request) {
	o := order{At: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Rillreach-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.versions[o.Model] >= o.Version:
		o.Status = http.StatusOK
	case e.busy || o.Revises != nil && *o.Revises != e.sequence:
		o.Status = http.StatusConflict
	default:
		o.Status = http.StatusAccepted
		e.busy = true
		e.sequence++
		go e.load(o)
	}
	e.orders = append(e.orders, o)
	e.world.record("%s gets an order: model %s version %d holder %s fencing_token %d expected_revision %d -> %d", e.id, o.Model, o.Version, o.Holder, o.Fence, *o.Revises, o.Status)
	writeJSON(w, o.Status, map[string]any{"sequence": e.sequence})
}

// load lets the runs end, and loads the ordered version then.
func (e *multiEngine) load(o order) {
	e.runs.Wait()
	time.Sleep(loadTime)
	e.finish(o)
}

// finish ends the load of an ordered version.
func (e *multiEngine) finish(o order) {
	e.mu.Lock()
	e.versions[o.Model], e.busy = o.Version, false
	e.mu.Unlock()
	e.world.record("%s has model %s version %d", e.id, o.Model, o.Version)
	e.world.store.Put("servers", e.id, e.entry())
}

func (e *multiEngine) loaded(model string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model]
}

// run serves a prompt.
func (e *multiEngine) run(w http.ResponseWriter, r *http.Request) {
	id, model := site.RequestID(r), r.Header.Get("X-Rillreach-Model")
	version := e.loaded(model)
	w.Header().Set("Versions", strconv.FormatUint(version, 10))
	w.Header().Set("X-Rillreach-Attempt-Id", id)
	expects := r.Header.Get("Expect-Version")
	if r.Header.Get("X-Rillreach-Target-Instance") != e.id || expects != "" && expects != strconv.FormatUint(version, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	busy := e.busy
	if !busy {
		e.runs.Add(1)
	}
	e.mu.Unlock()
	if busy {
		site.WriteNotExecuted(w, r)
		return
	}
	defer e.runs.Done()
	if e.handle != nil {
		e.handle(e, w, r)
		return
	}
	e.world.record("%s runs %s on model %s version %d", e.id, id, model, version)
	if e.cache != nil {
		e.cache.run(e.id, r)
	}
	site.StreamEvents(w, r, 3, 0)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
