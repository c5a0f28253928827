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
	// streamTimeout and plainTimeout are the timeouts of the routes. timeoutSlack is how much longer the platform
	// allows.
	streamTimeout = 7 * time.Second
	plainTimeout  = 3 * time.Second
	timeoutSlack  = 500 * time.Millisecond
	// leaveWithin is the time after which a leaving runner gets no more requests, and keyWithin the time after which a
	// removed key is refused.
	leaveWithin = 2 * time.Second
	keyWithin   = 2 * time.Second
	// settleTime is how long an entry must have been undisturbed for a time limit to apply. recoveryTime is the time
	// after the last fault by which requests are served again.
	settleTime = 3 * time.Second
	// weightsWithin is the time after which no request starts on replaced weights. loadedWithin is the time by which
	// all engines have loaded the newest weights while faults hit engines and agents.
	weightsWithin  = 10 * time.Second
	loadedWithin   = 14 * time.Second
	recoveryTime   = 4 * time.Second
	minServedShare = 0.95
)

// resumable reports whether requests of the kind may be resumed at another runner.
func (k kind) resumable() bool { return k == kindStream || k.engines() }

// engines reports whether requests of the kind go to engines.
func (k kind) engines() bool { return k == kindPrompt || k == kindChat }

// streams reports whether requests of the kind are answered with a stream of events.
func (k kind) streams() bool { return k == kindFlow || k.resumable() }

// timeout returns the timeout of the kind's route.
func (k kind) timeout() time.Duration {
	if k == kindRepeat || k == kindOnce {
		return plainTimeout
	}
	return streamTimeout
}

// expected returns the complete response to a request, without the software versions in its events.
func expected(id string, k kind) string { return expectedAfter(id, k, 0) }

// expectedAfter returns the response to a request that takes up a stream after the given event.
func expectedAfter(id string, k kind, after int) string {
	if k == kindRepeat || k == kindOnce {
		return "answer to " + id
	}
	var b strings.Builder
	for i := after + 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, i)
	}
	return b.String()
}

// checkGuarantees returns the violated guarantees. Unless timed is true, it omits those with a time limit, so that the
// result does not depend on the speed of the machine.
func checkGuarantees(r *observations, timed bool) []string {
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	executions := map[string][]execution{}
	for _, e := range r.Executions {
		executions[e.ID] = append(executions[e.ID], e)
	}
	for i := range r.Calls {
		c := &r.Calls[i]
		checkExecutions(c, len(executions[c.ID]), report)
		checkResponse(c, report)
		r.checkDroppedRequest(c, executions[c.ID], timed, report)
		r.checkAbandonedStream(c, executions[c.ID], report)
		if timed {
			r.checkTimeout(c, report)
			r.checkRemovedKey(c, report)
		}
	}
	r.checkUnknownExecutions(report)
	r.checkRefusedConnections(executions, report)
	r.checkOrders(report)
	r.checkFatalRequests(report)
	r.checkEvacuations(report)
	r.checkBackpressure(report)
	r.checkUnexpectedExits(timed, report)
	r.checkSoftwareVersions(report)
	r.checkRetryBudget(report)
	r.checkMemory(report)
	if timed {
		r.checkOverlaps(executions, report)
		r.checkWeights(report)
		r.checkLeaving(report)
		r.checkRecovery(report)
		r.checkProbes(report)
		r.checkResumedShare(report)
	}
	return violations
}

func (r *observations) checkRemovedKey(c *callRecord, report func(string, ...any)) {
	removed, ok := r.KeysRemoved[c.Key]
	if ok && c.SentAt.After(removed.Add(keyWithin)) && c.Status == statusOK && !r.entryDisturbed(c) {
		report("request %s: its key was taken away %s before", c.ID, c.SentAt.Sub(removed))
	}
}

func checkExecutions(c *callRecord, count int, report func(string, ...any)) {
	if c.Kind.once() && count > 1 {
		report("request %s of kind %s ran %d times", c.ID, c.Kind, count)
	}
	if c.Kind.once() && count > 0 && !c.Truncated && (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests) {
		report("request %s: refused with %d, and it ran", c.ID, c.Status)
	}
}

// checkUnknownExecutions reports executions of requests that no caller of this cluster sent.
func (r *observations) checkUnknownExecutions(report func(string, ...any)) {
	byID := r.callsByID()
	for _, e := range r.Executions {
		if byID[e.ID] == nil {
			report("request %s, which no caller sent, ran at %s", e.ID, e.Runner)
		}
	}
}

func checkResponse(c *callRecord, report func(string, ...any)) {
	if c.Status != statusOK {
		return
	}
	if !c.Sealed {
		report("request %s: success without a seal", c.ID)
	}
	want, body := expectedAfter(c.ID, c.Kind, c.After), withoutSoftware(c.Body)
	if !c.Truncated && body != want {
		report("request %s: answer looks whole and is %q", c.ID, c.Body)
	}
	if c.Truncated && !strings.HasPrefix(want, body) {
		report("request %s: what came before the cut is %q", c.ID, c.Body)
	}
}

func (r *observations) checkTimeout(c *callRecord, report func(string, ...any)) {
	if took := c.EndedAt.Sub(c.SentAt); took > c.Kind.timeout()+timeoutSlack && !r.entryDisturbed(c) {
		report("request %s of kind %s: no final answer for %s", c.ID, c.Kind, took)
	}
}

// entryDisturbed reports whether a fault of the call's entry overlapped the call or ended shortly before it.
func (r *observations) entryDisturbed(c *callRecord) bool {
	return overlapsAny(c, r.Disturbances[c.Entry])
}

// checkOrders checks that each run of an engine gets orders from one holder only, and that their fencing tokens never
// decrease.
func (r *observations) checkOrders(report func(string, ...any)) {
	last := map[string]site.Order{}
	for _, g := range r.ReceivedOrders {
		before, ok := last[g.Engine]
		if ok && before.Holder != g.Order.Holder {
			report("engine %s got orders of %s and of %s", g.Engine, before.Holder, g.Order.Holder)
		}
		if ok && g.Order.FencingToken < before.FencingToken {
			report("engine %s got fence %d after %d", g.Engine, g.Order.FencingToken, before.FencingToken)
		}
		last[g.Engine] = g.Order
	}
}

// checkWeights reports requests that started on weights replaced too long ago, and engines that still have old weights.
func (r *observations) checkWeights(report func(string, ...any)) {
	newest := uint64(0)
	for version := range r.WeightsPublished {
		newest = max(newest, version)
	}
	byID := r.callsByID()
	for _, e := range r.Executions {
		if c := byID[e.ID]; c != nil && r.entryDisconnected(c, e.StartedAt) {
			continue // the entry may not have known of the newer weights, or could no longer withdraw the request
		}
		if at := r.replacedAt(e.Weights); e.Weights != 0 && !at.IsZero() && e.StartedAt.After(at.Add(weightsWithin)) {
			report("request %s began on weights %d at %s, replaced %s before", e.ID, e.Weights, e.Runner, e.StartedAt.Sub(at))
		}
	}
	for name, loaded := range r.LoadedWeights {
		if loaded < newest && r.Ended.Sub(r.WeightsPublished[newest]) > loadedWithin {
			report("engine %s still has weights %d and not %d", name, loaded, newest)
		}
	}
}

// replacedAt returns when the first newer version of the weights was published, or the zero time if there is none.
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

// entryDisconnected reports whether the call's entry was started, was paused or had no object store shortly before the
// call was sent, or between then and the start of the execution.
func (r *observations) entryDisconnected(c *callRecord, began time.Time) bool {
	concerned := func(s interval) bool { return s.From.Before(began) && s.To.Add(settleTime).After(c.SentAt) }
	e := r.Entries[c.Entry]
	return slices.ContainsFunc(e.Outages, concerned) || slices.ContainsFunc(r.StoreOutages[c.Entry], concerned) ||
		slices.ContainsFunc(e.Lifetimes, func(l processLifetime) bool { return concerned(interval{From: l.Started, To: l.Started}) })
}

func (r *observations) checkLeaving(report func(string, ...any)) {
	byID := r.callsByID()
	for _, e := range r.Executions {
		left, ok := r.LeavingSince[e.Runner]
		if !ok || !e.StartedAt.After(left.Add(leaveWithin)) {
			continue
		}
		if c := byID[e.ID]; c != nil && !r.entryDisturbed(c) {
			report("request %s reached runner %s %s after its leaving", e.ID, e.Runner, e.StartedAt.Sub(left))
		}
	}
}

func (r *observations) checkRecovery(report func(string, ...any)) {
	total, served := 0, 0
	for i := range r.Calls {
		c := &r.Calls[i]
		if _, gone := r.KeysRemoved[c.Key]; gone || c.Fatal != "" || c.SentAt.Before(r.LastFaultEnd.Add(recoveryTime)) {
			continue
		}
		total++
		if c.Status == statusOK && !c.Truncated {
			served++
		}
	}
	if total == 0 || float64(served) < minServedShare*float64(total) {
		report("after the last fault %d of %d requests were served", served, total)
	}
}
