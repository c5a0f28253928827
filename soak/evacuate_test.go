package main

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEvacuatedZoneGetsNoRequests evacuates half of the runners, while entries and agents are killed, stopped and stand still, and the store is away.
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

// TestRequestToEvacuatedZoneIsReported holds runs against when their zone was evacuated.
func TestRequestToEvacuatedZoneIsReported(t *testing.T) {
	start := time.Unix(1000, 0)
	judged := func(one execution, outage interval) int {
		r := &observations{
			Calls:       []callRecord{{ID: "c", SentAt: one.StartedAt}},
			Executions:  []execution{one},
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
	t.Run("what reaches the zone within the bound is allowed", func(t *testing.T) {
		assert.Zero(t, judged(reach(farZone, evacuationDeadline), interval{}))
	})
	t.Run("what reaches it later is not", func(t *testing.T) {
		assert.Equal(t, 1, judged(reach(farZone, evacuationDeadline+1), interval{}))
	})
	t.Run("nor does another zone's runner count, nor the end of the evacuation", func(t *testing.T) {
		assert.Zero(t, judged(reach(nearZone, evacuationDeadline+1), interval{}))
		assert.Zero(t, judged(reach(farZone, time.Minute), interval{}))
	})
	t.Run("an entry that has just stood still counts for nothing", func(t *testing.T) {
		at := start.Add(evacuationDeadline)
		assert.Zero(t, judged(reach(farZone, evacuationDeadline+time.Second), interval{at, at}))
	})
}
