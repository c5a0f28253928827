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
	// fatalFor is how long such a request comes again and again: for some seconds after entries must know it.
	fatalFor = contact + 3*time.Second
	// fatalShare is the part of a fault's length that passes between two of its sends.
	fatalShare = 8
	// mostAfter is how many sends may reach runners once entries must know the request.
	mostAfter = 3
	// heldBackBody is what the answer to a request begins with that is held back.
	heldBackBody = "crashes-runners"
	// releasedWithin is for how long requests that end no runner are held back at the most: those that were under way may end with their runners
	// for as long as the longest streams last, one is tried 1 to 3 s after that, and takes as long again to be whole.
	releasedWithin = longStream + 3*time.Second + longStream
)

// fatalOf names the request where it ends the runners that begin it.
func fatalOf(r *http.Request) string {
	last := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	if !strings.HasPrefix(last, fatalPath) {
		return ""
	}
	return last
}

// endUnder notes a run of a fatal request, and ends its runner by the function and the request with it.
func (l *ledger) endUnder(r run, end func() bool) {
	open := l.begin(r)
	time.Sleep(workTime)
	killed := end()
	open.change(func(r *run) { r.Killed = killed })
	open.end(false)
	panic(http.ErrAbortHandler)
}

// injectFatal has a caller send one fatal request again and again, to whichever entry the balancer gives.
func (w *world) injectFatal(a action) {
	w.later(0, func() {
		one := &caller{callers: w.callers}
		one.client = &http.Client{Timeout: giveUp, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: one.dial}}
		name := fmt.Sprint(fatalPath, w.callers.next.Add(1))
		for until := time.Now().Add(fatalFor); time.Now().Before(until); time.Sleep(a.For / fatalShare) {
			one.one(kinds[a.Which%len(kinds)], keptKey, name)
		}
	})
}

// judgeFatal finds fatal requests that were sent on once entries must have known them, and other requests that were held back.
func (r *record) judgeFatal(add func(string, ...any)) {
	byID := r.callsByID()
	runs := map[string][]run{}
	for _, one := range r.Runs {
		if one.Fatal != "" {
			runs[one.Fatal] = append(runs[one.Fatal], one)
		}
	}
	for name, all := range runs {
		known := knownFrom(all)
		late := slices.DeleteFunc(slices.Clone(all), func(one run) bool {
			c := byID[one.ID]
			return known.IsZero() || !one.At.After(known) || c == nil || r.outOfTouch(c, one.At)
		})
		if len(late) > mostAfter {
			add("request %s ended %d runners and was sent %d times once that had to be known", name, killed(all), len(late))
		}
	}
	r.judgeHeldBack(add)
}

// same are the requests that a runner can't tell apart: callers of a kind send the same bytes.
type same struct {
	Kind kind
	Key  string
}

// judgeHeldBack finds requests that end no runner and were held back for long, though runners had answered them before. One of them is under
// way at each runner that ends, so that for a moment they can't be told from one that ends it; and those of which none was ever answered are
// like one that ends runners in all that entries see.
func (r *record) judgeHeldBack(add func(string, ...any)) {
	since := map[same]time.Time{}
	answered := map[same]bool{}
	for _, c := range r.innocent() {
		s := same{c.Kind, c.Key}
		answered[s] = answered[s] || c.Status == statusOK && !c.Cut
		if !answered[s] {
			continue
		}
		if !strings.HasPrefix(c.Body, heldBackBody) {
			delete(since, s)
			continue
		}
		first, known := since[s]
		if !known {
			since[s] = c.Ended
			continue
		}
		if held := c.Ended.Sub(first); held > releasedWithin {
			add("request %s of kind %s, like others for %s, was held back, and ends no runner", c.ID, c.Kind, held)
		}
	}
}

// innocent are the calls that end no runner, in the order of their ends.
func (r *record) innocent() []*call {
	var calls []*call
	for i := range r.Calls {
		if c := &r.Calls[i]; c.Fatal == "" {
			calls = append(calls, c)
		}
	}
	slices.SortFunc(calls, func(a, b *call) int { return a.Ended.Compare(b.Ended) })
	return calls
}

// knownFrom is when entries have to know a request that has ended so many runners, zero where it has not.
func knownFrom(runs []run) time.Time {
	var ended []time.Time
	for _, one := range runs {
		if one.Killed {
			ended = append(ended, one.Until)
		}
	}
	slices.SortFunc(ended, time.Time.Compare)
	if len(ended) < poison.MaxCrashes {
		return time.Time{}
	}
	return ended[poison.MaxCrashes-1].Add(contact)
}

// killed is how many runners the runs have ended.
func killed(runs []run) int {
	n := 0
	for _, one := range runs {
		if one.Killed {
			n++
		}
	}
	return n
}
