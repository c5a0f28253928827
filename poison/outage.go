package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// outageMemory is how long after a crash others may still become known that happened at the same time.
	outageMemory = 30 * time.Second
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

// Observe records a crash at a service that has listedRuns runs. If the crashes around the time of the crash amount to an
// outage, it returns all of them with Outage set.
func (o *OutageDetector) Observe(now time.Time, service rillreach.ServiceID, listedRuns int, crash Crash) []Crash {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recent == nil {
		o.recent = map[rillreach.ServiceID][]recentCrash{}
	}
	at := now.Add(-crash.Age)
	recent := slices.DeleteFunc(o.recent[service], func(e recentCrash) bool { return now.Sub(e.at) > outageMemory })
	recent = append(recent, recentCrash{at: at, crash: crash})
	o.recent[service] = recent
	first, runs := densestWindow(recent, at)
	if runs < minOutageRuns || runs*outageDivisor < listedRuns {
		return nil
	}
	var crashes []Crash
	for _, e := range recent {
		if after := e.at.Sub(first); after < 0 || after > outageWindow {
			continue
		}
		e.crash.Age = now.Sub(e.at)
		e.crash.Outage = true
		crashes = append(crashes, e.crash)
	}
	return crashes
}

// densestWindow returns the start of the outageWindow that includes a time and in which most runs have ended, and their
// number.
func densestWindow(crashes []recentCrash, around time.Time) (start time.Time, runs int) {
	ends := map[rillreach.InstanceRun]time.Time{}
	for _, e := range crashes {
		if known, ok := ends[e.crash.run()]; !ok || e.at.Before(known) {
			ends[e.crash.run()] = e.at
		}
	}
	for _, first := range ends {
		if first.After(around) || around.Sub(first) > outageWindow {
			continue
		}
		n := 0
		for _, end := range ends {
			if after := end.Sub(first); after >= 0 && after <= outageWindow {
				n++
			}
		}
		if n > runs {
			start, runs = first, n
		}
	}
	return start, runs
}
