package e2e

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// stopGrace is the grace period in the settings file. The platform kills a process that has not exited by then.
	stopGrace = 8 * time.Second
	// maxRefusalDelay bounds the time to a refusal. An entry knows when it reads a request whether it can complete it
	// in time, so a refusal must not wait for another request. Streams in these tests run several times as long.
	maxRefusalDelay = time.Second
	// maxListedAttempts limits how many attempts a failure message lists.
	maxListedAttempts = 6
	// eventInterval is the time between two events of a stream.
	eventInterval = 100 * time.Millisecond
)

// stopSite is the environment of the entries: an object store, and one runner for plain answers and long streams.
type stopSite struct {
	store  *site.Store
	runner *site.Runner
	// storeAddress is the address of the object store.
	storeAddress string
}

func newStopSite(t *testing.T, events int) *stopSite {
	t.Helper()
	s := &stopSite{store: site.NewStore(), runner: &site.Runner{ID: "r1"}}
	s.runner.Handle = func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/"+streamRoute+"/") {
			site.StreamEventsAtInterval(w, r, events, eventInterval)
			return
		}
		site.WriteResponse(w, r, plainAnswer)
	}
	s.runner.Start()
	t.Cleanup(s.runner.Stop)
	s.putConfig(1)
	s.store.Put("servers", "r1", site.NewRunnerRecord(s.runner.Address(), "ready"))
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	return s
}

// putConfig publishes a version of the configuration. Each version has one route of its own besides those that callers
// use.
func (s *stopSite) putConfig(version int) {
	route := func(name, kind string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": stopHost, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "service": "s", "max_attempts": 1,
		}
	}
	s.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route(plainRoute, "idempotent", 2000), route(streamRoute, "streaming", 12000), route(fmt.Sprintf("only%d", version), "idempotent", 2000),
		},
		"services": []any{map[string]any{"name": "s"}},
		"limits":   map[string]any{"max_body_bytes": 1000},
	})
}

// stopEntry is an entry and its successive processes.
type stopEntry struct {
	*platformEntry

	mu                    sync.Mutex
	processes             []*process
	signalledAt           time.Time
	exitedAt, restartedAt time.Time
}

func (s *stopSite) startEntry(t *testing.T, host string) *stopEntry {
	t.Helper()
	e := &stopEntry{platformEntry: newPlatformEntry(t, host, s.storeAddress)}
	e.start(t)
	e.awaitReady(t)
	e.processes = append(e.processes, e.process)
	return e
}

// terminate sends SIGTERM, records when the process exits and then closes the returned channel.
func (e *stopEntry) terminate() (ended <-chan struct{}) {
	exited, process := make(chan struct{}), e.process
	e.signalledAt = time.Now()
	process.signal(syscall.SIGTERM)
	go func() {
		<-process.exited
		e.mu.Lock()
		e.exitedAt = time.Now()
		e.mu.Unlock()
		close(exited)
	}()
	return exited
}

// unavailableDuring reports whether at any time during the attempt no process was listening at the address of the
// entry.
func (e *stopEntry) unavailableDuring(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.exitedAt.IsZero() && a.ended.After(e.exitedAt.Add(-listenerCloseMargin)) && (e.restartedAt.IsZero() || a.began.Before(e.restartedAt))
}

// hasRead reports whether a process of the entry had read the request of the attempt: its connection shows it, the log
// contains its ID, or the runner received it.
func (e *stopEntry) hasRead(a *attempt, ran map[string]bool) bool {
	if a.requestRead || ran[a.id] {
		return true
	}
	for _, p := range e.processes {
		if strings.Contains(p.logText(), fmt.Sprintf("%q", a.id)) {
			return true
		}
	}
	return false
}

// receivedRequests returns the attempt IDs of the requests that reached the runner.
func (s *stopSite) receivedRequests() map[string]bool {
	ids := map[string]bool{}
	for _, run := range s.runner.ReceivedRequests() {
		ids[run.Header.Get("X-Rillreach-Attempt-Id")] = true
	}
	return ids
}

// assertNone fails if there are bad attempts, and lists some of them.
func assertNone(t *testing.T, bad []attempt, what string) {
	t.Helper()
	if len(bad) == 0 {
		return
	}
	var text strings.Builder
	for _, a := range bad[:min(len(bad), maxListedAttempts)] {
		since := func(at time.Time) float64 { return at.Sub(a.entry.signalledAt).Seconds() }
		fmt.Fprintf(&text, "\n  %s, sent to %s %.3f s after its SIGTERM: %s at %.3f s (%s)", a.id, a.entry.callerAddress, since(a.began), a.result, since(a.ended), a.detail)
	}
	assert.Failf(t, what, "%d of them, such as%s", len(bad), text.String())
}

// assertStopGuarantees checks what holds for every stop: each request that an entry has read gets either a complete
// answer or a prompt refusal, and a refused request has not run.
func assertStopGuarantees(t *testing.T, s *stopSite, l *attemptLog) {
	t.Helper()
	ran := s.receivedRequests()
	t.Run("no answer is truncated", func(t *testing.T) {
		assertNone(t, l.filter(func(a *attempt) bool { return a.result == truncated }), "truncated")
	})
	t.Run("every request that was read is answered or refused", func(t *testing.T) {
		assertNone(t, l.filter(func(a *attempt) bool {
			return a.result == unexpectedAnswer || a.result == unanswered && a.entry.hasRead(a, ran)
		}), "read, but neither answered nor refused")
	})
	t.Run("refused requests have not run", func(t *testing.T) {
		assertNone(t, l.filter(func(a *attempt) bool { return a.result == refused && ran[a.id] }), "refused, but run")
	})
	t.Run("refusals are prompt", func(t *testing.T) {
		assertNone(t, l.filter(func(a *attempt) bool { return a.result == refused && a.ended.Sub(a.sent) > maxRefusalDelay }), "refused late")
	})
	t.Run("short requests are still answered after the signal", func(t *testing.T) {
		answered := l.filter(func(a *attempt) bool {
			return a.result == complete && a.route == plainRoute && a.began.After(a.entry.signalledAt) && a.ended.Before(a.entry.exitedAt)
		})
		assert.NotEmpty(t, answered)
	})
}

// assertAcceptsConnections checks that new connections fail only while no process is running.
func assertAcceptsConnections(t *testing.T, l *attemptLog) {
	t.Helper()
	assertNone(t, l.filter(func(a *attempt) bool {
		return (a.result == dialFailed || a.result == unanswered && !a.reusedConn) && !a.entry.unavailableDuring(a)
	}), "connection failed while the process was running")
}

// assertExitedInGrace checks that the stopped process exited by itself with status 0 within the grace period.
func assertExitedInGrace(t *testing.T, e *stopEntry) {
	t.Helper()
	require.False(t, e.exitedAt.IsZero())
	assert.Zero(t, e.processes[0].cmd.ProcessState.ExitCode())
	assert.Less(t, e.exitedAt.Sub(e.signalledAt), stopGrace)
}
