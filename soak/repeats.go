package main

import (
	"net/http"
	"slices"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// The platform's retry budget, as in the settings of the processes.
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 54
	// servedOf is the number of requests of which an overloaded service serves one.
	servedOf = 10
)

// faultOverload is drawn only together with the other repeatFaults.
const faultOverload fault = "all runners refuse most requests"

// repeatFaults are the faults under which all entries together must keep to the retry budget.
var repeatFaults = []fault{
	faultOverload, faultOverload, faultKillSeries, faultKillSeries, faultKill, faultKill, faultStop, faultStopAll, faultPause, faultAgentKill, faultAgentsStop, faultAgentPause, faultAgentStoreSilent,
	faultCrash, faultEngineCrash, faultReset, faultEngineReset, faultSilence, faultStoreDown, faultStoreSilent, faultWeights,
}

// overload makes all runners refuse most requests for the given time.
func (l *eventLog) overload(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overloadedUntil = time.Now().Add(d)
}

// refuseOverload refuses the request if its runner is overloaded, and reports whether it does. A runner refuses the same
// requests each time.
func (l *eventLog) refuseOverload(a arrival, w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	overloaded := a.At.Before(l.overloadedUntil)
	l.mu.Unlock()
	if !overloaded || idHash(a.ID+a.Runner)%servedOf == 0 {
		return false
	}
	site.WriteNotExecuted(w, r)
	return true
}

// checkRetryBudget reports the window in which the repeats at the runners of a service exceed by most what the platform
// allows to all entries together.
func (r *observations) checkRetryBudget(report func(string, ...any)) {
	for service, engines := range map[string]bool{plainService: false, engineService: true} {
		requests, repeats := r.requestsAndRepeats(engines)
		worst, allowedThen, begin := 0, 0.0, time.Time{}
		for _, from := range repeats {
			sent, allowed := countWithin(repeats, from), retryRatio*float64(mostRequests(requests, from))+retrySlack
			if float64(sent) > allowed && float64(sent)-allowed > float64(worst)-allowedThen {
				worst, allowedThen, begin = sent, allowed, from
			}
		}
		if worst > 0 {
			report("service %s: %d repeats in the window from %s, %.0f are allowed", service, worst, begin.Format("15:04:05.000"), allowedThen)
		}
	}
}

// requestsAndRepeats returns, in order, when callers sent requests to engines or to plain runners, and when such requests
// arrived at runners for the second time or later.
func (r *observations) requestsAndRepeats(engines bool) (requests, repeats []time.Time) {
	sent := map[string]bool{}
	for i := range r.Calls {
		if c := &r.Calls[i]; c.Kind.engines() == engines {
			requests = append(requests, c.SentAt)
			sent[c.ID] = true
		}
	}
	arrivals := slices.Clone(r.Arrivals)
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	for _, a := range arrivals {
		if !sent[a.ID] {
			continue
		}
		if seen[a.ID] {
			repeats = append(repeats, a.At)
		}
		seen[a.ID] = true
	}
	slices.SortFunc(requests, time.Time.Compare)
	return requests, repeats
}

// mostRequests returns the number of requests in the window that begins at the given time, in the one before it, or in the
// one that begins half a window before it, whichever has most.
func mostRequests(requests []time.Time, from time.Time) int {
	return max(countWithin(requests, from), countWithin(requests, from.Add(-retryWindow/2)), countWithin(requests, from.Add(-retryWindow)))
}

// countWithin returns how many of the times, which are in order, lie in the window that begins at the given one.
func countWithin(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return end - first
}
