package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// keepsAlive has a stream run that lasts almost as long as a stop may take, so that the process goes on living after it.
func (l *ledger) keepsAlive(t *testing.T, s *stopSite, e *stopEntry) {
	t.Helper()
	l.callers.Go(func() { l.once(e, streamRoute, 0) })
	require.Eventually(t, func() bool { return len(s.ran()) == 1 }, patience, 5*time.Millisecond, "the stream runs")
}

// newBusyEntry starts an entry before a site, with a stream of six seconds that keeps it alive during a stop.
func newBusyEntry(t *testing.T) (*stopSite, *stopEntry, *ledger) {
	t.Helper()
	const events = 60 // six seconds
	s := newStopSite(t, events)
	e := s.entry(t, "127.0.0.1")
	l := newLedger(t, events)
	l.keepsAlive(t, s, e)
	return s, e, l
}

// TestStopTakesOnlyWhatItCanEnd asks an entry from its SIGTERM to its end for streams that last longer than what is left of
// its grace towards the end (issue 17: one that was taken 3.06 s after the signal was cut at 7.1 s).
func TestStopTakesOnlyWhatItCanEnd(t *testing.T) {
	t.Parallel()
	s, e, l := newBusyEntry(t)
	only := func() *stopEntry { return e }
	l.keep(70*time.Millisecond, plainRoute, only)
	ended := e.terminate()
	l.everyNew(150*time.Millisecond, 0, streamRoute, only)
	l.everyNew(190*time.Millisecond, 0, plainRoute, only)
	<-ended
	l.end()

	assertKept(t, s, l)
	t.Run("the process ends by itself within its grace", func(t *testing.T) { assertEnded(t, e) })
}

// TestStopKeepsItsDoorOpen has a stream keep a stopping entry alive (issue 17: from 3.2 s after its signal to its end it
// refused every connection, and the balancer, which had no other entry, went on sending them).
func TestStopKeepsItsDoorOpen(t *testing.T) {
	t.Parallel()
	s, e, l := newBusyEntry(t)
	only := func() *stopEntry { return e }
	ended := e.terminate()
	// They come so quickly that some are just being read whenever the entry closes its door; the second ones have come in by then
	// and say only afterwards what they want, which package http reads and drops once Shutdown was called.
	l.everyNew(10*time.Millisecond, 0, plainRoute, only)
	l.everyNew(20*time.Millisecond, 200*time.Millisecond, plainRoute, only)
	l.keep(3*time.Millisecond, plainRoute, only)
	<-ended
	l.end()

	t.Run("the stream that ran before is whole", func(t *testing.T) {
		assert.Len(t, l.those(func(a *attempt) bool { return a.route == streamRoute && a.how == whole }), 1)
	})
	t.Run("every connection is taken until the process ends", func(t *testing.T) { assertDoorOpen(t, l) })
	assertKept(t, s, l)
	t.Run("the process ends by itself within its grace", func(t *testing.T) { assertEnded(t, e) })
}
