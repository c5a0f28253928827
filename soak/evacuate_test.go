package main

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEvacuatedZoneGetsNoRequests guards against requests to an evacuated zone while entries and agents are killed,
// stopped and paused and the store fails. The zone holds half of the runners.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r := runFaults(t, binary, seed, 4, evacuationFaults)
			require.NotEmpty(t, r.Evacuations)
			assert.Empty(t, checkGuarantees(r, false))
		})
	}
}

// TestRequestToEvacuatedZoneIsReported checks the time of executions against the evacuation of their zone.
func TestRequestToEvacuatedZoneIsReported(t *testing.T) {
	start := time.Unix(1000, 0)
	violations := func(e execution, outage interval) int {
		r := &observations{
			Calls:       []callRecord{{ID: "c", SentAt: e.StartedAt}},
			Executions:  []execution{e},
			Evacuations: []interval{{From: start, To: start.Add(time.Minute)}},
			Entries:     map[int]processHistory{0: {Lifetimes: []processLifetime{{Started: start.Add(-time.Hour)}}, Outages: []interval{outage}}},
		}
		n := 0
		r.checkEvacuations(func(string, ...any) { n++ })
		return n
	}
	reach := func(zone string, after time.Duration) execution {
		return execution{ID: "c", Zone: zone, StartedAt: start.Add(after)}
	}
	t.Run("requests before the deadline are allowed", func(t *testing.T) {
		assert.Zero(t, violations(reach(farZone, evacuationDeadline), interval{}))
	})
	t.Run("a request after the deadline is reported", func(t *testing.T) {
		assert.Equal(t, 1, violations(reach(farZone, evacuationDeadline+1), interval{}))
	})
	t.Run("requests to another zone or after the evacuation are allowed", func(t *testing.T) {
		assert.Zero(t, violations(reach(nearZone, evacuationDeadline+1), interval{}))
		assert.Zero(t, violations(reach(farZone, time.Minute), interval{}))
	})
	t.Run("requests of an entry that was just paused are ignored", func(t *testing.T) {
		at := start.Add(evacuationDeadline)
		assert.Zero(t, violations(reach(farZone, evacuationDeadline+time.Second), interval{at, at}))
	})
}
