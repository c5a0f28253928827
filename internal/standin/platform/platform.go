// Package platform is a stand-in for the platform's object API, with outages, delays and lost responses on demand.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/standin"
	client "github.com/rillreach/rillreach/objectstore"
)

// Faults are the faults that the platform simulates.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseResponses makes every write take effect but return an error.
	LoseResponses bool `json:"loseAnswers"`
}

// Counts are the numbers of calls since the start.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Server is the stand-in. New creates one.
type Server struct {
	mu       sync.Mutex
	objects  map[rillreach.ObjectKind]map[string]rillreach.Object
	version  uint64
	lastTime time.Time
	changed  chan struct{}
	faults   Faults
	counts   Counts
	router   *httprouter.Router
}

// New returns an empty platform.
func New() *Server {
	s := &Server{objects: map[rillreach.ObjectKind]map[string]rillreach.Object{}, changed: make(chan struct{}), version: 1}
	s.router = httprouter.New()
	s.router.GET(client.PathObjects+":kind", s.withFaults(s.list))
	s.router.GET(client.PathObjects+":kind/*name", s.withFaults(s.get))
	s.router.PUT(client.PathObjects+":kind/*name", s.withFaults(s.put))
	s.router.DELETE(client.PathObjects+":kind/*name", s.withFaults(s.put))
	s.router.PUT("/faults", s.setFaults)
	s.router.GET("/counts", s.getCounts)
	return s
}

// ServeHTTP handles a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Counts returns the numbers of calls since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) withFaults(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		if faults.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r, p)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	kind := rillreach.ObjectKind(p.ByName("kind"))
	if !r.URL.Query().Has("after") {
		s.count(func(c *Counts) { c.Reads++ })
		standin.WriteJSON(w, s.page(kind, 0, false))
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.count(func(c *Counts) { c.Watches++ })
	page, ok := s.watch(r.Context(), kind, after, wait)
	if !ok {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return
	}
	standin.WriteJSON(w, page)
}

// watch waits until an object of the kind changes or the wait is over. It returns false if the platform goes down or
// the caller disconnects.
func (s *Server) watch(ctx context.Context, kind rillreach.ObjectKind, after uint64, wait time.Duration) (rillreach.ObjectPage, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return rillreach.ObjectPage{}, false
		}
		if page := s.page(kind, after, true); len(page.Objects) > 0 {
			return page, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return s.page(kind, after, true), true
		case <-ctx.Done():
			return rillreach.ObjectPage{}, false
		}
	}
}

func (s *Server) page(kind rillreach.ObjectKind, after uint64, includeDeleted bool) rillreach.ObjectPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rillreach.ObjectPage{Version: s.version, Time: s.now(), Objects: []rillreach.Object{}}
	for _, o := range s.objects[kind] {
		if o.Version > after && (includeDeleted || !o.Deleted) {
			page.Objects = append(page.Objects, o)
		}
	}
	return page
}

func (s *Server) get(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.mu.Lock()
	s.counts.Reads++
	o, ok := s.objects[rillreach.ObjectKind(p.ByName("kind"))][objectName(p)]
	s.mu.Unlock()
	if !ok || o.Deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", client.ETag(o.Version))
	standin.WriteJSON(w, o)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	value, err := io.ReadAll(io.LimitReader(r.Body, client.MaxValueBytes+1))
	if err != nil || len(value) > client.MaxValueBytes {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	o, status := s.write(rillreach.ObjectKind(p.ByName("kind")), objectName(p), r, value)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	w.Header().Set("ETag", client.ETag(o.Version))
	standin.WriteJSON(w, o)
}

func (s *Server) write(kind rillreach.ObjectKind, name string, r *http.Request, value []byte) (rillreach.Object, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	old, exists := s.objects[kind][name]
	exists = exists && !old.Deleted
	if !preconditionHolds(r.Header, old.Version, exists) {
		return rillreach.Object{}, http.StatusPreconditionFailed
	}
	if r.Method == http.MethodDelete {
		value = old.Value
	}
	o := s.storeObject(kind, name, value, r.Method == http.MethodDelete)
	if s.faults.LoseResponses {
		return rillreach.Object{}, http.StatusInternalServerError
	}
	return o, http.StatusOK
}

func (s *Server) storeObject(kind rillreach.ObjectKind, name string, value []byte, deleted bool) rillreach.Object {
	s.version++
	o := rillreach.Object{Kind: kind, Name: name, Version: s.version, Changed: s.now(), Deleted: deleted, Value: value}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]rillreach.Object{}
	}
	s.objects[kind][name] = o
	s.notifyWatchers()
	return o
}

// now returns the platform's time, which never goes backwards. s.mu must be held.
func (s *Server) now() time.Time {
	if now := time.Now().UTC(); now.After(s.lastTime) {
		s.lastTime = now
	}
	return s.lastTime
}

func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) count(update func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.counts)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	standin.WriteJSON(w, s.Counts())
}

func preconditionHolds(header http.Header, version uint64, exists bool) bool {
	if header.Get("If-None-Match") == "*" {
		return !exists
	}
	return exists && header.Get("If-Match") == client.ETag(version)
}

func objectName(p httprouter.Params) string {
	return strings.TrimPrefix(p.ByName("name"), "/")
}
