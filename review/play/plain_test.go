//go:build review

package play

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const plainService = "app"

// plainRunner is a runner of a service without models. It can be ended and started again under its id and at its address.
type plainRunner struct {
	world *world
	id    string
	at    netip.AddrPort
	// listed is the address that the runner's entry names, that at which it listens if it is empty.
	listed string
	// handle serves a request; it must be set before the start.
	handle func(p *plainRunner, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	software string
	born     int64
	server   *http.Server
}

func (w *world) addPlain(number byte, software string, handle func(*plainRunner, http.ResponseWriter, *http.Request)) (*plainRunner, error) {
	p := &plainRunner{world: w, id: fmt.Sprintf("i-app-%d", number), at: netip.AddrPortFrom(w.address(2, number), 8080), handle: handle}
	if err := p.start(software); err != nil {
		return nil, err
	}
	p.enter()
	return p, nil
}

// start starts a run with a version of the software. What it says in the store it says with enter.
func (p *plainRunner) start(software string) error {
	l, err := net.Listen("tcp", p.at.String())
	if err != nil {
		return errors.Wrap(err, "start runner")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.software, p.born = software, time.Now().UnixMilli()
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
	p.world.record("%s starts with software %s", p.id, software)
	return nil
}

// end ends the run, with all its connections.
func (p *plainRunner) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
	p.world.record("%s ends", p.id)
}

// enter writes the runner's entry into the platform's store.
func (p *plainRunner) enter() { p.say("ready") }

// say writes the runner's entry with a state.
func (p *plainRunner) say(state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.world.store.Put("servers", p.id, map[string]any{
		"service": plainService, "address": cmp.Or(p.listed, p.at.String()), "zone": "z1", "version": p.software, "slots": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": p.born,
	})
	p.world.record("%s writes its entry: %s, version %s", p.id, state, p.software)
}

func (p *plainRunner) run() (software string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.software
}

func (p *plainRunner) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Rillreach-Attempt-Id", site.RequestID(r))
	w.Header().Set("X-Rillreach-Instance-Id", p.id)
	switch {
	case r.Header.Get("X-Rillreach-Target-Instance") != p.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == site.HealthPath:
	default:
		p.handle(p, w, r)
	}
}

// streamVersioned streams events after the request's Last-Event-Id that name the software version.
func streamVersioned(events int, interval time.Duration) func(*plainRunner, http.ResponseWriter, *http.Request) {
	return func(p *plainRunner, w http.ResponseWriter, r *http.Request) {
		from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			from = 0
		}
		software := p.run()
		p.world.record("%s with software %s runs %s after event %d", p.id, software, site.RequestID(r), from)
		site.SetSealHeaders(w, r)
		w.Header().Set("Content-Type", site.EventStream)
		for id := from + 1; id <= events; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, id, software)
			if http.NewResponseController(w).Flush() != nil || !sleep(r.Context(), interval) {
				return
			}
		}
	}
}

// sleep reports whether the context lives on after the time.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// plainConfig returns a configuration with a route to the plain runners.
func plainConfig(version int, kind string, resumable bool) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r1", "host": "shop.example", "path_prefix": "/a/", "kind": kind, "timeout_ms": 12000, "target_latency_ms": 300, "priority": 0,
			"service": plainService, "max_attempts": 2, "public": false, "resumable": resumable, "gap_aim_ms": 300,
		}},
		"services": []any{map[string]any{"name": plainService, "health_check": site.HealthPath, "max_connections": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []any{"key-1"}, "priority": 1}},
	}
}
