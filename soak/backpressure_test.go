package main

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRunnersGetNoMoreThanTheyAskFor guards against entries that ignore the rate limits, Retry-After and leave
// announcements in responses, while entries and agents are killed, stopped and paused and the store fails.
func TestRunnersGetNoMoreThanTheyAskFor(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r := runFaults(t, binary, seed, 4, backpressureFaults)
			require.NotEmpty(t, r.notices())
			assert.Empty(t, checkGuarantees(r, false))
		})
	}
}

// TestBackpressureViolationIsReported checks requests against the signals that their entries had received from the
// runner.
func TestBackpressureViolationIsReported(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	// asking returns observations in which the first request is answered at once with the given signals.
	asking := func(asks arrival) *observations {
		r := &observations{Entries: map[int]processHistory{0: {Lifetimes: []processLifetime{{Started: at(-time.Minute)}}}, 1: {Lifetimes: []processLifetime{{Started: at(-time.Minute)}}}}}
		r.addArrival(asks, 0, start)
		return r
	}
	violations := func(r *observations) int {
		n := 0
		r.checkBackpressure(func(string, ...any) { n++ })
		return n
	}
	many := func(r *observations, n, entry int, asks arrival, from time.Time) {
		for i := range n {
			r.addArrival(asks, entry, from.Add(time.Duration(i)*time.Millisecond))
		}
	}
	most := int(announcedLimit*limitFactor*limitWindow.Seconds()) + limitSlack
	limited, refused, leaving := arrival{Limited: true}, arrival{Refused: true}, arrival{Leaving: true}
	t.Run("requests within the limit are allowed", func(t *testing.T) {
		r := asking(limited)
		many(r, most, 0, limited, at(settleTime))
		assert.Zero(t, violations(r))
		r.addArrival(limited, 0, at(settleTime+time.Second))
		assert.Equal(t, 1, violations(r))
	})
	t.Run("requests of entries that do not know the limit are ignored", func(t *testing.T) {
		r := asking(limited)
		many(r, most+1, 1, limited, at(settleTime))
		assert.Zero(t, violations(r))
	})
	t.Run("requests after a restart of the entry or the end of the limit are ignored", func(t *testing.T) {
		r := asking(limited)
		many(r, most+1, 0, arrival{}, at(settleTime))
		assert.Zero(t, violations(r))
		r = asking(limited)
		r.updateEntry(func(h *processHistory) { h.Lifetimes = append(h.Lifetimes, processLifetime{Started: at(settleTime)}) })
		many(r, most+1, 0, limited, at(settleTime+time.Second))
		assert.Zero(t, violations(r))
	})
	t.Run("two requests during a Retry-After are allowed", func(t *testing.T) {
		r := asking(refused)
		many(r, maxDuringRetryAfter, 0, arrival{}, at(noticeDelay))
		many(r, maxDuringRetryAfter, 1, arrival{}, at(noticeDelay))
		many(r, 9, 0, arrival{}, at(retryAfter))
		assert.Zero(t, violations(r))
		r.addArrival(arrival{}, 0, at(retryAfter-1))
		assert.Equal(t, 1, violations(r))
	})
	t.Run("a request to a leaving runner from an entry that knows is reported", func(t *testing.T) {
		r := asking(leaving)
		r.addArrival(leaving, 0, at(leaveWithin))
		r.addArrival(leaving, 1, at(leaveWithin+time.Second))
		assert.Zero(t, violations(r))
		r.addArrival(leaving, 0, at(leaveWithin+time.Second))
		assert.Equal(t, 1, violations(r))
	})
}

// addArrival adds a request that an entry sends to a runner and that is answered at once.
func (r *observations) addArrival(a arrival, entry int, at time.Time) {
	a.ID, a.Runner, a.At = strconv.Itoa(len(r.Calls)), "r", at
	r.Calls = append(r.Calls, callRecord{ID: a.ID, Kind: kindRepeat, Entry: entry, SentAt: at, EndedAt: at, Status: statusOK})
	r.Arrivals = append(r.Arrivals, a)
}
