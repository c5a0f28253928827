package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestOutages has runs of a service of six end at given moments, and says how many of the crashes are those of an outage in the end.
func TestOutages(t *testing.T) {
	const listed = 6
	for name, c := range map[string]struct {
		moments []int
		outage  int
	}{
		"half of the runs together":           {moments: []int{0, 50, 150}, outage: 3},
		"fewer":                               {moments: []int{0, 50}},
		"half of the runs one by one":         {moments: []int{0, 300, 600}},
		"half of the runs, the last one late": {moments: []int{0, 50, 300}},
	} {
		t.Run(name, func(t *testing.T) {
			var o OutageDetector
			var found []Crash
			for i, ms := range c.moments {
				found = o.Observe(start.Add(time.Duration(ms)*time.Millisecond), "s", listed, crash(1, fmt.Sprint("r", i)))
			}
			assert.Len(t, found, c.outage)
			for _, f := range found {
				assert.True(t, f.Outage)
			}
		})
	}
	t.Run("one run with many requests is none", func(t *testing.T) {
		var o OutageDetector
		for i := range listed {
			assert.Empty(t, o.Observe(start, "s", 1, crash(i, "r")))
		}
	})
}

// TestTrialAfterOutage: crashes of an outage alone let a request be tried, those that it brings about by itself do not.
func TestTrialAfterOutage(t *testing.T) {
	const request = 1
	var tracker Tracker
	now := start
	for i := range MaxCrashes {
		c := crash(request, fmt.Sprint("r", i))
		c.Outage = true
		tracker.Record(now, c)
	}
	assert.Equal(t, VerdictQuarantine, tracker.Decide(now, crash(request, "").Request), "it waits for runners to come back")
	for i := range MaxCrashes {
		now = now.Add(time.Minute)
		assert.Equal(t, VerdictTrial, tracker.Decide(now, crash(request, "").Request))
		c := crash(request, fmt.Sprint("trial", i))
		c.Trial = true
		tracker.Record(now, c)
	}
	now = now.Add(Window - time.Minute*(MaxCrashes+1))
	assert.Equal(t, VerdictQuarantine, tracker.Decide(now, crash(request, "").Request), "each trial ended its runner")
}
