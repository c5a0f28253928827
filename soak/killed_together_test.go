package main

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// killEntries returns the actions that kill all entries at the same time.
func killEntries(at time.Duration, entries int) []action {
	actions := make([]action, entries)
	for i := range actions {
		actions[i] = action{At: at, Fault: faultKill, Target: i}
	}
	return actions
}

// replaceSoftware returns the actions that replace runners by ones of the other software version.
func replaceSoftware(at time.Duration, targets ...int) []action {
	actions := make([]action, len(targets))
	for i, target := range targets {
		actions[i] = action{At: at, Fault: faultReplaceSoftware, Target: target}
	}
	return actions
}

// Guards against streams that hold events of two software versions since all entries were killed together, just after or
// just before the runners of the version that began them had left.
func TestEntriesKilledAroundSoftwareReplacement(t *testing.T) {
	size := clusterSize{Entries: 3, Runners: 4, Callers: 30, Versions: true}
	const (
		firstReplacement  = 2 * time.Second
		secondReplacement = 7 * time.Second
		margin            = 100 * time.Millisecond
	)
	actions := slices.Concat(
		replaceSoftware(firstReplacement, 0, 2),
		killEntries(firstReplacement+leaveDuration+margin, size.Entries),
		replaceSoftware(secondReplacement, 0, 1, 2, 3),
		killEntries(secondReplacement+leaveDuration-margin, size.Entries),
	)
	c, err := newCluster(buildProgram(t), t.TempDir(), size, t.Logf)
	require.NoError(t, err)
	defer c.close()
	observed := c.run(actions, shortLength)
	assert.Empty(t, checkGuarantees(observed, false))
	takenUp := 0
	for i := range observed.Calls {
		if observed.Calls[i].Resumes != "" {
			takenUp++
		}
	}
	t.Logf("%d streams were taken up", takenUp)
	assert.Positive(t, takenUp, "no stream was taken up")
}
