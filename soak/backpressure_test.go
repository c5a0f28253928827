package main

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBackpressure has runners name limits, ask for rest and leave in their answers alone, while entries and agents are killed, stopped and stand
// still, and the store is away.
func TestBackpressure(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r := playFaults(t, binary, seed, 4, pressureFaults)
			require.NotEmpty(t, r.told())
			assert.Empty(t, judge(r, false))
		})
	}
}

// TestJudgePressure holds requests against what their entries had been told of the runner.
func TestJudgePressure(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	// asking is a record in which the first request is answered at once with what the runner asks for.
	asking := func(asks arrival) *record {
		r := &record{Entries: map[int]history{0: {Lives: []life{{Started: at(-time.Minute)}}}, 1: {Lives: []life{{Started: at(-time.Minute)}}}}}
		r.reach(asks, 0, start)
		return r
	}
	judged := func(r *record) int {
		n := 0
		r.judgePressure(func(string, ...any) { n++ })
		return n
	}
	many := func(r *record, n, entry int, asks arrival, from time.Time) {
		for i := range n {
			r.reach(asks, entry, from.Add(time.Duration(i)*time.Millisecond))
		}
	}
	most := int(askedLimit*limitOver*limitWindow.Seconds()) + limitSlack
	limited, refused, leaving := arrival{Limited: true}, arrival{Refused: true}, arrival{Leaving: true}
	t.Run("as many as the limit allows", func(t *testing.T) {
		r := asking(limited)
		many(r, most, 0, limited, at(contact))
		assert.Zero(t, judged(r))
		r.reach(limited, 0, at(contact+time.Second))
		assert.Equal(t, 1, judged(r))
	})
	t.Run("entries that were not told of it count for nothing", func(t *testing.T) {
		r := asking(limited)
		many(r, most+1, 1, limited, at(contact))
		assert.Zero(t, judged(r))
	})
	t.Run("nor do those that have started since, or what comes once it is lifted", func(t *testing.T) {
		r := asking(limited)
		many(r, most+1, 0, arrival{}, at(contact))
		assert.Zero(t, judged(r))
		r = asking(limited)
		r.entry(func(h *history) { h.Lives = append(h.Lives, life{Started: at(contact)}) })
		many(r, most+1, 0, limited, at(contact+time.Second))
		assert.Zero(t, judged(r))
	})
	t.Run("two requests in a rest", func(t *testing.T) {
		r := asking(refused)
		many(r, mostInRest, 0, arrival{}, at(toldBefore))
		many(r, mostInRest, 1, arrival{}, at(toldBefore))
		many(r, 9, 0, arrival{}, at(askedRest))
		assert.Zero(t, judged(r))
		r.reach(arrival{}, 0, at(askedRest-1))
		assert.Equal(t, 1, judged(r))
	})
	t.Run("a request to a runner that leaves, by an entry that was told", func(t *testing.T) {
		r := asking(leaving)
		r.reach(leaving, 0, at(leaveWithin))
		r.reach(leaving, 1, at(leaveWithin+time.Second))
		assert.Zero(t, judged(r))
		r.reach(leaving, 0, at(leaveWithin+time.Second))
		assert.Equal(t, 1, judged(r))
	})
}

// reach adds a request of an entry that reaches a runner, and is answered at once.
func (r *record) reach(a arrival, entry int, at time.Time) {
	a.ID, a.Runner, a.At = strconv.Itoa(len(r.Calls)), "r", at
	r.Calls = append(r.Calls, call{ID: a.ID, Kind: kindRepeat, Entry: entry, Sent: at, Ended: at, Status: statusOK})
	r.Arrivals = append(r.Arrivals, a)
}
