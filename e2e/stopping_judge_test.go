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
	// stopGrace is what the settings file gives as grace: the platform kills what has not ended by then.
	stopGrace = 8 * time.Second
	// maxRefusalDelay bounds a refusal. What an entry cannot end in time is known when it is read, so that no run of any request lies
	// between; all runs of streams in these tests take several times as long.
	maxRefusalDelay = time.Second
	// maxListedAttempts is how many attempts a failure lists.
	maxListedAttempts = 6
	// eventInterval is the pause between the events of a stream.
	eventInterval = 100 * time.Millisecond
)

// stopSite is a deployment's outside: its store, and one runner for plain answers and long streams.
type stopSite struct {
	store  *site.Store
	runner *site.Runner
	// storeAddress is the store's.
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

// putConfig puts a version of the configuration in force; each has a route of its own beside those that callers ask.
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

// stopEntry is an entry and its processes, one after another.
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

// terminate sends SIGTERM and notes when the process has ended; it tells through what it returns.
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

// unavailableDuring reports that there was, at some time of the attempt, no process at the entry's address.
func (e *stopEntry) unavailableDuring(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.exitedAt.IsZero() && a.ended.After(e.exitedAt.Add(-listenerCloseMargin)) && (e.restartedAt.IsZero() || a.began.Before(e.restartedAt))
}

// hasRead reports that one of the entry's processes had hasRead the attempt's request: its connection shows it, its log names it, or
// it ran.
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

// receivedRequests are the requests that came to the runner.
func (s *stopSite) receivedRequests() map[string]bool {
	ids := map[string]bool{}
	for _, run := range s.runner.ReceivedRequests() {
		ids[run.Header.Get("X-Rillreach-Attempt-Id")] = true
	}
	return ids
}

// assertNone fails with what became of some of the attempts that must not be there.
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

// assertStopGuarantees runs the checks that hold for every stop: what an entry reads gets a whole answer, or at once a refusal that
// keeps its promise.
func assertStopGuarantees(t *testing.T, s *stopSite, l *attemptLog) {
	t.Helper()
	ran := s.receivedRequests()
	t.Run("no answer is cut", func(t *testing.T) {
		assertNone(t, l.filter(func(a *attempt) bool { return a.result == truncated }), "cut")
	})
	t.Run("what is read is answered or refused", func(t *testing.T) {
		assertNone(t, l.filter(func(a *attempt) bool {
			return a.result == unexpectedAnswer || a.result == unanswered && a.entry.hasRead(a, ran)
		}), "read, and neither answered nor refused")
	})
	t.Run("what is refused has not run", func(t *testing.T) {
		assertNone(t, l.filter(func(a *attempt) bool { return a.result == refused && ran[a.id] }), "refused, and run")
	})
	t.Run("a refusal comes at once", func(t *testing.T) {
		assertNone(t, l.filter(func(a *attempt) bool { return a.result == refused && a.ended.Sub(a.sent) > maxRefusalDelay }), "refused late")
	})
	t.Run("what is short is still answered after the signal", func(t *testing.T) {
		answered := l.filter(func(a *attempt) bool {
			return a.result == complete && a.route == plainRoute && a.began.After(a.entry.signalledAt) && a.ended.Before(a.entry.exitedAt)
		})
		assert.NotEmpty(t, answered)
	})
}

// assertAcceptsConnections checks that a new connection fails only while there is no process.
func assertAcceptsConnections(t *testing.T, l *attemptLog) {
	t.Helper()
	assertNone(t, l.filter(func(a *attempt) bool {
		return (a.result == dialFailed || a.result == unanswered && !a.reusedConn) && !a.entry.unavailableDuring(a)
	}), "no connection, while the entry's process lived")
}

// assertExitedInGrace checks that the entry's stopped process ended by itself and in time.
func assertExitedInGrace(t *testing.T, e *stopEntry) {
	t.Helper()
	require.False(t, e.exitedAt.IsZero())
	assert.Zero(t, e.processes[0].cmd.ProcessState.ExitCode())
	assert.Less(t, e.exitedAt.Sub(e.signalledAt), stopGrace)
}
