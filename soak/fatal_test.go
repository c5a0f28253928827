package main

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFatalRequestsAreQuarantined has callers repeat requests that end each runner that begins them, while entries and agents are killed and stand still:
// entries must hold them back, and nothing else.
func TestFatalRequestsAreQuarantined(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			assert.Empty(t, checkGuarantees(runFaults(t, binary, seed, 6, fatalFaults), false))
		})
	}
}

// runFaults plays a schedule of faults that are drawn by themselves, before so many runners and as many engines.
func runFaults(t *testing.T, binary string, seed uint64, runners int, from []fault) *observations {
	t.Helper()
	w, err := newCluster(binary, t.TempDir(), clusterSize{Entries: 3, Runners: runners, Callers: 30}, t.Logf)
	require.NoError(t, err)
	defer w.close()
	return w.run(engineSchedule(seed, shortLength, from), shortLength)
}

// TestFatalRequestSentAgainIsReported holds sends of a fatal request against when entries have to know it.
func TestFatalRequestSentAgainIsReported(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	good := func() *observations {
		r := &observations{Entries: map[int]processHistory{0: {Lifetimes: []processLifetime{{Started: at(-time.Minute)}}}}}
		for i := range 3 {
			r.addFatalCall(at(time.Duration(i)*time.Second), true)
		}
		return r
	}
	judged := func(r *observations) int {
		n := 0
		r.checkFatalRequests(func(string, ...any) { n++ })
		return n
	}
	t.Run("three sends after that are allowed", func(t *testing.T) {
		r := good()
		for i := range maxAfterQuarantine {
			r.addFatalCall(at(10*time.Second+time.Duration(i)), false)
		}
		assert.Zero(t, judged(r))
	})
	t.Run("a fourth is not", func(t *testing.T) {
		r := good()
		for i := range maxAfterQuarantine + 1 {
			r.addFatalCall(at(10*time.Second+time.Duration(i)), true)
		}
		assert.Equal(t, 1, judged(r))
	})
	t.Run("what is sent before is", func(t *testing.T) {
		r := good()
		for i := range maxAfterQuarantine + 1 {
			r.addFatalCall(at(2*time.Second+settleTime-time.Duration(i)), true)
		}
		assert.Zero(t, judged(r))
	})
	t.Run("an entry that has just stood still counts for nothing", func(t *testing.T) {
		r := good()
		r.updateEntry(func(h *processHistory) { h.Outages = []interval{{at(9 * time.Second), at(9 * time.Second)}} })
		for i := range maxAfterQuarantine + 1 {
			r.addFatalCall(at(10*time.Second+time.Duration(i)), true)
		}
		assert.Zero(t, judged(r))
	})
	heldBack := func(r *observations, from, to time.Duration) {
		for d := from; d <= to; d += time.Second {
			r.Calls = append(r.Calls, callRecord{ID: "x", Kind: kindOnce, Status: 502, Body: quarantinedBody + "\n", EndedAt: at(d)})
		}
	}
	answered := func(r *observations) {
		r.Calls = append(r.Calls, callRecord{ID: "a", Kind: kindOnce, Status: 200, EndedAt: at(-time.Second)})
	}
	t.Run("one that was never answered can't be told from a fatal one", func(t *testing.T) {
		r := good()
		heldBack(r, 0, maxQuarantine+time.Second)
		assert.Zero(t, judged(r))
	})
	t.Run("another request that is held back for long is found", func(t *testing.T) {
		r := good()
		answered(r)
		heldBack(r, 0, maxQuarantine+time.Second)
		assert.Equal(t, 1, judged(r))
	})
	t.Run("one that is held back for moments is none", func(t *testing.T) {
		r := good()
		answered(r)
		heldBack(r, 0, maxQuarantine/2)
		r.Calls = append(r.Calls, callRecord{ID: "y", Kind: kindOnce, Status: 200, EndedAt: at(maxQuarantine/2 + 1)})
		heldBack(r, maxQuarantine/2+time.Second, maxQuarantine+time.Second)
		assert.Zero(t, judged(r))
	})
}

// addFatalCall adds a addFatalCall of a fatal request, which ends its runner or not.
func (r *observations) addFatalCall(at time.Time, kills bool) {
	id := strconv.Itoa(len(r.Calls))
	r.Calls = append(r.Calls, callRecord{ID: id, Kind: kindOnce, Fatal: "fatal-1", SentAt: at})
	r.Executions = append(r.Executions, execution{ID: id, Fatal: "fatal-1", StartedAt: at, EndedAt: at, Killed: kills})
}
