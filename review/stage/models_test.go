//go:build review2

package stage

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engineCount is the number of runners with an agent, and loadTime how long new weights take a runner.
const (
	engineCount = 8
	// fencedCount is the number of runners that check fences.
	fencedCount = 16
	loadTime    = 760 * time.Millisecond
	// rolloutTime is how long the system has to bring all runners to a version (version_all_ms).
	rolloutTime = 14 * time.Second
)

// fenced makes the runners check fences, as where fencing_enforced is set.
var fenced atomic.Bool

// order is an order as a runner receives it.
type order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  uint64 `json:"version"`
	Mode     string `json:"mode"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fencing_token"`
	Sequence uint64 `json:"expected_revision"`
}

// engine is a model runner. It doesn't check fences (fencing_enforced is false) and runs no requests.
type engine struct {
	stage   *stage
	id      string
	address string
	born    int64

	mu       sync.Mutex
	models   map[string]uint64
	busy     bool
	sequence uint64
	// highest is the highest fence that the runner has got, and highestOrder the order that brought it.
	highest      uint64
	highestOrder order
	inversions   int
}

// startEngine starts a runner with the models at version 1, and its agent.
func (s *stage) startEngine(number int, models ...string) (*engine, error) {
	e := &engine{stage: s, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), address: s.address(2, number, runnerPort), born: time.Now().UnixMilli(), models: map[string]uint64{}}
	for _, model := range models {
		e.models[model] = 1
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, e) }()
	go s.keepRecord(e.id, func() (map[string]any, bool) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return map[string]any{
			"service": "e", "address": e.address, "zone": "z", "slots": 64, "state": "ready", "version": "v1", "cold_remaining_ms": 0, "born": e.born,
			"stage": "both", "models": e.listModels(),
		}, true
	})
	_, err = s.startAgent(number)
	return e, err
}

// listModels returns the models with their versions, in the same order each time. e.mu must be held.
func (e *engine) listModels() []any {
	list := []any{}
	for _, name := range slices.Backward(slices.Sorted(maps.Keys(e.models))) {
		list = append(list, map[string]any{"name": name, "version": e.models[name], "adapters": []any{}})
	}
	return list
}

// ServeHTTP handles the calls of an agent.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reply(w, http.StatusOK, map[string]any{
			"stage": "both", "models": e.listModels(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 41564, "handles": 0,
			"state": "ready", "runs": []any{}, "clock_ms": time.Now().UnixMilli(),
		})
	case "/kv-events":
		ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
		e.reply(w, http.StatusOK, map[string]any{"boot_epoch": e.born, "next_page_token": 0, "lost": false, "events": []any{}, "clock_ms": time.Now().UnixMilli()})
	case "/order":
		e.take(w, r)
	default:
		w.Header().Set("X-Rillreach-Instance-Id", e.id)
	}
}

func (e *engine) reply(w http.ResponseWriter, status int, fields map[string]any) {
	fields["born"] = e.born
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

// take handles an order, and judges its fence.
func (e *engine) take(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get("X-Rillreach-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.accept(o)
	e.stage.note("%s gets an order from %s: model %s, version %d, fence %d, expected sequence %d: %d", e.id, o.Holder, o.Model, o.Version, o.Fence, o.Sequence, status)
	if o.Fence < e.highest {
		e.inversions++
		e.stage.note("LOWER FENCE AFTER A HIGHER ONE: %s got fence %d (model %s, version %d) after fence %d (model %s, version %d)", e.id, o.Fence, o.Model, o.Version,
			e.highest, e.highestOrder.Model, e.highestOrder.Version)
	}
	if o.Fence > e.highest {
		e.highest, e.highestOrder = o.Fence, o
	}
	e.reply(w, status, map[string]any{"sequence": e.sequence})
}

// accept decides on an order and begins to carry it out. e.mu must be held.
func (e *engine) accept(o order) int {
	switch {
	case fenced.Load() && o.Fence < e.highest:
		return http.StatusPreconditionFailed
	case e.models[o.Model] == o.Version:
		return http.StatusOK
	case e.busy || o.Sequence != e.sequence:
		return http.StatusConflict
	}
	e.sequence++
	e.busy = true
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.models[o.Model], e.busy = o.Version, false
		e.stage.note("%s has version %d of %s", e.id, o.Version, o.Model)
	})
	return http.StatusAccepted
}

func (e *engine) has(model string, version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[model] == version
}

// putEngineConfig sends the configuration of a service of model runners.
func (s *stage) putEngineConfig(models ...string) {
	list := []any{}
	for _, model := range models {
		list = append(list, map[string]any{"name": model})
	}
	s.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-1", "host": hostName, "path_prefix": "/puxa400/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 300, "gap_aim_ms": 300, "priority": 0,
			"service": "e", "max_attempts": 2, "public": false, "resumable": true, "sticky_sessions": true,
		}},
		"services": []any{map[string]any{"name": "e", "max_connections": 360, "health_check": "/healthz", "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 41564, "kv_token_bytes": 18432, "link_mbps": 130000, "models": list,
		}}},
		"limits":  map[string]any{"max_body_bytes": 4194304, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "jeye930", "api_keys": []string{key}}},
	})
}

// name names the weights of a model, as the operator does.
func (s *stage) name(model string, version uint64) {
	revision := s.store.Put("versions", model, map[string]any{"model": model, "version": version})
	s.note("the operator names version %d of %s, revision %d", version, model, revision)
}

// startEngines starts runners with their agents, and an entry.
func (s *stage) startEngines(count int, models ...string) ([]*engine, error) {
	s.putEngineConfig(models...)
	for _, model := range models {
		s.name(model, 1)
	}
	var engines []*engine
	for number := range count {
		e, err := s.startEngine(number+1, models...)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if _, err := s.startEntry(1); err != nil {
		return nil, err
	}
	if err := s.awaitReady(1); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	return engines, nil
}

// awaitVersion waits until all runners have a version, and reports whether they have it in time.
func awaitVersion(engines []*engine, model string, version uint64) bool {
	for until := time.Now().Add(rolloutTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, e := range engines {
			if e.has(model, version) {
				count++
			}
		}
		if count == len(engines) {
			return true
		}
	}
	return false
}

// judgeFences reports whether a runner has got a lower fence after a higher one.
func (s *stage) judgeFences(engines []*engine) bool {
	total := 0
	for _, e := range engines {
		e.mu.Lock()
		total += e.inversions
		e.mu.Unlock()
	}
	s.note("orders with a lower fence after a higher one: %d", total)
	return total > 0
}

// playTwoModels names new versions of both models of a service. The disruption is that the second is named right after the
// first; without it, it is named once all runners have the first.
func playTwoModels(s *stage) (bool, error) {
	const first, second = "daka510000", "sefo220000"
	engines, err := s.startEngines(engineCount, first, second)
	if err != nil {
		return false, err
	}
	for version := uint64(2); version <= 4; version++ {
		s.name(first, version)
		if !s.trouble && !awaitVersion(engines, first, version) {
			return false, errors.New("runners don't get the first model's version in time")
		}
		s.name(second, version)
		if !awaitVersion(engines, second, version) || !awaitVersion(engines, first, version) {
			s.note("runners don't get version %d of both models in time", version)
		}
	}
	return s.judgeFences(engines), nil
}

// playFenced names new versions of both models of a service whose runners check fences, one right after the other, or, without the
// disruption, the second once all runners have the first. No more than one runner, or a tenth, may hold an older version at the
// end, when 1.5 x version_ms and more have passed.
func playFenced(s *stage) (bool, error) {
	const first, second, version = "daka510000", "sefo220000", 2
	fenced.Store(true)
	engines, err := s.startEngines(fencedCount, first, second)
	if err != nil {
		return false, err
	}
	s.name(first, version)
	if !s.trouble && !awaitVersion(engines, first, version) {
		return false, errors.New("runners don't get the first model's version in time")
	}
	s.name(second, version)
	time.Sleep(2 * 10 * time.Second) // 2 x version_ms
	old := 0
	for _, e := range engines {
		if !e.has(first, version) || !e.has(second, version) {
			old++
			s.note("%s still holds an older version, 20 s after the new ones were named", e.id)
		}
	}
	s.note("%d of %d runners hold an older version", old, len(engines))
	return old > 1 && old*10 > len(engines), nil
}

// playRestored names a version of the model, restores the store from a copy that is five seconds old, and names the next
// version a second after the lost writes were written again.
func playRestored(s *stage) (bool, error) {
	const model = "daka510000"
	s.store.era.Store(0)
	engines, err := s.startEngines(engineCount, model)
	if err != nil {
		return false, err
	}
	backup := s.store.Snapshot()
	time.Sleep(4200 * time.Millisecond)
	s.name(model, 2)
	time.Sleep(800 * time.Millisecond)
	if s.trouble {
		lost := s.store.Snapshot()
		s.store.Restore(backup)
		s.store.era.Add(1)
		s.note("the store comes back from a copy that is five seconds old, with Store-Era %d", s.store.era.Load())
		time.Sleep(300 * time.Millisecond)
		s.store.ReapplyLost(lost)
		s.note("what the operator and the runners wrote is written again")
	}
	time.Sleep(time.Second)
	s.name(model, 3)
	if !awaitVersion(engines, model, 3) {
		return false, errors.New("runners don't get version 3 in time")
	}
	return s.judgeFences(engines), nil
}
