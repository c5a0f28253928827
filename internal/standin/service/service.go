// Package service is a stand-in for a plain service: it runs whatever it is sent, and counts it.
package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin"
)

const maxBody = 1 << 20

// Server is the stand-in; its zero value is ready.
type Server struct {
	// Delay is how long a call runs.
	Delay time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP runs a call; GET /runs returns how often each body was run.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/runs" {
		standin.WriteJSON(w, s.RunCounts())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	count := s.run(string(body))
	time.Sleep(s.Delay)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprint(w, ResponseText(r.URL.Path, string(body), count))
}

// ResponseText is what the service answers to a call that it runs for the count-th time.
func ResponseText(path, body string, count int) string {
	return fmt.Sprintf("%s ran %q time %d", path, body, count)
}

// RunCounts returns how often each body was run.
func (s *Server) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, count := range s.runs {
		runs[body] = count
	}
	return runs
}

func (s *Server) run(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[body]++
	return s.runs[body]
}
