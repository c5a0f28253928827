package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// outageWindow is the period within which the runs of an outage end. It is shorter than the interval between
	// crashes that the retries of one request cause, since each retry follows the response to the attempt before.
	outageWindow = 200 * time.Millisecond
	// In an outage, at least 1/outageDivisor of a service's runs end, and at least minOutageRuns.
	outageDivisor = 2
	minOutageRuns = 3
)

// OutageDetector detects when many runs of a service end at the same time. That points to an external cause, whereas a
// request that crashes runners ends them one after the other. The zero value is ready to use, and it is safe for
// concurrent use.
type OutageDetector struct {
	mu     sync.Mutex
	recent map[rillreach.ServiceID][]recentCrash
}

// recentCrash is a crash and the time when it was observed.
type recentCrash struct {
	at    time.Time
	crash Crash
}

// Observe records a crash at a service that has listedRuns runs. If the recent crashes amount to an outage, it returns
// all of them with Outage set.
func (o *OutageDetector) Observe(now time.Time, service rillreach.ServiceID, listedRuns int, crash Crash) []Crash {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recent == nil {
		o.recent = map[rillreach.ServiceID][]recentCrash{}
	}
	recent := slices.DeleteFunc(o.recent[service], func(e recentCrash) bool { return now.Sub(e.at) > outageWindow })
	recent = append(recent, recentCrash{at: now, crash: crash})
	o.recent[service] = recent
	if runs := countRuns(recent); runs < minOutageRuns || runs*outageDivisor < listedRuns {
		return nil
	}
	crashes := make([]Crash, 0, len(recent))
	for _, e := range recent {
		e.crash.Age = now.Sub(e.at)
		e.crash.Outage = true
		crashes = append(crashes, e.crash)
	}
	return crashes
}

// countRuns returns the number of distinct runs that have crashed.
func countRuns(crashes []recentCrash) int {
	runs := map[rillreach.InstanceRun]struct{}{}
	for _, e := range crashes {
		runs[e.crash.run()] = struct{}{}
	}
	return len(runs)
}
