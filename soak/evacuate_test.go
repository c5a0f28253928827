package main

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEvacuations evacuates half of the runners, while entries and agents are killed, stopped and stand still, and the store is away.
func TestEvacuations(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r := playFaults(t, binary, seed, 4, evacuationFaults)
			require.NotEmpty(t, r.Evacuated)
			assert.Empty(t, judge(r, false))
		})
	}
}

// TestJudgeEvacuations holds runs against when their zone was evacuated.
func TestJudgeEvacuations(t *testing.T) {
	start := time.Unix(1000, 0)
	judged := func(one run, outage span) int {
		r := &record{
			Calls:     []call{{ID: "c", Sent: one.At}},
			Runs:      []run{one},
			Evacuated: []span{{From: start, To: start.Add(time.Minute)}},
			Entries:   map[int]history{0: {Lives: []life{{Started: start.Add(-time.Hour)}}, Outages: []span{outage}}},
		}
		n := 0
		r.judgeEvacuations(func(string, ...any) { n++ })
		return n
	}
	reach := func(zone string, after time.Duration) run { return run{ID: "c", Zone: zone, At: start.Add(after)} }
	t.Run("what reaches the zone within the bound is allowed", func(t *testing.T) {
		assert.Zero(t, judged(reach(farZone, evacuatedWithin), span{}))
	})
	t.Run("what reaches it later is not", func(t *testing.T) {
		assert.Equal(t, 1, judged(reach(farZone, evacuatedWithin+1), span{}))
	})
	t.Run("nor does another zone's runner count, nor the end of the evacuation", func(t *testing.T) {
		assert.Zero(t, judged(reach(nearZone, evacuatedWithin+1), span{}))
		assert.Zero(t, judged(reach(farZone, time.Minute), span{}))
	})
	t.Run("an entry that has just stood still counts for nothing", func(t *testing.T) {
		at := start.Add(evacuatedWithin)
		assert.Zero(t, judged(reach(farZone, evacuatedWithin+time.Second), span{at, at}))
	})
}
