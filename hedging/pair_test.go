package hedging

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// event is something that happens to a pair of attempts.
type event string

const (
	primarySends       event = "primary sends"
	primarySendsLast   event = "primary sends and breaks off right after it"
	primaryBreaksOff   event = "primary breaks off"
	hedgeAnswers       event = "hedge answers"
	hedgeSends         event = "hedge sends"
	hedgeSendsLast     event = "hedge sends and breaks off right after it"
	hedgeBreaksOff     event = "hedge breaks off"
	activeSilent       event = "active attempt is silent"
	timePasses         event = "time passes"
	primaryDataWaiting event = "data of the primary waits to be read"
)

var allEvents = []event{
	primarySends, primarySendsLast, primaryBreaksOff, hedgeAnswers, hedgeSends, hedgeSendsLast, hedgeBreaksOff, activeSilent, timePasses,
	primaryDataWaiting,
}

// timeStep is the time that passes in one event. MaxOverlap is not a multiple of it.
const timeStep = 190 * time.Millisecond

// replay is a request with two attempts, as an entry sees it. An attempt is gone once it has failed or was ended.
type replay struct {
	Pair
	now         time.Time
	gone        [2]bool
	answered    bool
	dataWaiting bool
	// sent counts what the attempts have sent since they were last silent.
	sent [2]int
	// begun is since when both runners work on the stream, zero while neither has begun to.
	begun        time.Time
	endedByOther bool
}

// apply applies an event and carries out what the pair decides. It returns false if the event is impossible.
func (r *replay) apply(e event) bool {
	switch e {
	case primarySends, primarySendsLast, primaryBreaksOff, primaryDataWaiting:
		if r.gone[Primary] {
			return false
		}
	case timePasses:
	case activeSilent:
		if r.gone[r.Active()] {
			return false
		}
	default:
		if r.gone[Hedge] || (e == hedgeAnswers) == r.answered {
			return false
		}
	}
	if e == timePasses {
		r.pass(timeStep)
		return true
	}
	r.decide(e)
	r.breakOff(e)
	return true
}

func (r *replay) decide(e event) {
	switch e {
	case primarySends, primarySendsLast:
		if r.Active() == Hedge { // its data is read once it is active
			r.dataWaiting = true
			return
		}
		r.send(Primary)
		r.Received(r.now, Primary)
	case hedgeSends, hedgeSendsLast:
		r.send(Hedge)
		if r.Active() == Hedge {
			r.Received(r.now, Hedge)
		}
	case hedgeAnswers:
		r.answered = true
		r.send(Hedge)
		r.Answered(r.now)
	case primaryBreaksOff:
		r.gone[Primary] = true
		r.Failed(Primary)
	case hedgeBreaksOff:
		r.gone[Hedge] = true
		r.Failed(Hedge)
	case primaryDataWaiting:
		r.dataWaiting = true
	default:
		r.sent[r.Active()] = 0
		r.Silent(r.Active() == Hedge && r.dataWaiting)
	}
}

// send records that an attempt has sent data.
func (r *replay) send(a Attempt) {
	r.sent[a]++
	if r.begun.IsZero() {
		r.begun = r.now
	}
}

func (r *replay) breakOff(e event) {
	if e == primarySendsLast {
		r.gone[Primary] = true
		r.Failed(Primary)
	}
	if e == hedgeSendsLast {
		r.gone[Hedge] = true
		r.Failed(Hedge)
	}
}

// pass lets time pass, with the timer that fires at the deadline of the pair.
func (r *replay) pass(d time.Duration) {
	end := r.now.Add(d)
	if deadline, limited := r.Deadline(); limited && !deadline.After(end) {
		r.now = deadline
		r.carryOut(r.Expire(r.now, Evidence{PrimaryHasData: r.dataWaiting, HedgeUsable: !r.gone[Hedge]}))
	}
	r.now = end
}

func (r *replay) carryOut(action Action) {
	switch action {
	case EndPrimary:
		r.end(Primary)
	case EndHedge:
		r.end(Hedge)
	default:
	}
}

// end ends an attempt, whose reader notices that if it is the active one.
func (r *replay) end(a Attempt) {
	r.gone[a] = true
	r.endedByOther = true
	if r.Active() == a {
		r.Failed(a)
	}
}

// forEachOrder calls fn after each event of each possible order of the given length.
func forEachOrder(length int, start Pair, fn func(order []event, before, after replay)) {
	var extend func(order []event, r replay)
	extend = func(order []event, r replay) {
		if len(order) == length || r.endedByOther {
			return
		}
		for _, e := range allEvents {
			after := r
			if !after.apply(e) {
				continue
			}
			next := append(slices.Clone(order), e)
			fn(next, r, after)
			extend(next, after)
		}
	}
	start.Started = begin
	r := replay{Pair: start, now: begin}
	if start.Continuing {
		r.begun = begin
	}
	extend(nil, r)
}

// orderName is the order of events, for the messages of failed assertions.
type orderName []event

func (o orderName) String() string {
	names := make([]string, len(o))
	for i, e := range o {
		names[i] = string(e)
	}
	return strings.Join(names, ", ")
}

// TestReplay checks the decisions for all orders of events.
func TestReplay(t *testing.T) {
	const length = 6
	for name, start := range map[string]Pair{
		"silent before its first event": {}, "silent": {Continuing: true}, "relieved": {Relieving: true, Continuing: true}, "whole answer": {WholeAnswer: true},
	} {
		t.Run(name, func(t *testing.T) {
			orders := 0
			forEachOrder(length, start, func(order []event, before, after replay) {
				orders++
				assertNoWorkingAttemptLost(t, order, before, after)
				assertNoLongOverlap(t, order, after)
			})
			require.Greater(t, orders, 1000)
		})
	}
}

// assertNoWorkingAttemptLost asserts that the attempt that goes on has not failed while the other one could go on, and that
// an attempt that works is only ended for one that works.
func assertNoWorkingAttemptLost(t *testing.T, order []event, before, after replay) {
	t.Helper()
	active := after.Active()
	if after.gone[active] && !after.gone[active.Other()] {
		require.Fail(t, "the attempt that could go on is not used", orderName(order))
	}
	if before.endedByOther || !after.endedByOther {
		return
	}
	require.False(t, after.gone[active], "an attempt was ended for one that has failed: %s", orderName(order))
	primaryWorks := before.sent[Primary] > 0 || before.dataWaiting || before.Relieving
	if active == Hedge && primaryWorks {
		require.True(t, after.answered, "the primary was ended for a hedge that has sent nothing: %s", orderName(order))
	}
	if active == Primary && !primaryWorks {
		require.Zero(t, before.sent[Hedge], "the hedge was ended for a primary that has sent nothing: %s", orderName(order))
	}
}

// assertNoLongOverlap asserts that two runners do not work on a stream for longer than MaxOverlap.
func assertNoLongOverlap(t *testing.T, order []event, after replay) {
	t.Helper()
	if after.WholeAnswer || after.begun.IsZero() || after.gone[Primary] || after.gone[Hedge] {
		return
	}
	require.LessOrEqual(t, after.now.Sub(after.begun), MaxOverlap, "two runners work on one stream for too long: %s", orderName(order))
}

var (
	begin = time.Unix(1000, 0)
	later = begin.Add(MaxOverlap)
)

func TestPair(t *testing.T) {
	t.Run("the hedge of a silent runner goes on", func(t *testing.T) {
		p := Pair{Continuing: true, Started: begin}
		assert.Equal(t, Switch, p.Answered(begin))
		assert.Equal(t, Hedge, p.Active())
		assert.Equal(t, KeepBoth, p.Expire(later.Add(-1), Evidence{}), "the runner may have crashed since")
		assert.Equal(t, EndPrimary, p.Expire(later, Evidence{}))
		assert.Equal(t, KeepBoth, p.Expire(later, Evidence{}))
	})
	t.Run("a runner that sends data again before the hedge answers goes on until the hedge has to be relied on", func(t *testing.T) {
		p := Pair{Continuing: true, Started: begin}
		p.Received(begin, Primary)
		assert.Equal(t, KeepBoth, p.Answered(begin))
		assert.Equal(t, Primary, p.Active())
		assert.Equal(t, EndPrimary, p.Expire(later, Evidence{HedgeUsable: true}))
	})
	t.Run("the first runner to begin goes on if both begin to answer", func(t *testing.T) {
		p := Pair{Started: begin}
		p.Received(begin, Primary)
		p.Answered(begin)
		assert.Equal(t, EndHedge, p.Expire(later, Evidence{HedgeUsable: true}))
	})
	t.Run("a runner that sends data again goes on if the hedge cannot continue the stream", func(t *testing.T) {
		p := Pair{Continuing: true, Started: begin}
		p.Received(begin, Primary)
		p.Answered(begin)
		assert.Equal(t, EndHedge, p.Expire(later, Evidence{}))
		assert.Equal(t, Primary, p.Active())
	})
	t.Run("a runner that sends data again goes on if the hedge has not answered", func(t *testing.T) {
		p := Pair{Continuing: true, Started: begin}
		p.Received(begin, Primary)
		assert.Equal(t, EndHedge, p.Expire(later, Evidence{}))
	})
	t.Run("a silent runner is ended for a hedge that has yet to answer", func(t *testing.T) {
		p := Pair{Continuing: true, Started: begin}
		assert.Equal(t, EndPrimary, p.Expire(later, Evidence{}))
	})
	t.Run("two runners that have not begun to answer both go on", func(t *testing.T) {
		p := Pair{Started: begin}
		_, limited := p.Deadline()
		assert.False(t, limited)
		assert.Equal(t, KeepBoth, p.Expire(later, Evidence{}))
		assert.Equal(t, Switch, p.Answered(later))
		assert.Equal(t, KeepBoth, p.Expire(later, Evidence{}))
		assert.Equal(t, EndPrimary, p.Expire(later.Add(MaxOverlap), Evidence{}))
	})
	t.Run("a runner that is silent again is left for a hedge that has answered", func(t *testing.T) {
		p := Pair{Started: begin}
		p.Received(begin, Primary)
		p.Answered(begin)
		assert.Equal(t, Switch, p.Silent(false))
		assert.Equal(t, KeepBoth, p.Silent(false), "neither sends data")
		assert.Equal(t, Switch, p.Silent(true))
	})
	t.Run("a hedge that has sent one event is left for a runner that sends data again", func(t *testing.T) {
		p := Pair{Continuing: true, Started: begin}
		p.Answered(begin)
		assert.Equal(t, EndHedge, p.Expire(later, Evidence{PrimaryHasData: true}))
	})
	t.Run("a hedge that goes on is not left for a runner that sends data again", func(t *testing.T) {
		p := Pair{Continuing: true, Started: begin}
		p.Answered(begin)
		p.Received(later, Hedge)
		assert.Equal(t, EndPrimary, p.Expire(later, Evidence{PrimaryHasData: true}))
	})
	t.Run("a runner that is to be relieved is left although it works, and goes on if the hedge fails", func(t *testing.T) {
		p := Pair{Relieving: true, Continuing: true, Started: begin}
		p.Received(begin, Primary)
		assert.Equal(t, Switch, p.Answered(begin))
		assert.Equal(t, Switch, p.Failed(Hedge))
		assert.Equal(t, Primary, p.Active())
		assert.Equal(t, KeepBoth, p.Expire(later, Evidence{}))
	})
	t.Run("a runner that is to be relieved is ended after one event of the hedge", func(t *testing.T) {
		p := Pair{Relieving: true, Continuing: true, Started: begin}
		p.Answered(begin)
		assert.Equal(t, EndPrimary, p.Expire(later, Evidence{PrimaryHasData: true}))
	})
	t.Run("a runner that is to be relieved goes on if the hedge has not answered", func(t *testing.T) {
		p := Pair{Relieving: true, Continuing: true, Started: begin}
		assert.Equal(t, EndHedge, p.Expire(later, Evidence{}))
	})
	t.Run("the whole answer that is complete first is used", func(t *testing.T) {
		p := Pair{WholeAnswer: true, Started: begin}
		p.Received(begin, Primary)
		assert.Equal(t, KeepBoth, p.Expire(later, Evidence{}))
		assert.Equal(t, Switch, p.Answered(later))
	})
	t.Run("nothing is ended once an attempt has failed", func(t *testing.T) {
		for _, failed := range []Attempt{Primary, Hedge} {
			t.Run(fmt.Sprint(failed), func(t *testing.T) {
				p := Pair{Continuing: true, Started: begin}
				p.Failed(failed)
				assert.Equal(t, KeepBoth, p.Expire(later, Evidence{}))
			})
		}
	})
}
