package main

import (
	"maps"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// TestShortSoak plays schedules with real processes, and holds them against the promises that are not bound in time. The second
// stops all entries in series, and all agents beside that.
func TestShortSoak(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{5, 84} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			assertKept(t, binary, schedule(seed, shortLength))
		})
	}
}

// TestLoadsUnderStreams has engines load in quick succession and at once, refuse, stand still and run slow under streams that last for
// seconds: none of them may be cut by its entry.
func TestLoadsUnderStreams(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{2, 3} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			assertKept(t, binary, engineSchedule(seed, shortLength, loadFaults))
		})
	}
}

// shortLength is how long the schedules of these tests are.
const shortLength = 14 * time.Second

func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "rillreach")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/rillreach").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// assertKept plays a schedule and checks the promises that are not bound in time.
func assertKept(t *testing.T, binary string, actions []action) {
	t.Helper()
	w, err := newWorld(binary, t.TempDir(), size{Entries: 3, Runners: 3, Callers: 30}, t.Logf)
	require.NoError(t, err)
	defer w.close()
	r := w.play(actions, shortLength)
	assert.NotEmpty(t, r.Runs)
	assert.Empty(t, judge(r, false))
}

func TestScheduleFollowsFromTheSeed(t *testing.T) {
	first, second := schedule(7, time.Minute), schedule(7, time.Minute)
	assert.Equal(t, first, second)
	assert.NotEqual(t, schedule(7, time.Minute), schedule(8, time.Minute))
	for _, a := range schedule(7, time.Minute) {
		assert.Less(t, a.At, time.Minute-quietAfter+longFault)
	}
}

func TestEngineScheduleFollowsFromTheSeed(t *testing.T) {
	actions := engineSchedule(7, 10*time.Minute, engineFaults)
	assert.Equal(t, actions, engineSchedule(7, 10*time.Minute, engineFaults))
	assert.NotEqual(t, actions, engineSchedule(8, 10*time.Minute, engineFaults))
	times := map[fault]int{}
	for _, a := range actions {
		times[a.Fault]++
	}
	for _, f := range engineFaults {
		assert.Greater(t, times[f], 1, "%s is hardly drawn", f)
	}
	assert.Len(t, times, len(engineFaults))
}

// entry changes the history of the record's entry.
func (r *record) entry(change func(h *history)) {
	h := r.Entries[0]
	change(&h)
	r.Entries[0] = h
}

// forget removes the runs of a call.
func (r *record) forget(c *call) {
	r.Runs = slices.DeleteFunc(r.Runs, func(one run) bool { return one.ID == c.ID })
}

// TestJudgeFindsBrokenPromises breaks each promise in a record that keeps all of them.
func TestJudgeFindsBrokenPromises(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	good := func() *record {
		r := &record{Disturbed: map[int][]span{}, Left: map[string]time.Time{}, Removed: map[string]time.Time{}, Quiet: at(20 * time.Second)}
		r.Harmed, r.Entries = map[string][]span{}, map[int]history{0: {Lives: []life{{Ready: at(0)}}}}
		r.Named, r.Loaded, r.Ended = map[uint64]time.Time{1: at(-time.Minute), 2: at(-time.Second)}, map[string]uint64{"e": 2}, at(40*time.Second)
		for i, k := range kinds {
			id := string(k)
			r.Calls = append(r.Calls, call{
				ID: id, Kind: k, Key: keptKey, Sent: at(10 * time.Second), Written: at(10 * time.Second),
				Ended: at(11 * time.Second), Status: 200, Body: expected(id, k),
			})
			r.Runs = append(r.Runs, run{ID: id, Runner: "r-1", At: at(10*time.Second + time.Duration(i)), Until: at(11 * time.Second)})
		}
		r.Calls = append(r.Calls, call{
			ID: "last", Kind: kindRepeat, Key: keptKey, Sent: at(30 * time.Second), Ended: at(31 * time.Second), Status: 200, Body: expected("last", kindRepeat),
		})
		return r
	}
	of := func(r *record, k kind) *call {
		for i := range r.Calls {
			if r.Calls[i].Kind == k {
				return &r.Calls[i]
			}
		}
		return nil
	}
	cut := func(c *call, ended time.Time) { c.Cut, c.Body, c.Ended = true, "", ended }
	// stopped has the flow's entry get SIGTERM, and cut the flow while its runner is at work.
	stopped := func(r *record, signal, ended time.Time) {
		r.entry(func(h *history) { h.Stops = []time.Time{signal} })
		cut(of(r, kindFlow), ended)
		r.Runs[slices.Index(kinds, kindFlow)].Until = ended
	}
	// refused has the flow's entry get SIGTERM five seconds before the flow, take no connection for it and end later.
	refused := func(r *record, ended time.Time) {
		r.entry(func(h *history) {
			h.Stops = []time.Time{at(5 * time.Second)}
			h.Lives[0].Asked, h.Lives[0].Ended = true, ended
		})
		c := of(r, kindFlow)
		c.Status, c.Refused = 0, true
		cut(c, c.Sent)
		r.forget(c)
	}
	cases := map[string]struct {
		spoil func(r *record)
		want  string
	}{
		"nothing":                {func(*record) {}, ""},
		"run twice":              {func(r *record) { r.Runs = append(r.Runs, run{ID: "once"}) }, "ran 2 times"},
		"a repeat run twice":     {func(r *record) { r.Runs = append(r.Runs, run{ID: "repeat"}) }, ""},
		"refused and run":        {func(r *record) { of(r, kindOnce).Status = 503 }, "and it ran"},
		"another's answer":       {func(r *record) { of(r, kindRepeat).Body = "answer to x" }, "looks whole"},
		"a piece lost":           {func(r *record) { of(r, kindStream).Body = expected("stream", kindStream)[20:] }, "looks whole"},
		"a cut that looks whole": {func(r *record) { c := of(r, kindFlow); c.Body = c.Body[:9] }, "looks whole"},
		"a cut that is a cut": {func(r *record) {
			c := of(r, kindFlow)
			c.Body, c.Cut = c.Body[:9], true
			r.Harmed["r"] = []span{{c.Sent, c.Sent}}
		}, ""},
		"a piece doubled":  {func(r *record) { c := of(r, kindFlow); c.Body, c.Cut = c.Body+c.Body, true }, "before the cut"},
		"late":             {func(r *record) { of(r, kindOnce).Ended = at(20 * time.Second) }, "no final answer"},
		"a leaving runner": {func(r *record) { r.Left["r-1"] = at(7 * time.Second) }, "after its leaving"},
		"a key taken away": {func(r *record) { r.Removed[keptKey] = at(7 * time.Second) }, "taken away"},
		"two holders": {func(r *record) {
			r.Orders = append(r.Orders, given{"e", site.Order{Holder: "a", FencingToken: 1}}, given{"e", site.Order{Holder: "b", FencingToken: 2}})
		}, "orders of a and of b"},
		"a fence that falls": {func(r *record) {
			r.Orders = append(r.Orders, given{"e", site.Order{Holder: "a", FencingToken: 2}}, given{"e", site.Order{Holder: "a", FencingToken: 1}})
		}, "fence 1 after 2"},
		"an order given again": {func(r *record) {
			r.Orders = append(r.Orders, given{"e", site.Order{Holder: "a", FencingToken: 2}}, given{"e", site.Order{Holder: "a", FencingToken: 2}})
		}, ""},
		"replaced weights": {func(r *record) { r.Runs[0].Weights = 1 }, "began on weights 1"},
		"replaced weights after a start": {func(r *record) {
			r.Runs[0].Weights = 1
			r.entry(func(h *history) { h.Lives[0].Started = at(7*time.Second + 1) })
		}, ""},
		"replaced weights 3 s after a start": {func(r *record) {
			r.Runs[0].Weights = 1
			r.entry(func(h *history) { h.Lives[0].Started = at(7 * time.Second) })
		}, "began on weights 1"},
		"replaced weights without a store": {func(r *record) {
			r.Runs[0].Weights = 1
			r.CutOff = map[int][]span{0: {{at(6 * time.Second), at(7*time.Second + 1)}}}
		}, ""},
		"replaced weights 3 s after an outage": {func(r *record) {
			r.Runs[0].Weights = 1
			r.CutOff = map[int][]span{0: {{at(6 * time.Second), at(7 * time.Second)}}}
		}, "began on weights 1"},
		"replaced weights where the entry froze": {func(r *record) {
			r.Runs[0].Weights = 1
			r.entry(func(h *history) { h.Outages = []span{{at(9 * time.Second), at(9 * time.Second)}} })
		}, ""},
		"the newest weights":  {func(r *record) { r.Runs[0].Weights = 2 }, ""},
		"old weights left":    {func(r *record) { r.Loaded["e"] = 1 }, "still has weights 1"},
		"no return":           {func(r *record) { r.Calls[len(r.Calls)-1].Status = 502 }, "after the last fault"},
		"cut without a stop":  {func(r *record) { cut(of(r, kindFlow), at(11*time.Second)) }, "without a stop"},
		"cut beside a config": {func(r *record) { cut(of(r, kindOnce), at(11*time.Second)) }, "without a stop"},
		"cut at a runner's crash": {func(r *record) {
			cut(of(r, kindFlow), at(11*time.Second))
			r.Harmed["r"] = []span{{at(10 * time.Second), at(10 * time.Second)}}
		}, ""},
		"cut at another's crash": {func(r *record) {
			cut(of(r, kindFlow), at(11*time.Second))
			r.Harmed["q"] = []span{{at(10 * time.Second), at(10 * time.Second)}}
		}, "without a stop"},
		"cut by a kill": {func(r *record) {
			cut(of(r, kindFlow), at(11*time.Second))
			r.entry(func(h *history) { h.Outages = []span{{at(9 * time.Second), at(9 * time.Second)}} })
		}, ""},
		"cut by the time-out":     {func(r *record) { cut(of(r, kindFlow), at(17*time.Second)) }, ""},
		"cut before it was sent":  {func(r *record) { c := of(r, kindFlow); cut(c, at(11*time.Second)); c.Written = time.Time{} }, ""},
		"crossed a close":         {func(r *record) { c := of(r, kindFlow); cut(c, at(10*time.Second+crossing/2)); r.forget(c) }, ""},
		"read and not passed on":  {func(r *record) { c := of(r, kindFlow); cut(c, at(10*time.Second+crossing*2)); r.forget(c) }, "without a stop"},
		"cut by the end of grace": {func(r *record) { stopped(r, at(7*time.Second+time.Millisecond), at(14*time.Second)) }, ""},
		"cut too early":           {func(r *record) { stopped(r, at(8*time.Second), at(12*time.Second)) }, "cut 4s after it"},
		"taken late":              {func(r *record) { stopped(r, at(7*time.Second-time.Millisecond), at(14*time.Second)) }, "taken by entry 0 3.001s after its SIGTERM"},
		"refused":                 {func(r *record) { refused(r, at(15*time.Second)) }, "took none of 1 new connections, from 5s"},
		"refused at the end":      {func(r *record) { refused(r, at(10*time.Second+endSlack/2)) }, ""},
		"closed without a word": {func(r *record) {
			refused(r, at(15*time.Second))
			c := of(r, kindFlow)
			c.Refused, c.Fresh = false, true
		}, "took none of 1"},
		"an end by itself": {func(r *record) { r.entry(func(h *history) { h.Lives[0].Ended = at(35 * time.Second) }) }, "ended by itself"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := good()
			c.spoil(r)
			got := strings.Join(judge(r, true), "; ")
			if c.want == "" {
				assert.Empty(t, got)
				return
			}
			assert.Contains(t, got, c.want)
		})
	}
}

// TestBalancerPicks checks which entries get new connections, by the probes that each has missed in a row.
func TestBalancerPicks(t *testing.T) {
	cases := map[string]struct {
		misses []int
		want   []int
	}{
		"all in":        {[]int{0, 0, 0, 0}, []int{0, 1, 2, 3}},
		"one miss":      {[]int{1, 0, 0, 0}, []int{0, 1, 2, 3}},
		"half out":      {[]int{2, 9, 0, 1}, []int{2, 3}},
		"under half in": {[]int{2, 2, 2, 0}, []int{0, 1, 2, 3}},
		"none in":       {[]int{2, 2, 2, 2}, []int{0, 1, 2, 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var entries []*entry
			for i := range c.misses {
				entries = append(entries, &entry{number: i})
			}
			b := newBalancer(entries)
			b.misses = c.misses
			picked := map[int]bool{}
			for range 1000 {
				picked[b.pick().number] = true
			}
			assert.Equal(t, c.want, slices.Sorted(maps.Keys(picked)))
		})
	}
}

// TestSeriesStopsOverlap checks that other faults are drawn beside each series of stops.
func TestSeriesStopsOverlap(t *testing.T) {
	actions := schedule(5, 10*time.Minute)
	count := 0
	for _, a := range actions {
		if a.Fault != faultStopAll && a.Fault != faultAgentsStop {
			continue
		}
		count++
		beside := slices.DeleteFunc(slices.Clone(actions), func(b action) bool { return b.At < a.At || b.At > a.At+besideWithin })
		assert.Greater(t, len(beside), besideSeries)
		assert.True(t, a.gap() >= leastGap && a.gap() <= mostGap)
	}
	assert.Positive(t, count)
}
