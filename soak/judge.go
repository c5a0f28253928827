package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	statusOK = http.StatusOK
	pieces   = 24
	// streamTimeout and plainTimeout are the routes' time-outs, timeoutSlack is what the platform allows beyond them.
	streamTimeout = 7 * time.Second
	plainTimeout  = 3 * time.Second
	timeoutSlack  = 500 * time.Millisecond
	// leaveWithin and keyWithin are how soon a leaving runner gets nothing more and a key is refused.
	leaveWithin = 2 * time.Second
	keyWithin   = 2 * time.Second
	// contact is how long an entry must have been undisturbed for a bound in time to count, backWithin how soon after the
	// last fault requests are served again.
	contact = 3 * time.Second
	// weightsWithin is how soon nothing begins on weights that were replaced, and loadedWithin how soon all engines have the
	// newest, where faults hit engines and agents all the while.
	weightsWithin = 10 * time.Second
	loadedWithin  = 14 * time.Second
	backWithin    = 4 * time.Second
	backShare     = 0.95
)

// resumable reports that requests of the kind may go on at another runner.
func (k kind) resumable() bool { return k == kindStream || k.engines() }

// engines reports that requests of the kind go to engines.
func (k kind) engines() bool { return k == kindPrompt || k == kindChat }

// streams reports that requests of the kind are answered by events.
func (k kind) streams() bool { return k == kindFlow || k.resumable() }

// timeout is the time-out of the kind's route.
func (k kind) timeout() time.Duration {
	if k == kindRepeat || k == kindOnce {
		return plainTimeout
	}
	return streamTimeout
}

// expected is the whole answer to a request.
func expected(id string, k kind) string {
	if k == kindRepeat || k == kindOnce {
		return "answer to " + id
	}
	var b strings.Builder
	for i := 1; i <= pieces; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, i)
	}
	return b.String()
}

// judge lists the promises that were broken; without timed, those that are bound in time are left out, so that the verdict
// does not depend on the machine.
func judge(r *record, timed bool) []string {
	var broken []string
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs := map[string][]run{}
	for _, one := range r.Runs {
		runs[one.ID] = append(runs[one.ID], one)
	}
	for i := range r.Calls {
		c := &r.Calls[i]
		judgeRuns(c, len(runs[c.ID]), add)
		judgeAnswer(c, add)
		r.judgeLost(c, runs[c.ID], timed, add)
		r.judgeGivenUp(c, runs[c.ID], add)
		if timed {
			r.judgeTime(c, add)
			r.judgeKey(c, add)
		}
	}
	r.judgeRefused(runs, add)
	r.judgeOrders(add)
	r.judgeFatal(add)
	r.judgeEvacuations(add)
	r.judgePressure(add)
	r.judgeLives(timed, add)
	if timed {
		r.judgeWeights(add)
		r.judgeLeaving(add)
		r.judgeReturn(add)
		r.judgeProbes(add)
	}
	return broken
}

func (r *record) judgeKey(c *call, add func(string, ...any)) {
	removed, ok := r.Removed[c.Key]
	if ok && c.Sent.After(removed.Add(keyWithin)) && c.Status == statusOK && !r.disturbed(c) {
		add("request %s: its key was taken away %s before", c.ID, c.Sent.Sub(removed))
	}
}

func judgeRuns(c *call, runs int, add func(string, ...any)) {
	if c.Kind.once() && runs > 1 {
		add("request %s of kind %s ran %d times", c.ID, c.Kind, runs)
	}
	if c.Kind.once() && runs > 0 && !c.Cut && (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests) {
		add("request %s: refused with %d, and it ran", c.ID, c.Status)
	}
}

func judgeAnswer(c *call, add func(string, ...any)) {
	if c.Status != statusOK {
		return
	}
	want := expected(c.ID, c.Kind)
	if !c.Cut && c.Body != want {
		add("request %s: answer looks whole and is %q", c.ID, c.Body)
	}
	if c.Cut && !strings.HasPrefix(want, c.Body) {
		add("request %s: what came before the cut is %q", c.ID, c.Body)
	}
}

func (r *record) judgeTime(c *call, add func(string, ...any)) {
	if took := c.Ended.Sub(c.Sent); took > c.Kind.timeout()+timeoutSlack && !r.disturbed(c) {
		add("request %s of kind %s: no final answer for %s", c.ID, c.Kind, took)
	}
}

// disturbed reports that the call's entry was under a fault of its own from shortly before the request to its end.
func (r *record) disturbed(c *call) bool {
	return during(c, r.Disturbed[c.Entry])
}

// judgeOrders holds the orders to each run of an engine against the promises of one holder and of fences that never fall.
func (r *record) judgeOrders(add func(string, ...any)) {
	last := map[string]site.Order{}
	for _, g := range r.Orders {
		before, ok := last[g.Engine]
		if ok && before.Holder != g.Order.Holder {
			add("engine %s got orders of %s and of %s", g.Engine, before.Holder, g.Order.Holder)
		}
		if ok && g.Order.FencingToken < before.FencingToken {
			add("engine %s got fence %d after %d", g.Engine, g.Order.FencingToken, before.FencingToken)
		}
		last[g.Engine] = g.Order
	}
}

// judgeWeights finds requests that began on weights replaced too long ago, and engines that were left with old ones.
func (r *record) judgeWeights(add func(string, ...any)) {
	newest := uint64(0)
	for version := range r.Named {
		newest = max(newest, version)
	}
	byID := r.callsByID()
	for _, one := range r.Runs {
		if c := byID[one.ID]; c != nil && r.outOfTouch(c, one.At) {
			continue // the entry cannot have known when newer weights were named, or could not take the request back
		}
		if at := r.replaced(one.Weights); one.Weights != 0 && !at.IsZero() && one.At.After(at.Add(weightsWithin)) {
			add("request %s began on weights %d at %s, replaced %s before", one.ID, one.Weights, one.Runner, one.At.Sub(at))
		}
	}
	for name, loaded := range r.Loaded {
		if loaded < newest && r.Ended.Sub(r.Named[newest]) > loadedWithin {
			add("engine %s still has weights %d and not %d", name, loaded, newest)
		}
	}
}

// replaced is when the first version newer than the given one was named, zero where there is none.
func (r *record) replaced(weights uint64) time.Time {
	var first time.Time
	for version, at := range r.Named {
		if version > weights && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (r *record) callsByID() map[string]*call {
	byID := map[string]*call{}
	for i := range r.Calls {
		byID[r.Calls[i].ID] = &r.Calls[i]
	}
	return byID
}

// outOfTouch reports that the call's entry had started, stood still or had no object store shortly before it took the request, or did so
// before the request began at a runner.
func (r *record) outOfTouch(c *call, began time.Time) bool {
	concerned := func(s span) bool { return s.From.Before(began) && s.To.Add(contact).After(c.Sent) }
	e := r.Entries[c.Entry]
	return slices.ContainsFunc(e.Outages, concerned) || slices.ContainsFunc(r.CutOff[c.Entry], concerned) ||
		slices.ContainsFunc(e.Lives, func(l life) bool { return concerned(span{From: l.Started, To: l.Started}) })
}

func (r *record) judgeLeaving(add func(string, ...any)) {
	byID := r.callsByID()
	for _, one := range r.Runs {
		left, ok := r.Left[one.Runner]
		if !ok || !one.At.After(left.Add(leaveWithin)) {
			continue
		}
		if c := byID[one.ID]; c != nil && !r.disturbed(c) {
			add("request %s reached runner %s %s after its leaving", one.ID, one.Runner, one.At.Sub(left))
		}
	}
}

func (r *record) judgeReturn(add func(string, ...any)) {
	asked, served := 0, 0
	for i := range r.Calls {
		c := &r.Calls[i]
		if _, gone := r.Removed[c.Key]; gone || c.Fatal != "" || c.Sent.Before(r.Quiet.Add(backWithin)) {
			continue
		}
		asked++
		if c.Status == statusOK && !c.Cut {
			served++
		}
	}
	if asked == 0 || float64(served) < backShare*float64(asked) {
		add("after the last fault %d of %d requests were served", served, asked)
	}
}
