//go:build review2

package stage

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// otherKey is the key that the tenant keeps.
const otherKey = "quiet7hshnqnxkwpsaet"

// keyRunner is a runner that records the keys that reach it.
type keyRunner struct {
	stage *stage

	mu          sync.Mutex
	runs, leaks int
}

// ServeHTTP runs a request.
func (k *keyRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Rillreach-Attempt-Id")
	w.Header().Set("X-Rillreach-Attempt-Id", id)
	switch {
	case r.Header.Get("X-Rillreach-Target-Instance") != runnerID:
		w.Header().Set("X-Rillreach-Instance-Id", runnerID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Rillreach-Instance-Id", runnerID)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	authorization := r.Header.Get("Authorization")
	k.mu.Lock()
	k.runs++
	if strings.Contains(authorization, key) || strings.Contains(authorization, otherKey) {
		k.leaks++
	}
	k.mu.Unlock()
	k.stage.note("the runner runs %s %s: Authorization %q, X-Rillreach-Tenant %q", id, r.URL.Path, authorization, r.Header.Get("X-Rillreach-Tenant"))
	w.Header().Set("X-Rillreach-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	fmt.Fprintf(w, "answer to %s\n", id)
}

// putKeys sends a configuration with a public route, and the keys of the tenant.
func (s *stage) putKeys(version int, keys ...string) {
	route := func(name, prefix string, public bool) any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": "s",
			"max_attempts": 2, "public": public, "resumable": false,
		}
	}
	s.store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   []any{route("r-1", "/bobo563/", false), route("r-2", "/gate771/", true)},
		"services": []any{map[string]any{"name": "s", "max_connections": 100, "health_check": "/healthz"}},
		"limits":   map[string]any{"max_body_bytes": 4194304, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "jeye930", "api_keys": keys}},
	})
	s.note("the operator sends configuration %d, in which the tenant holds the keys %v", version, keys)
}

// playPublic takes a key away from a client that goes on to send it, on a public route as on the others.
func playPublic(s *stage) (bool, error) {
	k := &keyRunner{stage: s}
	l, err := net.Listen("tcp", s.address(3, 1, runnerPort))
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(l, k) }()
	s.putKeys(1, key, otherKey)
	go s.keepRecord(runnerID, func() (map[string]any, bool) {
		return map[string]any{
			"service": "s", "address": s.address(3, 1, runnerPort), "zone": "z", "slots": 6, "state": "ready", "version": "v1", "cold_remaining_ms": 0,
			"born": s.started.UnixMilli(),
		}, true
	})
	if _, err := s.startEntry(1); err != nil {
		return false, err
	}
	if err := s.awaitReady(1); err != nil {
		return false, err
	}
	s.askBoth("before", 5)
	if s.trouble {
		s.putKeys(2, otherKey)
		time.Sleep(3 * time.Second) // config_apply_ms, and a second more
	}
	s.askBoth("after", 10)
	k.mu.Lock()
	defer k.mu.Unlock()
	s.note("%d runs, %d of them with the client's key passed on", k.runs, k.leaks)
	if k.runs == 0 {
		return false, errors.New("nothing ran")
	}
	return k.leaks > 0, nil
}

// askBoth sends requests on the route that wants a key, and on the public one.
func (s *stage) askBoth(when string, count int) {
	for n := range count {
		for _, path := range []string{"/bobo563/lo7", "/gate771/2f"} {
			req, err := http.NewRequest(http.MethodGet, "http://"+s.address(1, 1, frontendPort)+path, http.NoBody)
			if err != nil {
				return
			}
			id := fmt.Sprintf("%s-%d-%s", when, n, path[1:5])
			req.Host = hostName
			req.Header.Set("X-Rillreach-Attempt-Id", id)
			req.Header.Set("X-Rillreach-Deadline-Ms", "2500")
			req.Header.Set("Authorization", "Bearer "+key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				s.note("request %s %s: %v", id, path, err)
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			s.note("request %s %s with the key %s: %d", id, path, key, resp.StatusCode)
		}
	}
}
