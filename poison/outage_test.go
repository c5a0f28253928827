package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestOutages ends runs of a service with six runs at the given times, and checks how many crashes the last one marks
// as part of an outage.
func TestOutages(t *testing.T) {
	const listed = 6
	for name, c := range map[string]struct {
		crashTimesMS []int
		outage       int
	}{
		"half of the runs at once":             {crashTimesMS: []int{0, 50, 150}, outage: 3},
		"fewer than half of the runs":          {crashTimesMS: []int{0, 50}},
		"half of the runs one after the other": {crashTimesMS: []int{0, 300, 600}},
		"half of the runs, one of them later":  {crashTimesMS: []int{0, 50, 300}},
	} {
		t.Run(name, func(t *testing.T) {
			var o OutageDetector
			var found []Crash
			for i, ms := range c.crashTimesMS {
				found = o.Observe(start.Add(time.Duration(ms)*time.Millisecond), "s", listed, testCrash(1, fmt.Sprint("r", i)))
			}
			assert.Len(t, found, c.outage)
			for _, f := range found {
				assert.True(t, f.Outage)
			}
		})
	}
	t.Run("runs that ended at once, which becomes known one after the other", func(t *testing.T) {
		var o OutageDetector
		var found []Crash
		for i := range 3 {
			c := testCrash(1, fmt.Sprint("r", i))
			c.Age = time.Duration(i) * time.Second
			found = o.Observe(start.Add(c.Age), "s", listed, c)
		}
		assert.Len(t, found, 3)
	})
	t.Run("runs that ended one after the other, which becomes known at once", func(t *testing.T) {
		var o OutageDetector
		for i := range 3 {
			c := testCrash(1, fmt.Sprint("r", i))
			c.Age = time.Duration(i) * time.Second
			assert.Empty(t, o.Observe(start, "s", listed, c))
		}
	})
	t.Run("one run with many requests is no outage", func(t *testing.T) {
		var o OutageDetector
		for i := range listed {
			assert.Empty(t, o.Observe(start, "s", 1, testCrash(i, "r")))
		}
	})
}

// TestTrialAfterOutage checks that a request whose crashes all belong to an outage gets trials, and that it gets no
// more once the trials themselves have crashed as many runners.
func TestTrialAfterOutage(t *testing.T) {
	const request = 1
	var tracker Tracker
	now := start
	for i := range MaxCrashes {
		c := testCrash(request, fmt.Sprint("r", i))
		c.Outage = true
		tracker.Record(now, c)
	}
	assert.Equal(t, VerdictQuarantine, tracker.Decide(now, testCrash(request, "").Request), "not before the first trial delay, so that runners can restart")
	for i := range MaxCrashes {
		now = now.Add(time.Minute)
		assert.Equal(t, VerdictTrial, tracker.Decide(now, testCrash(request, "").Request))
		c := testCrash(request, fmt.Sprint("trial", i))
		c.Trial = true
		tracker.Record(now, c)
	}
	now = now.Add(Window - time.Minute*(MaxCrashes+1))
	assert.Equal(t, VerdictQuarantine, tracker.Decide(now, testCrash(request, "").Request), "each trial crashed its runner")
}
