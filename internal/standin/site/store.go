// Package site is a stand-in for the users' platform in tests: its object store, and runners that answer as published, with
// faults on demand. It writes the names of the wire by itself, so that it does not share a mistake with the client.
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

// pageSize is how many objects one answer to a list holds; small, so that tests meet more than one page.
const pageSize = 3

// Store is the object store; New makes one.
type Store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	events   []event
	floor    uint64
	revision uint64
	// era counts the copies that the store has come back from, and begins at one; eraHidden leaves it out of answers.
	era uint64
	// restored is the revision of the copy that the store has last come back from.
	restored uint64
	// removed are the revisions at which objects were removed since then.
	removed   map[objectKey]uint64
	eraHidden bool
	status    int
	changed   chan struct{}
	calls     int
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
	kind   string
	Gone   bool   `json:"gone"`
	Object object `json:"object"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]map[string]object{}, changed: make(chan struct{}), era: 1, removed: map[objectKey]uint64{}}
}

// Put writes an object as an operator or a runner does, and returns its revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, spec)
}

// put writes an object; the lock is held.
func (s *Store) put(kind, name string, spec any) uint64 {
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.tell(event{kind: kind, Object: o})
	return s.revision
}

// Remove takes an object away.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// remove takes an object away; the lock is held.
func (s *Store) remove(kind, name string) {
	s.revision++
	o := s.objects[kind][name]
	o.Metadata.Revision = s.revision
	s.removed[objectKey{kind, name}] = s.revision
	delete(s.objects[kind], name)
	s.tell(event{kind: kind, Gone: true, Object: o})
}

// DropHistory drops the history, so that watches from before have to list again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.floor = nil, s.revision
	s.wake()
}

// FailWithStatus has every call answered with the status; zero ends that.
func (s *Store) FailWithStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.wake()
}

// CallCount counts the calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) tell(e event) {
	s.events = append(s.events, e)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	status := s.status
	s.mu.Unlock()
	s.tellEra(w)
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	kind, name, one := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case one:
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
	wait, werr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || werr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	era := s.currentEra()
	for {
		events, at, changed, status := s.since(kind, since)
		if s.currentEra() != era {
			panic(http.ErrAbortHandler) // a watch that waits is cut
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

func (s *Store) since(kind string, since uint64) (events []event, at uint64, changed chan struct{}, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status != 0 {
		return nil, 0, nil, s.status
	}
	if since < s.floor || since > s.revision {
		return nil, 0, nil, http.StatusGone
	}
	for _, e := range s.events {
		if e.kind == kind && e.Object.Metadata.Revision > since {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, 0
}

// InvalidJSON is the spec of an object whose bytes are no JSON.
type InvalidJSON struct{}

// unreadableMark stands for such a spec until an answer is written, unreadableBytes are what is written then.
var (
	unreadableMark  = []byte(`"@unreadable"`)
	unreadableBytes = []byte("{\"service\": \xff\xfe, \x00")
)

// MarshalJSON gives the mark, since an encoder takes no bytes that are no JSON.
func (InvalidJSON) MarshalJSON() ([]byte, error) { return unreadableMark, nil }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(bytes.ReplaceAll(body, unreadableMark, unreadableBytes))
}
