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

// replay is a request with two attempts, as an entry sees it. An attempt is gone once it has failed or was ended.
type replay struct {
	Pair
	now          time.Time
	gone         [2]bool
	answered     bool
	dataWaiting  bool
	steadyReads  [2]int
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
	r.carryOut(e, r.decide(e))
	return true
}

func (r *replay) decide(e event) Action {
	switch e {
	case primarySends, primarySendsLast:
		if r.Active() == Hedge { // its data is read once it is active
			r.dataWaiting = true
			return KeepBoth
		}
		r.steadyReads[Primary]++
		return r.Received(r.now, Primary, e == primarySends)
	case hedgeSends, hedgeSendsLast:
		if r.Active() == Primary {
			return KeepBoth
		}
		r.steadyReads[Hedge]++
		return r.Received(r.now, Hedge, e == hedgeSends)
	case hedgeAnswers:
		r.answered = true
		return r.Answered(r.now)
	case primaryBreaksOff:
		r.gone[Primary] = true
		return r.Failed(Primary)
	case hedgeBreaksOff:
		r.gone[Hedge] = true
		return r.Failed(Hedge)
	case primaryDataWaiting:
		r.dataWaiting = true
		return KeepBoth
	case timePasses:
		r.now = r.now.Add(SteadyTime)
		return KeepBoth
	default:
		r.steadyReads[r.Active()] = 0
		return r.Silent(r.Active() == Hedge && r.dataWaiting)
	}
}

func (r *replay) carryOut(e event, action Action) {
	if action == EndOther {
		r.gone[r.Active().Other()] = true
		r.endedByOther = true
	}
	if e == primarySendsLast {
		r.gone[Primary] = true
		r.Failed(Primary)
	}
	if e == hedgeSendsLast {
		r.gone[Hedge] = true
		r.Failed(Hedge)
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
	extend(nil, replay{Pair: start, now: begin})
}

// TestReplay checks the decisions for all orders of events.
func TestReplay(t *testing.T) {
	const length = 6
	for _, start := range []Pair{{}, {Relieving: true}, {WholeAnswer: true}} {
		t.Run(fmt.Sprintf("%+v", start), func(t *testing.T) {
			orders := 0
			forEachOrder(length, start, func(order []event, before, after replay) {
				orders++
				assertNoWorkingAttemptLost(t, order, before, after)
			})
			require.Greater(t, orders, 1000)
		})
	}
}

// assertNoWorkingAttemptLost asserts that the attempt that goes on has not failed while the other one could go on, and that
// an attempt is only ended for one that works.
func assertNoWorkingAttemptLost(t *testing.T, order []event, before, after replay) {
	t.Helper()
	name := func() string {
		names := make([]string, len(order))
		for i, e := range order {
			names[i] = string(e)
		}
		return strings.Join(names, ", ")
	}
	active := after.Active()
	if after.gone[active] && !after.gone[active.Other()] {
		require.Fail(t, "the attempt that could go on is not used", name())
	}
	if !before.endedByOther && after.endedByOther {
		require.False(t, after.gone[active], "an attempt was ended for one that has failed: %s", name())
		require.GreaterOrEqual(t, after.steadyReads[active]+1, steadyReads, "an attempt was ended for one that has sent too little: %s", name())
	}
}

var (
	begin = time.Unix(1000, 0)
	later = begin.Add(SteadyTime)
)

func TestPair(t *testing.T) {
	t.Run("the hedge of a silent runner goes on", func(t *testing.T) {
		p := Pair{}
		assert.Equal(t, Switch, p.Answered(begin))
		assert.Equal(t, Hedge, p.Active())
		assert.Equal(t, KeepBoth, p.Received(later.Add(-1), Hedge, true), "the runner may have crashed since")
		assert.Equal(t, EndOther, p.Received(later, Hedge, true))
	})
	t.Run("a runner that sends data again before the hedge answers goes on", func(t *testing.T) {
		p := Pair{}
		assert.Equal(t, KeepBoth, p.Received(begin, Primary, true))
		assert.Equal(t, KeepBoth, p.Answered(begin))
		assert.Equal(t, EndOther, p.Received(later, Primary, true))
		assert.Equal(t, Primary, p.Active())
	})
	t.Run("a runner that is silent again is left for a hedge that has answered", func(t *testing.T) {
		p := Pair{}
		p.Received(begin, Primary, true)
		p.Answered(begin)
		assert.Equal(t, Switch, p.Silent(false))
		assert.Equal(t, KeepBoth, p.Silent(false), "neither sends data")
		assert.Equal(t, Switch, p.Silent(true))
	})
	t.Run("a runner that may have ended right after its data is not relied on alone", func(t *testing.T) {
		p := Pair{}
		p.Answered(begin)
		assert.Equal(t, KeepBoth, p.Received(later, Hedge, false))
		assert.Equal(t, EndOther, p.Received(later, Hedge, true))
	})
	t.Run("a runner that is to be relieved is left although it works, and goes on if the hedge fails", func(t *testing.T) {
		p := Pair{Relieving: true}
		assert.Equal(t, KeepBoth, p.Received(begin, Primary, true))
		assert.Equal(t, KeepBoth, p.Received(later, Primary, true))
		assert.Equal(t, Switch, p.Answered(later))
		assert.Equal(t, Switch, p.Failed(Hedge))
		assert.Equal(t, Primary, p.Active())
	})
	t.Run("a runner that is to be relieved is ended sooner", func(t *testing.T) {
		p := Pair{Relieving: true}
		p.Answered(begin)
		soon := begin.Add(RelievedSteadyTime)
		assert.Equal(t, KeepBoth, p.Received(soon.Add(-1), Hedge, true), "the runner may have crashed since")
		assert.Equal(t, EndOther, p.Received(soon, Hedge, true))
	})
	t.Run("the whole answer that is complete first is used", func(t *testing.T) {
		p := Pair{WholeAnswer: true}
		assert.Equal(t, KeepBoth, p.Received(begin, Primary, true))
		assert.Equal(t, KeepBoth, p.Received(later, Primary, true))
		assert.Equal(t, Switch, p.Answered(later))
	})
}
