package main

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFatalRequestsAreQuarantined guards against fatal requests that reach runners again and again, and against other
// requests being quarantined, while entries and agents are killed and paused.
func TestFatalRequestsAreQuarantined(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			assert.Empty(t, checkGuarantees(runFaults(t, binary, seed, 6, fatalFaults), false))
		})
	}
}

// TestFatalPartsAreQuarantined guards against parts of prompts that crash runner after runner, and against other requests
// being quarantined for them, while entries and agents are killed and paused.
func TestFatalPartsAreQuarantined(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			assert.Empty(t, checkGuarantees(runFaults(t, binary, seed, 6, fatalPartFaults), false))
		})
	}
}

// runFaults runs a schedule of the given faults with the given number of runners and as many engines.
func runFaults(t *testing.T, binary string, seed uint64, runners int, from []fault) *observations {
	t.Helper()
	c, err := newCluster(binary, t.TempDir(), clusterSize{Entries: 3, Runners: runners, Callers: 30}, t.Logf)
	require.NoError(t, err)
	defer c.close()
	return c.run(engineSchedule(seed, shortLength, from), shortLength)
}

// TestFatalRequestSentAgainIsReported checks executions of a fatal request against the time by which entries must have
// quarantined it.
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
	violations := func(r *observations) int {
		n := 0
		r.checkFatalRequests(func(string, ...any) { n++ })
		return n
	}
	t.Run("three requests after the deadline are allowed", func(t *testing.T) {
		r := good()
		for i := range maxAfterQuarantine {
			r.addFatalCall(at(10*time.Second+time.Duration(i)), false)
		}
		assert.Zero(t, violations(r))
	})
	t.Run("a fourth request is reported", func(t *testing.T) {
		r := good()
		for i := range maxAfterQuarantine + 1 {
			r.addFatalCall(at(10*time.Second+time.Duration(i)), true)
		}
		assert.Equal(t, 1, violations(r))
	})
	t.Run("requests before the deadline are allowed", func(t *testing.T) {
		r := good()
		for i := range maxAfterQuarantine + 1 {
			r.addFatalCall(at(2*time.Second+settleTime-time.Duration(i)), true)
		}
		assert.Zero(t, violations(r))
	})
	t.Run("requests of an entry that was just paused are ignored", func(t *testing.T) {
		r := good()
		r.updateEntry(func(h *processHistory) { h.Outages = []interval{{at(9 * time.Second), at(9 * time.Second)}} })
		for i := range maxAfterQuarantine + 1 {
			r.addFatalCall(at(10*time.Second+time.Duration(i)), true)
		}
		assert.Zero(t, violations(r))
	})
	heldBack := func(r *observations, from, to time.Duration) {
		for d := from; d <= to; d += time.Second {
			r.Calls = append(r.Calls, callRecord{ID: "x", Kind: kindOnce, Status: 502, Body: quarantinedBody + "\n", EndedAt: at(d)})
		}
	}
	answered := func(r *observations) {
		r.Calls = append(r.Calls, callRecord{ID: "a", Kind: kindOnce, Status: 200, EndedAt: at(-time.Second)})
	}
	t.Run("a quarantined request that was never answered is ignored", func(t *testing.T) {
		r := good()
		heldBack(r, 0, maxQuarantine+time.Second)
		assert.Zero(t, violations(r))
	})
	t.Run("a request that is quarantined for too long is reported", func(t *testing.T) {
		r := good()
		answered(r)
		heldBack(r, 0, maxQuarantine+time.Second)
		assert.Equal(t, 1, violations(r))
	})
	t.Run("a request that is quarantined for a short time is ignored", func(t *testing.T) {
		r := good()
		answered(r)
		heldBack(r, 0, maxQuarantine/2)
		r.Calls = append(r.Calls, callRecord{ID: "y", Kind: kindOnce, Status: 200, EndedAt: at(maxQuarantine/2 + 1)})
		heldBack(r, maxQuarantine/2+time.Second, maxQuarantine+time.Second)
		assert.Zero(t, violations(r))
	})
}

// addFatalCall adds a fatal request that reaches a runner, and crashes it if kills is true.
func (r *observations) addFatalCall(at time.Time, kills bool) {
	id := strconv.Itoa(len(r.Calls))
	r.Calls = append(r.Calls, callRecord{ID: id, Kind: kindOnce, Fatal: "fatal-1", SentAt: at})
	r.Executions = append(r.Executions, execution{ID: id, Fatal: "fatal-1", StartedAt: at, EndedAt: at, Killed: kills})
}
