package main

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRestores has the store come back from copies, while keys are taken away and added routes are asked for, and entries and agents are killed and stand still.
func TestRestores(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r := playFaults(t, binary, seed, 4, restoreFaults)
			require.NotEmpty(t, r.Probes)
			assert.Empty(t, judge(r, false))
		})
	}
}

// TestJudgeProbes holds what entries say against the configurations that have to be in force.
func TestJudgeProbes(t *testing.T) {
	start := time.Unix(1000, 0)
	judged := func(status int, away span) int {
		r := &record{
			Probes:  []probe{{Version: 3, Acked: start, At: start.Add(applyWithin), Status: status}},
			CutOff:  map[int][]span{0: {away}},
			Entries: map[int]history{0: {Lives: []life{{Started: start.Add(-time.Hour)}}}},
		}
		n := 0
		r.judgeProbes(func(string, ...any) { n++ })
		return n
	}
	t.Run("a route that is known is in force", func(t *testing.T) {
		assert.Zero(t, judged(http.StatusUnauthorized, span{}))
	})
	t.Run("one that isn't known is not", func(t *testing.T) {
		assert.Equal(t, 1, judged(http.StatusNotFound, span{}))
	})
	t.Run("while the store has just been away nothing is said", func(t *testing.T) {
		assert.Zero(t, judged(http.StatusNotFound, span{start, start}))
	})
}
