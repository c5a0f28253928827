// Package engine is a stand-in for a model engine: it batches requests, caches prompt prefixes in limited memory,
// streams responses that a test can predict, and exports and imports its cache.
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
	maxBodyBytes       = 64 << 20
	stateBytesPerToken = 32
	defaultCacheBlocks = 4096
	defaultPrefillRate = 20000
)

// Server is the stand-in. Handler returns its HTTP handler.
type Server struct {
	// Model and Version identify the loaded weights.
	Model   rillreach.ModelID
	Version rillreach.VersionID
	// PrefillRate is the prefill speed in tokens per second; zero means defaultPrefillRate.
	PrefillRate float64
	// TokenInterval is the time between two output tokens.
	TokenInterval time.Duration
	// CacheBlocks is the capacity of the prefix cache; zero means defaultCacheBlocks.
	CacheBlocks int

	incarnation string

	initOnce  sync.Once
	cache     *cache
	prefillMu sync.Mutex
	running   atomic.Int64
	stats     stats
}

// stats are counters since the start.
type stats struct {
	mu           sync.Mutex
	Requests     int `json:"requests"`
	Cancelled    int `json:"cancelled"`
	PromptTokens int `json:"promptTokens"`
	CachedTokens int `json:"cachedTokens"`
	Imports      int `json:"imports"`
	Exports      int `json:"exports"`
}

// Handler returns the engine's HTTP handler.
func (s *Server) Handler() http.Handler {
	s.initOnce.Do(s.initialize)
	router := httprouter.New()
	router.POST("/v1/chat/completions", s.complete)
	router.POST("/v1/completions", s.complete)
	router.GET(backend.PathLoad, s.getLoad)
	router.POST(backend.PathExport, s.exportState)
	router.POST(backend.PathImport, s.importState)
	router.GET(backend.PathEvents, s.getEvents)
	router.POST("/cache/clear", s.clear)
	router.GET("/stats", s.getStats)
	return router
}

func (s *Server) initialize() {
	if s.PrefillRate == 0 {
		s.PrefillRate = defaultPrefillRate
	}
	if s.CacheBlocks == 0 {
		s.CacheBlocks = defaultCacheBlocks
	}
	s.cache = newCache(s.CacheBlocks)
	s.incarnation = uuid.NewString()
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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
	c := s.newCompletion(p, strings.HasSuffix(r.URL.Path, "/chat/completions"))
	if !s.compute(r.Context(), c) {
		s.count(func(st *stats) { st.Cancelled++ })
		return
	}
	if p.Stream {
		s.streamResponse(w, r, c)
		return
	}
	s.writeResponse(w, r, c)
}

// compute simulates the prefill of the uncached part of the prompt, one prompt at a time. It returns false if the
// request is cancelled.
func (s *Server) compute(ctx context.Context, c *completion) bool {
	s.prefillMu.Lock()
	defer s.prefillMu.Unlock()
	cachedBlocks := s.cache.cachedPrefix(c.blocks)
	c.cached = cachedBlocks * tokensPerBlock
	uncachedTokens := float64(len(c.tokens) - c.cached)
	if !sleep(ctx, time.Duration(uncachedTokens/s.PrefillRate*float64(time.Second))) {
		return false
	}
	s.cache.add(c.request.Salt, c.blocks)
	s.count(func(st *stats) {
		st.Requests++
		st.PromptTokens += len(c.tokens)
		st.CachedTokens += c.cached
	})
	return true
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	standin.WriteJSON(w, rillreach.EngineLoad{Running: int(s.running.Load()), PrefillRate: s.PrefillRate})
}

func (s *Server) exportState(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var stateRef rillreach.KVStateRef
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&stateRef); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p, err := parsePrompt(stateRef.Prompt)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	hashes := blockHashes(stateRef.Salt, p.tokens())
	cachedBlocks := hashes[:s.cache.cachedPrefix(hashes)]
	skippedBlocks := min(stateRef.SkipTokens/tokensPerBlock, len(cachedBlocks))
	s.count(func(st *stats) { st.Exports++ })
	w.Header().Set(backend.HeaderTokens, strconv.Itoa(len(cachedBlocks)*tokensPerBlock))
	standin.WriteJSON(w, cacheState{
		Version: string(s.Version),
		Salt:    stateRef.Salt,
		Blocks:  cachedBlocks[skippedBlocks:],
		Filler:  make([]byte, (len(cachedBlocks)-skippedBlocks)*tokensPerBlock*stateBytesPerToken),
	})
}

func (s *Server) importState(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	imported, err := decodeCacheState(payload)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if imported.Version != string(s.Version) {
		http.Error(w, "state is of another weight version", http.StatusConflict)
		return
	}
	s.cache.add(imported.Salt, imported.Blocks)
	s.count(func(st *stats) { st.Imports++ })
}

func (s *Server) getEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	events, next := s.cache.eventsSince(from)
	standin.WriteJSON(w, keep.EventPage{Incarnation: s.incarnation, Events: events, Next: next})
}

func (s *Server) clear(http.ResponseWriter, *http.Request, httprouter.Params) { s.cache.clear() }

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	standin.WriteJSON(w, &s.stats)
}

func (s *Server) count(update func(*stats)) {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	update(&s.stats)
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
