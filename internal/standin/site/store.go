// Package site is a stand-in for the users' platform in tests: its object store, and runners that follow the
// published protocol, with faults on demand. It defines the names in its protocols itself, so that it does not repeat a
// mistake in the client.
package site

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the maximum number of objects in a list response. It is small so that tests cover several pages.
const pageSize = 3

// Store is the object store. NewStore creates one.
type Store struct {
	mu      sync.Mutex
	objects map[string]map[string]object
	events  []event
	// historyStart is the revision after which all events are retained. Watches from an earlier one get status 410.
	historyStart uint64
	revision     uint64
	// era starts at one and increments at each restore. eraHidden omits it from responses.
	era uint64
	// restoredRevision is the revision of the last snapshot restored.
	restoredRevision uint64
	// removedAt maps each object removed since the last restore to the revision of its removal.
	removedAt     map[objectKey]uint64
	eraHidden     bool
	failureStatus int
	changed       chan struct{}
	callCount     int
}

type object struct {
	Metadata metadata `json:"metadata"`
	Spec     any      `json:"spec"`
	Status   any      `json:"status"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Deleting bool   `json:"deleting"`
}

type event struct {
	kind    string
	Removed bool   `json:"gone"`
	Object  object `json:"object"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]map[string]object{}, changed: make(chan struct{}), era: 1, removedAt: map[objectKey]uint64{}}
}

// Put writes an object as an operator or a runner does, and returns its revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, spec)
}

// put writes an object. s.mu must be held.
func (s *Store) put(kind, name string, spec any) uint64 {
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.appendEvent(event{kind: kind, Object: o})
	return s.revision
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// remove removes an object. s.mu must be held.
func (s *Store) remove(kind, name string) {
	s.revision++
	o := s.objects[kind][name]
	o.Metadata.Revision = s.revision
	s.removedAt[objectKey{kind, name}] = s.revision
	delete(s.objects[kind], name)
	s.appendEvent(event{kind: kind, Removed: true, Object: o})
}

// DropHistory drops the event history, so that clients with an older position must list again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.historyStart = nil, s.revision
	s.notifyWatchers()
}

// FailWithStatus makes every call fail with the HTTP status; zero makes calls succeed again.
func (s *Store) FailWithStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureStatus = status
	s.notifyWatchers()
}

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

func (s *Store) appendEvent(e event) {
	s.events = append(s.events, e)
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.callCount++
	status := s.failureStatus
	s.mu.Unlock()
	s.setEraHeader(w)
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodPut:
		s.putStatus(w, r, kind, strings.TrimSuffix(name, "/status"))
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case hasName:
		s.get(w, kind, name)
	default:
		s.list(w, r, kind)
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

// putStatus replaces the status of an object, unless the object has another revision than the call names.
func (s *Store) putStatus(w http.ResponseWriter, r *http.Request, kind, name string) {
	var update object
	if err := json.NewDecoder(r.Body).Decode(&update); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case update.Metadata.Revision != 0 && update.Metadata.Revision != o.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
	default:
		s.revision++
		o.Metadata.Revision, o.Status = s.revision, update.Status
		s.objects[kind][name] = o
		s.appendEvent(event{kind: kind, Object: o})
	}
	writeJSON(w, o)
}

// Status returns the status of an object, or nil if it has none.
func (s *Store) Status(kind, name string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Status
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []object
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, map[string]any{"items": items, "more": more, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	era := s.currentEra()
	for {
		events, at, changed, status := s.eventsSince(kind, since)
		if s.currentEra() != era {
			panic(http.ErrAbortHandler) // a restore closes open watches
		}
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": []event{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(kind string, since uint64) (events []event, at uint64, changed chan struct{}, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failureStatus != 0 {
		return nil, 0, nil, s.failureStatus
	}
	if since < s.historyStart || since > s.revision {
		return nil, 0, nil, http.StatusGone
	}
	for _, e := range s.events {
		if e.kind == kind && e.Object.Metadata.Revision > since {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, 0
}

// InvalidJSON is the spec of an object that is sent as bytes that are not valid JSON.
type InvalidJSON struct{}

// invalidJSONPlaceholder is what InvalidJSON encodes to; writeJSON replaces it by invalidJSONBytes.
var (
	invalidJSONPlaceholder = []byte(`"@unreadable"`)
	invalidJSONBytes       = []byte("{\"service\": \xff\xfe, \x00")
)

// MarshalJSON returns a placeholder, because the encoder rejects bytes that are not valid JSON.
func (InvalidJSON) MarshalJSON() ([]byte, error) { return invalidJSONPlaceholder, nil }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(bytes.ReplaceAll(body, invalidJSONPlaceholder, invalidJSONBytes))
}
