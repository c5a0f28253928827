package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rillreach/rillreach/poison"
)

const (
	// fatalPath is the prefix of the last path segment of a fatal request.
	fatalPath = "fatal-"
	// fatalDuration is how long a fatal request is repeated. It lasts a few seconds beyond the time by which entries
	// must have quarantined it.
	fatalDuration = settleTime + 3*time.Second
	// fatalShare divides the duration of the fault into the pauses between two repetitions of the request.
	fatalShare = 8
	// maxRequestCrashes is the number of crashes under a request after which entries must know it.
	maxRequestCrashes = poison.MaxCrashes
	// maxAfterQuarantine is the number of repetitions that may reach runners after the request must be quarantined.
	maxAfterQuarantine = 3
	// quarantinedBody is the prefix of the response to a quarantined request.
	quarantinedBody = "crashes-runners"
	// maxQuarantine is the maximum time for which requests that crash no runner are quarantined. Those in progress may
	// end with their runners for as long as the longest streams last. One is tried 1 to 3 s after that, and takes as
	// long again to complete.
	maxQuarantine = longStream + 3*time.Second + longStream
)

// fatalName returns the name of a request that crashes the runners that start it, and an empty string for other
// requests.
func fatalName(r *http.Request) string {
	last := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	if !strings.HasPrefix(last, fatalPath) {
		return ""
	}
	return last
}

// crashRunner records an execution of a fatal request, crashes its runner with the given function, and aborts the
// request.
func (l *eventLog) crashRunner(r execution, end func(label string) bool) {
	open := l.beginExecution(r)
	time.Sleep(workTime)
	killed := end(r.Runner)
	open.update(func(r *execution) { r.Killed = killed })
	open.end(false)
	panic(http.ErrAbortHandler)
}

// replacePollInterval is the interval at which a fatal request checks whether it can end its run.
const replacePollInterval = time.Millisecond

// endOnce calls replace, with replaceMu held, to end the run with the given label and to start another. If the run is
// being ended already, it waits until its connections are closed. It reports whether it has called replace.
func (l *eventLog) endOnce(label string, replaceMu *sync.Mutex, replace func() bool) bool {
	for !replaceMu.TryLock() {
		if l.isClosed(label) {
			return false
		}
		time.Sleep(replacePollInterval)
	}
	if l.isClosed(label) {
		replaceMu.Unlock()
		return false
	}
	return replace()
}

// injectFatal makes a caller repeat one fatal request, each time to the entry that the balancer chooses.
func (c *cluster) injectFatal(a action) {
	c.schedule(0, func() {
		sender := c.newFatalSender()
		name := fmt.Sprint(fatalPath, c.callers.nextID.Add(1))
		for until := time.Now().Add(fatalDuration); time.Now().Before(until); time.Sleep(a.Duration / fatalShare) {
			sender.call(kinds[a.Target%len(kinds)], permanentKey, name)
		}
	})
}

// newFatalSender returns a caller that opens a connection for each request.
func (c *cluster) newFatalSender() *caller {
	sender := &caller{callers: c.callers}
	sender.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: sender.dial}}
	return sender
}

// checkFatalRequests reports fatal requests, and requests with fatal parts, that were sent to runners after they had to be
// quarantined, and other requests that were quarantined.
func (r *observations) checkFatalRequests(report func(string, ...any)) {
	byID := r.callsByID()
	byName := map[string][]execution{}
	for _, e := range r.Executions {
		if e.Fatal != "" {
			byName[e.Fatal] = append(byName[e.Fatal], e)
		}
	}
	for name, all := range byName {
		deadline := quarantineDeadline(all, crashLimit(name))
		late := slices.DeleteFunc(slices.Clone(all), func(e execution) bool {
			c := byID[e.ID]
			return deadline.IsZero() || !e.StartedAt.After(deadline) || c == nil || r.entryDisconnected(c, e.StartedAt)
		})
		if len(late) > maxAfterQuarantine {
			report("request %s ended %d runners and was sent %d times once that had to be known", name, countKilled(all), len(late))
		}
	}
	r.checkQuarantined(report)
}

// requestGroup identifies requests that a runner cannot tell apart, since callers send the same bytes for the same kind
// and key.
type requestGroup struct {
	Kind kind
	Key  string
}

// checkQuarantined reports requests that crash no runner and were quarantined for too long, though runners had answered
// equal requests before. Such requests are in progress at every runner that crashes, so that for a short time entries
// cannot tell them from the request that causes the crash. Requests that were never answered look like fatal ones to
// entries and are ignored.
func (r *observations) checkQuarantined(report func(string, ...any)) {
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
			report("request %s of kind %s, like others for %s, was held back, and ends no runner", c.ID, c.Kind, held)
		}
	}
}

// nonFatalCalls returns the calls that crash no runner, ordered by their end.
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

// quarantineDeadline returns the time by which entries must quarantine what has crashed the limit of runners, or the zero
// time if it has not crashed as many.
func quarantineDeadline(executions []execution, limit int) time.Time {
	var ended []time.Time
	for _, e := range executions {
		if e.Killed {
			ended = append(ended, e.EndedAt)
		}
	}
	slices.SortFunc(ended, time.Time.Compare)
	if len(ended) < limit {
		return time.Time{}
	}
	return ended[limit-1].Add(settleTime)
}

// countKilled returns the number of runners that the executions crashed.
func countKilled(executions []execution) int {
	n := 0
	for _, e := range executions {
		if e.Killed {
			n++
		}
	}
	return n
}
