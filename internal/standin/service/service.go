// Package service is a stand-in for a plain service: it executes every call and counts the calls by body.
package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin"
)

const maxBodyBytes = 1 << 20

// Server is the stand-in. Its zero value is ready to use.
type Server struct {
	// Delay is how long each call takes.
	Delay time.Duration

	mu        sync.Mutex
	runCounts map[string]int
}

// ServeHTTP executes a call. GET /runs returns how often each body was executed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/runs" {
		standin.WriteJSON(w, s.RunCounts())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	count := s.recordRun(string(body))
	time.Sleep(s.Delay)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprint(w, ResponseText(r.URL.Path, string(body), count))
}

// ResponseText returns the response to a call when its body is executed for the count-th time.
func ResponseText(path, body string, count int) string {
	return fmt.Sprintf("%s ran %q time %d", path, body, count)
}

// RunCounts returns how often each body was executed.
func (s *Server) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runCounts))
	for body, count := range s.runCounts {
		runs[body] = count
	}
	return runs
}

func (s *Server) recordRun(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runCounts == nil {
		s.runCounts = map[string]int{}
	}
	s.runCounts[body]++
	return s.runCounts[body]
}
