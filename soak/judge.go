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
	statusOK     = http.StatusOK
	streamEvents = 24
	// streamTimeout and plainTimeout are the routes' time-outs, timeoutSlack is what the platform allows beyond them.
	streamTimeout = 7 * time.Second
	plainTimeout  = 3 * time.Second
	timeoutSlack  = 500 * time.Millisecond
	// leaveWithin and keyWithin are how soon a leaving runner gets nothing more and a key is refused.
	leaveWithin = 2 * time.Second
	keyWithin   = 2 * time.Second
	// settleTime is how long an entry must have been undisturbed for a bound in time to count, backWithin how soon after the
	// last fault requests are served again.
	settleTime = 3 * time.Second
	// weightsWithin is how soon nothing begins on weights that were replaced, and loadedWithin how soon all engines have the
	// newest, where faults hit engines and agents all the while.
	weightsWithin  = 10 * time.Second
	loadedWithin   = 14 * time.Second
	recoveryTime   = 4 * time.Second
	minServedShare = 0.95
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
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, i)
	}
	return b.String()
}

// checkGuarantees lists the promises that were broken; without timed, those that are bound in time are left out, so that the verdict
// does not depend on the machine.
func checkGuarantees(r *observations, timed bool) []string {
	var broken []string
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs := map[string][]execution{}
	for _, one := range r.Executions {
		runs[one.ID] = append(runs[one.ID], one)
	}
	for i := range r.Calls {
		c := &r.Calls[i]
		checkExecutions(c, len(runs[c.ID]), add)
		checkResponse(c, add)
		r.checkDroppedRequest(c, runs[c.ID], timed, add)
		r.checkAbandonedStream(c, runs[c.ID], add)
		if timed {
			r.checkTimeout(c, add)
			r.checkRemovedKey(c, add)
		}
	}
	r.checkRefusedConnections(runs, add)
	r.checkOrders(add)
	r.checkFatalRequests(add)
	r.checkEvacuations(add)
	r.checkBackpressure(add)
	r.checkUnexpectedExits(timed, add)
	if timed {
		r.checkWeights(add)
		r.checkLeaving(add)
		r.checkRecovery(add)
		r.checkProbes(add)
	}
	return broken
}

func (r *observations) checkRemovedKey(c *callRecord, add func(string, ...any)) {
	removed, ok := r.KeysRemoved[c.Key]
	if ok && c.SentAt.After(removed.Add(keyWithin)) && c.Status == statusOK && !r.entryDisturbed(c) {
		add("request %s: its key was taken away %s before", c.ID, c.SentAt.Sub(removed))
	}
}

func checkExecutions(c *callRecord, runs int, add func(string, ...any)) {
	if c.Kind.once() && runs > 1 {
		add("request %s of kind %s ran %d times", c.ID, c.Kind, runs)
	}
	if c.Kind.once() && runs > 0 && !c.Truncated && (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests) {
		add("request %s: refused with %d, and it ran", c.ID, c.Status)
	}
}

func checkResponse(c *callRecord, add func(string, ...any)) {
	if c.Status != statusOK {
		return
	}
	want := expected(c.ID, c.Kind)
	if !c.Truncated && c.Body != want {
		add("request %s: answer looks whole and is %q", c.ID, c.Body)
	}
	if c.Truncated && !strings.HasPrefix(want, c.Body) {
		add("request %s: what came before the cut is %q", c.ID, c.Body)
	}
}

func (r *observations) checkTimeout(c *callRecord, add func(string, ...any)) {
	if took := c.EndedAt.Sub(c.SentAt); took > c.Kind.timeout()+timeoutSlack && !r.entryDisturbed(c) {
		add("request %s of kind %s: no final answer for %s", c.ID, c.Kind, took)
	}
}

// entryDisturbed reports that the call's entry was under a fault of its own from shortly before the request to its end.
func (r *observations) entryDisturbed(c *callRecord) bool {
	return overlapsAny(c, r.Disturbances[c.Entry])
}

// checkOrders holds the orders to each run of an engine against the promises of one holder and of fences that never fall.
func (r *observations) checkOrders(add func(string, ...any)) {
	last := map[string]site.Order{}
	for _, g := range r.ReceivedOrders {
		before, ok := last[g.Engine]
		if ok && before.Holder != g.Order.Holder {
			add("engine %s got orders of %s and of %s", g.Engine, before.Holder, g.Order.Holder)
		}
		if ok && g.Order.Fence < before.Fence {
			add("engine %s got fence %d after %d", g.Engine, g.Order.Fence, before.Fence)
		}
		last[g.Engine] = g.Order
	}
}

// checkWeights finds requests that began on weights replaced too long ago, and engines that were left with old ones.
func (r *observations) checkWeights(add func(string, ...any)) {
	newest := uint64(0)
	for version := range r.WeightsPublished {
		newest = max(newest, version)
	}
	byID := r.callsByID()
	for _, one := range r.Executions {
		if c := byID[one.ID]; c != nil && r.entryDisconnected(c, one.StartedAt) {
			continue // the entry cannot have known when newer weights were named, or could not take the request back
		}
		if at := r.replacedAt(one.Weights); one.Weights != 0 && !at.IsZero() && one.StartedAt.After(at.Add(weightsWithin)) {
			add("request %s began on weights %d at %s, replaced %s before", one.ID, one.Weights, one.Runner, one.StartedAt.Sub(at))
		}
	}
	for name, loaded := range r.LoadedWeights {
		if loaded < newest && r.Ended.Sub(r.WeightsPublished[newest]) > loadedWithin {
			add("engine %s still has weights %d and not %d", name, loaded, newest)
		}
	}
}

// replacedAt is when the first version newer than the given one was named, zero where there is none.
func (r *observations) replacedAt(weights uint64) time.Time {
	var first time.Time
	for version, at := range r.WeightsPublished {
		if version > weights && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (r *observations) callsByID() map[string]*callRecord {
	byID := map[string]*callRecord{}
	for i := range r.Calls {
		byID[r.Calls[i].ID] = &r.Calls[i]
	}
	return byID
}

// entryDisconnected reports that the call's entry had started, stood still or had no object store shortly before it took the request, or did so
// before the request began at a runner.
func (r *observations) entryDisconnected(c *callRecord, began time.Time) bool {
	concerned := func(s interval) bool { return s.From.Before(began) && s.To.Add(settleTime).After(c.SentAt) }
	e := r.Entries[c.Entry]
	return slices.ContainsFunc(e.Outages, concerned) || slices.ContainsFunc(r.StoreOutages[c.Entry], concerned) ||
		slices.ContainsFunc(e.Lifetimes, func(l processLifetime) bool { return concerned(interval{From: l.Started, To: l.Started}) })
}

func (r *observations) checkLeaving(add func(string, ...any)) {
	byID := r.callsByID()
	for _, one := range r.Executions {
		left, ok := r.LeavingSince[one.Runner]
		if !ok || !one.StartedAt.After(left.Add(leaveWithin)) {
			continue
		}
		if c := byID[one.ID]; c != nil && !r.entryDisturbed(c) {
			add("request %s reached runner %s %s after its leaving", one.ID, one.Runner, one.StartedAt.Sub(left))
		}
	}
}

func (r *observations) checkRecovery(add func(string, ...any)) {
	asked, served := 0, 0
	for i := range r.Calls {
		c := &r.Calls[i]
		if _, gone := r.KeysRemoved[c.Key]; gone || c.Fatal != "" || c.SentAt.Before(r.LastFaultEnd.Add(recoveryTime)) {
			continue
		}
		asked++
		if c.Status == statusOK && !c.Truncated {
			served++
		}
	}
	if asked == 0 || float64(served) < minServedShare*float64(asked) {
		add("after the last fault %d of %d requests were served", served, asked)
	}
}
