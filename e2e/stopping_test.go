package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startLongStream has a stream run that lasts almost as long as a stop may take, so that the process goes on living after it.
func (l *attemptLog) startLongStream(t *testing.T, s *stopSite, e *stopEntry) {
	t.Helper()
	l.callers.Go(func() { l.sendOnNewConn(e, streamRoute, 0) })
	require.Eventually(t, func() bool { return len(s.receivedRequests()) == 1 }, waitTimeout, 5*time.Millisecond, "the stream runs")
}

// newBusyEntry starts an entry before a site, with a stream of six seconds that keeps it alive during a stop.
func newBusyEntry(t *testing.T) (*stopSite, *stopEntry, *attemptLog) {
	t.Helper()
	const events = 60 // six seconds
	s := newStopSite(t, events)
	e := s.startEntry(t, "127.0.0.1")
	l := newAttemptLog(t, events)
	l.startLongStream(t, s, e)
	return s, e, l
}

// TestStoppingEntryRefusesLongStreams asks an entry from its SIGTERM to its end for streams that last longer than what is left of
// its grace towards the end (issue 17: one that was taken 3.06 s after the signal was cut at 7.1 s).
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
	t.Run("the process ends by itself within its grace", func(t *testing.T) { assertExitedInGrace(t, e) })
}

// TestStoppingEntryAcceptsConnections has a stream keep a stopping entry alive (issue 17: from 3.2 s after its signal to its end it
// refused every connection, and the balancer, which had no other entry, went on sending them).
func TestStoppingEntryAcceptsConnections(t *testing.T) {
	t.Parallel()
	s, e, l := newBusyEntry(t)
	only := func() *stopEntry { return e }
	ended := e.terminate()
	// They come so quickly that some are just being read whenever the entry closes its door; the second ones have come in by then
	// and say only afterwards what they want, which package http reads and drops once Shutdown was called.
	l.sendOnNewConns(10*time.Millisecond, 0, plainRoute, only)
	l.sendOnNewConns(20*time.Millisecond, 200*time.Millisecond, plainRoute, only)
	l.sendOnKeepAliveConn(3*time.Millisecond, plainRoute, only)
	<-ended
	l.finish()

	t.Run("the stream that ran before is whole", func(t *testing.T) {
		assert.Len(t, l.filter(func(a *attempt) bool { return a.route == streamRoute && a.result == complete }), 1)
	})
	t.Run("every connection is taken until the process ends", func(t *testing.T) { assertAcceptsConnections(t, l) })
	assertStopGuarantees(t, s, l)
	t.Run("the process ends by itself within its grace", func(t *testing.T) { assertExitedInGrace(t, e) })
}
