package main

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFatalRequests has callers repeat requests that end each runner that begins them, while entries and agents are killed and stand still:
// entries must hold them back, and nothing else.
func TestFatalRequests(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			assert.Empty(t, judge(playFaults(t, binary, seed, 6, fatalFaults), false))
		})
	}
}

// playFaults plays a schedule of faults that are drawn by themselves, before so many runners and as many engines.
func playFaults(t *testing.T, binary string, seed uint64, runners int, from []fault) *record {
	t.Helper()
	w, err := newWorld(binary, t.TempDir(), size{Entries: 3, Runners: runners, Callers: 30}, t.Logf)
	require.NoError(t, err)
	defer w.close()
	return w.play(engineSchedule(seed, shortLength, from), shortLength)
}

// TestJudgeFatal holds sends of a fatal request against when entries have to know it.
func TestJudgeFatal(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	good := func() *record {
		r := &record{Entries: map[int]history{0: {Lives: []life{{Started: at(-time.Minute)}}}}}
		for i := range 3 {
			r.send(at(time.Duration(i)*time.Second), true)
		}
		return r
	}
	judged := func(r *record) int {
		n := 0
		r.judgeFatal(func(string, ...any) { n++ })
		return n
	}
	t.Run("three sends after that are allowed", func(t *testing.T) {
		r := good()
		for i := range mostAfter {
			r.send(at(10*time.Second+time.Duration(i)), false)
		}
		assert.Zero(t, judged(r))
	})
	t.Run("a fourth is not", func(t *testing.T) {
		r := good()
		for i := range mostAfter + 1 {
			r.send(at(10*time.Second+time.Duration(i)), true)
		}
		assert.Equal(t, 1, judged(r))
	})
	t.Run("what is sent before is", func(t *testing.T) {
		r := good()
		for i := range mostAfter + 1 {
			r.send(at(2*time.Second+contact-time.Duration(i)), true)
		}
		assert.Zero(t, judged(r))
	})
	t.Run("an entry that has just stood still counts for nothing", func(t *testing.T) {
		r := good()
		r.entry(func(h *history) { h.Outages = []span{{at(9 * time.Second), at(9 * time.Second)}} })
		for i := range mostAfter + 1 {
			r.send(at(10*time.Second+time.Duration(i)), true)
		}
		assert.Zero(t, judged(r))
	})
	heldBack := func(r *record, from, to time.Duration) {
		for d := from; d <= to; d += time.Second {
			r.Calls = append(r.Calls, call{ID: "x", Kind: kindOnce, Status: 502, Body: heldBackBody + "\n", Ended: at(d)})
		}
	}
	answered := func(r *record) {
		r.Calls = append(r.Calls, call{ID: "a", Kind: kindOnce, Status: 200, Ended: at(-time.Second)})
	}
	t.Run("one that was never answered can't be told from a fatal one", func(t *testing.T) {
		r := good()
		heldBack(r, 0, releasedWithin+time.Second)
		assert.Zero(t, judged(r))
	})
	t.Run("another request that is held back for long is found", func(t *testing.T) {
		r := good()
		answered(r)
		heldBack(r, 0, releasedWithin+time.Second)
		assert.Equal(t, 1, judged(r))
	})
	t.Run("one that is held back for moments is none", func(t *testing.T) {
		r := good()
		answered(r)
		heldBack(r, 0, releasedWithin/2)
		r.Calls = append(r.Calls, call{ID: "y", Kind: kindOnce, Status: 200, Ended: at(releasedWithin/2 + 1)})
		heldBack(r, releasedWithin/2+time.Second, releasedWithin+time.Second)
		assert.Zero(t, judged(r))
	})
}

// send adds a send of a fatal request, which ends its runner or not.
func (r *record) send(at time.Time, kills bool) {
	id := strconv.Itoa(len(r.Calls))
	r.Calls = append(r.Calls, call{ID: id, Kind: kindOnce, Fatal: "fatal-1", Sent: at})
	r.Runs = append(r.Runs, run{ID: id, Fatal: "fatal-1", At: at, Until: at, Killed: kills})
}
