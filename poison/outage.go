package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// outageWithin is within which time runs end in an outage. Repeats of a request that ends them come after its answer, and take longer.
	outageWithin = 200 * time.Millisecond
	// outageShare is which part of a service's runs end in an outage, as its denominator, and outageLeast how many at the least.
	outageShare = 2
	outageLeast = 3
)

// OutageDetector tells runs that end together, for a reason of their own, from those that a request ends one after the other. Its zero value is ready,
// and it may be used by several goroutines.
type OutageDetector struct {
	mu     sync.Mutex
	latest map[rillreach.ServiceID][]ended
}

// ended is a crash that was seen a short time ago.
type ended struct {
	at    time.Time
	crash Crash
}

// Observe takes a crash at a service with so many listed runs, and returns the crashes that turn out to be those of an outage.
func (o *OutageDetector) Observe(now time.Time, service rillreach.ServiceID, listed int, crash Crash) []Crash {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.latest == nil {
		o.latest = map[rillreach.ServiceID][]ended{}
	}
	latest := slices.DeleteFunc(o.latest[service], func(e ended) bool { return now.Sub(e.at) > outageWithin })
	latest = append(latest, ended{at: now, crash: crash})
	o.latest[service] = latest
	if runs := countRuns(latest); runs < outageLeast || runs*outageShare < listed {
		return nil
	}
	crashes := make([]Crash, 0, len(latest))
	for _, e := range latest {
		e.crash.Age = now.Sub(e.at)
		e.crash.Outage = true
		crashes = append(crashes, e.crash)
	}
	return crashes
}

// countRuns is how many runs have ended.
func countRuns(latest []ended) int {
	runs := map[rillreach.InstanceRun]struct{}{}
	for _, e := range latest {
		runs[rillreach.InstanceRun{ID: e.crash.Runner, Generation: e.crash.Generation}] = struct{}{}
	}
	return len(runs)
}
