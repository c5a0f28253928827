package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startLongStream starts a stream that lasts almost as long as a stop may take, so that the process stays alive.
func (l *attemptLog) startLongStream(t *testing.T, s *stopSite, e *stopEntry) {
	t.Helper()
	l.callers.Go(func() { l.sendOnNewConn(e, streamRoute, 0) })
	require.Eventually(t, func() bool { return len(s.receivedRequests()) == 1 }, waitTimeout, 5*time.Millisecond, "the stream is running")
}

// newBusyEntry starts an entry with a stream of six seconds that keeps its process alive during a stop.
func newBusyEntry(t *testing.T) (*stopSite, *stopEntry, *attemptLog) {
	t.Helper()
	const events = 60 // six seconds
	s := newStopSite(t, events)
	e := s.startEntry(t, "127.0.0.1")
	l := newAttemptLog(t, events)
	l.startLongStream(t, s, e)
	return s, e, l
}

// TestStoppingEntryRefusesLongStreams guards against streams that a stopping entry accepts but cannot complete: one
// accepted 3.06 s after SIGTERM was cut when the process ended at 7.1 s. Callers ask for streams from the signal to the
// exit; towards the end they last longer than the rest of the grace period.
func TestStoppingEntryRefusesLongStreams(t *testing.T) {
	t.Parallel()
	s, e, l := newBusyEntry(t)
	only := func() *stopEntry { return e }
	l.sendOnKeepAliveConn(70*time.Millisecond, plainRoute, only)
	ended := e.terminate()
	l.sendOnNewConns(150*time.Millisecond, 0, streamRoute, only)
	l.sendOnNewConns(190*time.Millisecond, 0, plainRoute, only)
	<-ended
	l.finish()

	assertStopGuarantees(t, s, l)
	t.Run("the process exits within its grace period", func(t *testing.T) { assertExitedInGrace(t, e) })
}

// TestStoppingEntryAcceptsConnections guards against a stopping entry that closes its listener while a stream keeps its
// process alive. Such an entry refused every connection from 3.2 s after the signal until it exited, while the load
// balancer, which had no other entry, kept sending them.
func TestStoppingEntryAcceptsConnections(t *testing.T) {
	t.Parallel()
	s, e, l := newBusyEntry(t)
	only := func() *stopEntry { return e }
	ended := e.terminate()
	// Connections arrive so fast that some are always being read when the entry closes its listener. Those of the
	// second kind are accepted before that and send their request only afterwards; net/http reads and drops such
	// requests once Shutdown has been called.
	l.sendOnNewConns(10*time.Millisecond, 0, plainRoute, only)
	l.sendOnNewConns(20*time.Millisecond, 200*time.Millisecond, plainRoute, only)
	l.sendOnKeepAliveConn(3*time.Millisecond, plainRoute, only)
	<-ended
	l.finish()

	t.Run("the stream that was already running is complete", func(t *testing.T) {
		assert.Len(t, l.filter(func(a *attempt) bool { return a.route == streamRoute && a.result == complete }), 1)
	})
	t.Run("every connection is accepted until the process exits", func(t *testing.T) { assertAcceptsConnections(t, l) })
	assertStopGuarantees(t, s, l)
	t.Run("the process exits within its grace period", func(t *testing.T) { assertExitedInGrace(t, e) })
}
