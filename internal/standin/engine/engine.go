// Package engine is a stand-in for a model engine: it batches, caches prompt prefixes in limited memory, streams
// answers that a test can predict, and exports and imports its cache.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backend"
	"github.com/rillreach/rillreach/internal/standin"
	"github.com/rillreach/rillreach/keep"
)

const (
	maxBody        = 64 << 20
	bytesPerToken  = 32
	defaultBlocks  = 4096
	defaultPrefill = 20000
)

// Server is the stand-in; Handler makes its HTTP side.
type Server struct {
	// Model and Version are what it has loaded.
	Model   rillreach.ModelID
	Version rillreach.VersionID
	// PrefillRate is tokens a second; zero means a default.
	PrefillRate float64
	// TokenInterval is the time between two tokens of an answer.
	TokenInterval time.Duration
	// CacheBlocks bounds the prefix cache; zero means a default.
	CacheBlocks int

	incarnation string

	once    sync.Once
	cache   *cache
	prefill sync.Mutex
	running atomic.Int64
	stats   stats
}

// stats are the stand-in's counts since its start.
type stats struct {
	mu           sync.Mutex
	Requests     int `json:"requests"`
	Cancelled    int `json:"cancelled"`
	PromptTokens int `json:"promptTokens"`
	CachedTokens int `json:"cachedTokens"`
	Imports      int `json:"imports"`
	Exports      int `json:"exports"`
}

// Handler returns the engine's HTTP side.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.start)
	router := httprouter.New()
	router.POST("/v1/chat/completions", s.complete)
	router.POST("/v1/completions", s.complete)
	router.GET(backend.PathLoad, s.load)
	router.POST(backend.PathExport, s.export)
	router.POST(backend.PathImport, s.take)
	router.GET(backend.PathEvents, s.events)
	router.POST("/cache/clear", s.clear)
	router.GET("/stats", s.getStats)
	return router
}

func (s *Server) start() {
	if s.PrefillRate == 0 {
		s.PrefillRate = defaultPrefill
	}
	if s.CacheBlocks == 0 {
		s.CacheBlocks = defaultBlocks
	}
	s.cache = newCache(s.CacheBlocks)
	s.incarnation = uuid.NewString()
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	p, err := parsePrompt(body)
	if err != nil {
		http.Error(w, `{"error":{"message":"bad prompt"}}`, http.StatusBadRequest)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	run := s.newRun(p, strings.HasSuffix(r.URL.Path, "/chat/completions"))
	if !s.compute(r.Context(), run) {
		s.count(func(st *stats) { st.Cancelled++ })
		return
	}
	if p.Stream {
		s.stream(w, r, run)
		return
	}
	s.whole(w, r, run)
}

// compute takes the time that the uncached part of the prompt needs; one prompt is computed at a time.
func (s *Server) compute(ctx context.Context, run *run) bool {
	s.prefill.Lock()
	defer s.prefill.Unlock()
	held := s.cache.prefix(run.blocks)
	run.cached = held * blockTokens
	left := float64(len(run.tokens) - run.cached)
	if !sleep(ctx, time.Duration(left/s.PrefillRate*float64(time.Second))) {
		return false
	}
	s.cache.add(run.prompt.Salt, run.blocks)
	s.count(func(st *stats) {
		st.Requests++
		st.PromptTokens += len(run.tokens)
		st.CachedTokens += run.cached
	})
	return true
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	standin.WriteJSON(w, rillreach.EngineLoad{Running: int(s.running.Load()), PrefillRate: s.PrefillRate})
}

func (s *Server) export(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var ref rillreach.KVStateRef
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&ref); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p, err := parsePrompt(ref.Prompt)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	all := blocks(ref.Salt, p.tokens())
	held := all[:s.cache.prefix(all)]
	skip := min(ref.SkipTokens/blockTokens, len(held))
	s.count(func(st *stats) { st.Exports++ })
	w.Header().Set(backend.HeaderTokens, strconv.Itoa(len(held)*blockTokens))
	standin.WriteJSON(w, state{
		Version: string(s.Version),
		Salt:    ref.Salt,
		Blocks:  held[skip:],
		Filler:  make([]byte, (len(held)-skip)*blockTokens*bytesPerToken),
	})
}

func (s *Server) take(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	taken, err := decodeState(payload)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if taken.Version != string(s.Version) {
		http.Error(w, "state is of another weight version", http.StatusConflict)
		return
	}
	s.cache.add(taken.Salt, taken.Blocks)
	s.count(func(st *stats) { st.Imports++ })
}

func (s *Server) events(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	events, next := s.cache.since(from)
	standin.WriteJSON(w, keep.EventPage{Incarnation: s.incarnation, Events: events, Next: next})
}

func (s *Server) clear(http.ResponseWriter, *http.Request, httprouter.Params) { s.cache.clear() }

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	standin.WriteJSON(w, &s.stats)
}

func (s *Server) count(add func(*stats)) {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	add(&s.stats)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
