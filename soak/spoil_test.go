package main

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSpoiledAnswersStayAtEntry guards against answers that no runner has sealed, and against bytes without end, while entries
// and agents are killed, paused and stopped and runners crash.
func TestSpoiledAnswersStayAtEntry(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r := runFaults(t, binary, seed, 4, spoilFaults)
			require.Positive(t, r.spoiledCount())
			assert.Empty(t, checkGuarantees(r, false))
		})
	}
}

// spoiledCount returns how many answers were spoiled.
func (r *observations) spoiledCount() int {
	count := 0
	for i := range r.Executions {
		if r.Executions[i].Spoiled {
			count++
		}
	}
	return count
}
