package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rillreach/rillreach/poison"
)

const (
	// fatalPath is what the last part of a fatal request's path begins with.
	fatalPath = "fatal-"
	// fatalDuration is how long such a request comes again and again: for some seconds after entries must know it.
	fatalDuration = settleTime + 3*time.Second
	// fatalShare is the part of a fault's length that passes between two of its sends.
	fatalShare = 8
	// maxAfterQuarantine is how many sends may reach runners once entries must know the request.
	maxAfterQuarantine = 3
	// quarantinedBody is what the answer to a request begins with that is held back.
	quarantinedBody = "crashes-runners"
	// maxQuarantine is for how long requests that end no runner are held back at the most: those that were under way may end with their runners
	// for as long as the longest streams last, one is tried 1 to 3 s after that, and takes as long again to be whole.
	maxQuarantine = longStream + 3*time.Second + longStream
)

// fatalName names the request where it ends the runners that begin it.
func fatalName(r *http.Request) string {
	last := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	if !strings.HasPrefix(last, fatalPath) {
		return ""
	}
	return last
}

// crashRunner notes a run of a fatal request, and ends its runner by the function and the request with it.
func (l *eventLog) crashRunner(r execution, end func() bool) {
	open := l.beginExecution(r)
	time.Sleep(workTime)
	killed := end()
	open.update(func(r *execution) { r.Killed = killed })
	open.end(false)
	panic(http.ErrAbortHandler)
}

// injectFatal has a caller send one fatal request again and again, to whichever entry the balancer gives.
func (w *cluster) injectFatal(a action) {
	w.schedule(0, func() {
		one := &caller{callers: w.callers}
		one.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: one.dial}}
		name := fmt.Sprint(fatalPath, w.callers.nextID.Add(1))
		for until := time.Now().Add(fatalDuration); time.Now().Before(until); time.Sleep(a.Duration / fatalShare) {
			one.call(kinds[a.Target%len(kinds)], permanentKey, name)
		}
	})
}

// checkFatalRequests finds fatal requests that were sent on once entries must have known them, and other requests that were held back.
func (r *observations) checkFatalRequests(add func(string, ...any)) {
	byID := r.callsByID()
	runs := map[string][]execution{}
	for _, one := range r.Executions {
		if one.Fatal != "" {
			runs[one.Fatal] = append(runs[one.Fatal], one)
		}
	}
	for name, all := range runs {
		known := quarantineDeadline(all)
		late := slices.DeleteFunc(slices.Clone(all), func(one execution) bool {
			c := byID[one.ID]
			return known.IsZero() || !one.StartedAt.After(known) || c == nil || r.entryDisconnected(c, one.StartedAt)
		})
		if len(late) > maxAfterQuarantine {
			add("request %s ended %d runners and was sent %d times once that had to be known", name, countKilled(all), len(late))
		}
	}
	r.checkQuarantined(add)
}

// requestGroup are the requests that a runner can't tell apart: callers of a kind send the requestGroup bytes.
type requestGroup struct {
	Kind kind
	Key  string
}

// checkQuarantined finds requests that end no runner and were held back for long, though runners had answered them before. One of them is under
// way at each runner that ends, so that for a moment they can't be told from one that ends it; and those of which none was ever answered are
// like one that ends runners in all that entries see.
func (r *observations) checkQuarantined(add func(string, ...any)) {
	since := map[requestGroup]time.Time{}
	answered := map[requestGroup]bool{}
	for _, c := range r.nonFatalCalls() {
		s := requestGroup{c.Kind, c.Key}
		answered[s] = answered[s] || c.Status == statusOK && !c.Truncated
		if !answered[s] {
			continue
		}
		if !strings.HasPrefix(c.Body, quarantinedBody) {
			delete(since, s)
			continue
		}
		first, known := since[s]
		if !known {
			since[s] = c.EndedAt
			continue
		}
		if held := c.EndedAt.Sub(first); held > maxQuarantine {
			add("request %s of kind %s, like others for %s, was held back, and ends no runner", c.ID, c.Kind, held)
		}
	}
}

// nonFatalCalls are the calls that end no runner, in the order of their ends.
func (r *observations) nonFatalCalls() []*callRecord {
	var calls []*callRecord
	for i := range r.Calls {
		if c := &r.Calls[i]; c.Fatal == "" {
			calls = append(calls, c)
		}
	}
	slices.SortFunc(calls, func(a, b *callRecord) int { return a.EndedAt.Compare(b.EndedAt) })
	return calls
}

// quarantineDeadline is when entries have to know a request that has ended so many runners, zero where it has not.
func quarantineDeadline(runs []execution) time.Time {
	var ended []time.Time
	for _, one := range runs {
		if one.Killed {
			ended = append(ended, one.EndedAt)
		}
	}
	slices.SortFunc(ended, time.Time.Compare)
	if len(ended) < poison.MaxCrashes {
		return time.Time{}
	}
	return ended[poison.MaxCrashes-1].Add(settleTime)
}

// countKilled is how many runners the runs have ended.
func countKilled(runs []execution) int {
	n := 0
	for _, one := range runs {
		if one.Killed {
			n++
		}
	}
	return n
}
