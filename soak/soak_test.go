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

// TestShortSoak runs schedules with real processes and checks the guarantees that have no time limit. The second
// schedule restarts all entries one after another, and all agents at the same time.
func TestShortSoak(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{5, 84} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			assertGuarantees(t, binary, schedule(seed, shortLength))
		})
	}
}

// TestLoadsDoNotCutStreams guards against entries that cut long streams while engines load weights in quick succession
// or at once, refuse requests, freeze or slow down.
func TestLoadsDoNotCutStreams(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{2, 3} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			assertGuarantees(t, binary, engineSchedule(seed, shortLength, loadFaults))
		})
	}
}

// shortLength is the length of the schedules in these tests.
const shortLength = 14 * time.Second

func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "rillreach")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/rillreach").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// assertGuarantees runs a schedule and checks the guarantees that have no time limit.
func assertGuarantees(t *testing.T, binary string, actions []action) {
	t.Helper()
	assertGuaranteesOf(t, binary, actions, clusterSize{Entries: 3, Runners: 3, Callers: 30})
}

// assertGuaranteesOf is assertGuarantees for a cluster of the given size.
func assertGuaranteesOf(t *testing.T, binary string, actions []action, size clusterSize) {
	t.Helper()
	c, err := newCluster(binary, t.TempDir(), size, t.Logf)
	require.NoError(t, err)
	defer c.close()
	r := c.run(actions, shortLength)
	assert.NotEmpty(t, r.Executions)
	assert.Empty(t, checkGuarantees(r, false))
}

func TestScheduleFollowsFromTheSeed(t *testing.T) {
	first, second := schedule(7, time.Minute), schedule(7, time.Minute)
	assert.Equal(t, first, second)
	assert.NotEqual(t, schedule(7, time.Minute), schedule(8, time.Minute))
	for _, a := range schedule(7, time.Minute) {
		assert.Less(t, a.At, time.Minute-coolDown+longFault)
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

// updateEntry changes the history of entry 0.
func (r *observations) updateEntry(change func(h *processHistory)) {
	h := r.Entries[0]
	change(&h)
	r.Entries[0] = h
}

// removeExecutions removes the executions of a call.
func (r *observations) removeExecutions(c *callRecord) {
	r.Executions = slices.DeleteFunc(r.Executions, func(one execution) bool { return one.ID == c.ID })
}

// addSecondRun adds a run of the stream at another runner, at the moment at which the first one begins, which ends at the given
// time instead.
func (r *observations) addSecondRun(firstEnds time.Duration, after int) {
	first := &r.Executions[slices.Index(kinds, kindStream)]
	first.StartedAt = time.Unix(1000, 0).Add(10 * time.Second)
	first.EndedAt = time.Unix(1000, 0).Add(firstEnds)
	r.Executions = append(r.Executions, execution{ID: first.ID, Runner: "q-1", After: after, StartedAt: first.StartedAt, EndedAt: first.StartedAt.Add(time.Second)})
}

// TestBrokenGuaranteeIsReported breaks each guarantee in observations that satisfy all of them.
func TestBrokenGuaranteeIsReported(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	good := func() *observations {
		r := &observations{Disturbances: map[int][]interval{}, LeavingSince: map[string]time.Time{}, KeysRemoved: map[string]time.Time{}, LastFaultEnd: at(20 * time.Second)}
		r.RunnerFaults, r.Entries = map[string][]interval{}, map[int]processHistory{0: {Lifetimes: []processLifetime{{Ready: at(0)}}}}
		r.WeightsPublished, r.LoadedWeights, r.Ended = map[uint64]time.Time{1: at(-time.Minute), 2: at(-time.Second)}, map[string]uint64{"e": 2}, at(40*time.Second)
		for i, k := range kinds {
			id := string(k)
			r.Calls = append(r.Calls, callRecord{
				ID: id, Kind: k, Key: permanentKey, SentAt: at(10 * time.Second), WrittenAt: at(10 * time.Second),
				EndedAt: at(11 * time.Second), Status: 200, Sealed: true, Body: expected(id, k),
			})
			r.Executions = append(r.Executions, execution{ID: id, Runner: "r-1", StartedAt: at(10*time.Second + time.Duration(i)), EndedAt: at(11 * time.Second)})
		}
		r.Calls = append(r.Calls, callRecord{
			ID: "last", Kind: kindRepeat, Key: permanentKey, SentAt: at(30 * time.Second), EndedAt: at(31 * time.Second), Status: 200, Sealed: true, Body: expected("last", kindRepeat),
		})
		return r
	}
	of := func(r *observations, k kind) *callRecord {
		for i := range r.Calls {
			if r.Calls[i].Kind == k {
				return &r.Calls[i]
			}
		}
		return nil
	}
	cut := func(c *callRecord, ended time.Time) { c.Truncated, c.Body, c.EndedAt = true, "", ended }
	// stopped sends SIGTERM to the flow's entry and cuts the flow while its runner is still working.
	stopped := func(r *observations, signal, ended time.Time) {
		r.updateEntry(func(h *processHistory) { h.SIGTERMs = []time.Time{signal} })
		cut(of(r, kindFlow), ended)
		r.Executions[slices.Index(kinds, kindFlow)].EndedAt = ended
	}
	// refused sends SIGTERM to the flow's entry five seconds before the flow. The entry then refuses the flow's
	// connection and exits later.
	refused := func(r *observations, ended time.Time) {
		r.updateEntry(func(h *processHistory) {
			h.SIGTERMs = []time.Time{at(5 * time.Second)}
			h.Lifetimes[0].Signaled, h.Lifetimes[0].Ended = true, ended
		})
		c := of(r, kindFlow)
		c.Status, c.Refused = 0, true
		cut(c, c.SentAt)
		r.removeExecutions(c)
	}
	cases := map[string]struct {
		modify func(r *observations)
		want   string
	}{
		"no violation":                        {func(*observations) {}, ""},
		"non-idempotent request runs twice":   {func(r *observations) { r.Executions = append(r.Executions, execution{ID: "once"}) }, "ran 2 times"},
		"idempotent request runs twice":       {func(r *observations) { r.Executions = append(r.Executions, execution{ID: "repeat"}) }, ""},
		"unknown request runs":                {func(r *observations) { r.Executions = append(r.Executions, execution{ID: "unknown"}) }, "which no caller sent"},
		"refused request runs":                {func(r *observations) { of(r, kindOnce).Status = 503 }, "and it ran"},
		"response of another request":         {func(r *observations) { of(r, kindRepeat).Body = "answer to x" }, "looks whole"},
		"event lost":                          {func(r *observations) { of(r, kindStream).Body = expected("stream", kindStream)[20:] }, "looks whole"},
		"truncated response without an error": {func(r *observations) { c := of(r, kindFlow); c.Body = c.Body[:9] }, "looks whole"},
		"truncated response with an error": {func(r *observations) {
			c := of(r, kindFlow)
			c.Body, c.Truncated = c.Body[:9], true
			r.RunnerFaults["r"] = []interval{{c.SentAt, c.SentAt}}
		}, ""},
		"events duplicated":           {func(r *observations) { c := of(r, kindFlow); c.Body, c.Truncated = c.Body+c.Body, true }, "before the cut"},
		"response after the timeout":  {func(r *observations) { of(r, kindOnce).EndedAt = at(20 * time.Second) }, "no final answer"},
		"request to a leaving runner": {func(r *observations) { r.LeavingSince["r-1"] = at(7 * time.Second) }, "after its leaving"},
		"request with a removed key":  {func(r *observations) { r.KeysRemoved[permanentKey] = at(7 * time.Second) }, "taken away"},
		"orders of two holders": {func(r *observations) {
			r.ReceivedOrders = append(r.ReceivedOrders, receivedOrder{"e", site.Order{Holder: "a", FencingToken: 1}}, receivedOrder{"e", site.Order{Holder: "b", FencingToken: 2}})
		}, "orders of a and of b"},
		"fencing token decreases": {func(r *observations) {
			r.ReceivedOrders = append(r.ReceivedOrders, receivedOrder{"e", site.Order{Holder: "a", FencingToken: 2}}, receivedOrder{"e", site.Order{Holder: "a", FencingToken: 1}})
		}, "fence 1 after 2"},
		"order repeated": {func(r *observations) {
			r.ReceivedOrders = append(r.ReceivedOrders, receivedOrder{"e", site.Order{Holder: "a", FencingToken: 2}}, receivedOrder{"e", site.Order{Holder: "a", FencingToken: 2}})
		}, ""},
		"replaced weights": {func(r *observations) { r.Executions[0].Weights = 1 }, "began on weights 1"},
		"replaced weights after a start": {func(r *observations) {
			r.Executions[0].Weights = 1
			r.updateEntry(func(h *processHistory) { h.Lifetimes[0].Started = at(7*time.Second + 1) })
		}, ""},
		"replaced weights 3 s after a start": {func(r *observations) {
			r.Executions[0].Weights = 1
			r.updateEntry(func(h *processHistory) { h.Lifetimes[0].Started = at(7 * time.Second) })
		}, "began on weights 1"},
		"replaced weights during a store outage": {func(r *observations) {
			r.Executions[0].Weights = 1
			r.StoreOutages = map[int][]interval{0: {{at(6 * time.Second), at(7*time.Second + 1)}}}
		}, ""},
		"replaced weights 3 s after an outage": {func(r *observations) {
			r.Executions[0].Weights = 1
			r.StoreOutages = map[int][]interval{0: {{at(6 * time.Second), at(7 * time.Second)}}}
		}, "began on weights 1"},
		"replaced weights after a freeze of the entry": {func(r *observations) {
			r.Executions[0].Weights = 1
			r.updateEntry(func(h *processHistory) { h.Outages = []interval{{at(9 * time.Second), at(9 * time.Second)}} })
		}, ""},
		"the newest weights":                        {func(r *observations) { r.Executions[0].Weights = 2 }, ""},
		"old weights still loaded":                  {func(r *observations) { r.LoadedWeights["e"] = 1 }, "still has weights 1"},
		"no recovery":                               {func(r *observations) { r.Calls[len(r.Calls)-1].Status = 502 }, "after the last fault"},
		"cut without a stop":                        {func(r *observations) { cut(of(r, kindFlow), at(11*time.Second)) }, "without a stop"},
		"non-idempotent request cut without a stop": {func(r *observations) { cut(of(r, kindOnce), at(11*time.Second)) }, "without a stop"},
		"cut at the runner's crash": {func(r *observations) {
			cut(of(r, kindFlow), at(11*time.Second))
			r.RunnerFaults["r"] = []interval{{at(10 * time.Second), at(10 * time.Second)}}
		}, ""},
		"cut at the crash of another runner": {func(r *observations) {
			cut(of(r, kindFlow), at(11*time.Second))
			r.RunnerFaults["q"] = []interval{{at(10 * time.Second), at(10 * time.Second)}}
		}, "without a stop"},
		"cut by a kill": {func(r *observations) {
			cut(of(r, kindFlow), at(11*time.Second))
			r.updateEntry(func(h *processHistory) { h.Outages = []interval{{at(9 * time.Second), at(9 * time.Second)}} })
		}, ""},
		"cut by the timeout":     {func(r *observations) { cut(of(r, kindFlow), at(17*time.Second)) }, ""},
		"cut before it was sent": {func(r *observations) { c := of(r, kindFlow); cut(c, at(11*time.Second)); c.WrittenAt = time.Time{} }, ""},
		"races with a close": {func(r *observations) {
			c := of(r, kindFlow)
			cut(c, at(10*time.Second+closeRaceWindow/2))
			r.removeExecutions(c)
		}, ""},
		"read and not forwarded": {func(r *observations) {
			c := of(r, kindFlow)
			cut(c, at(10*time.Second+closeRaceWindow*2))
			r.removeExecutions(c)
		}, "without a stop"},
		"cut by the end of the grace period":      {func(r *observations) { stopped(r, at(7*time.Second+time.Millisecond), at(14*time.Second)) }, ""},
		"cut too early":                           {func(r *observations) { stopped(r, at(8*time.Second), at(12*time.Second)) }, "cut 4s after it"},
		"accepted too late":                       {func(r *observations) { stopped(r, at(7*time.Second-time.Millisecond), at(14*time.Second)) }, "taken by entry 0 3.001s after its SIGTERM"},
		"connection refused while running":        {func(r *observations) { refused(r, at(15*time.Second)) }, "took none of 1 new connections, from 5s"},
		"connection refused just before the exit": {func(r *observations) { refused(r, at(10*time.Second+listenerCloseSlack/2)) }, ""},
		"connection closed without a response": {func(r *observations) {
			refused(r, at(15*time.Second))
			c := of(r, kindFlow)
			c.Refused, c.NewConnection = false, true
		}, "took none of 1"},
		"success without a seal": {func(r *observations) { of(r, kindRepeat).Sealed = false }, "without a seal"},
		"too much memory": {func(r *observations) {
			r.updateEntry(func(h *processHistory) { h.MostMemory = memoryLimit + 1 })
		}, "used 284 MB of 284"},
		"two runners work on a continued stream":                         {func(r *observations) { r.addSecondRun(10*time.Second+maxOverlap+1, 4) }, "went on at q-1 after event 4"},
		"two runners work on a continued stream for as long as they may": {func(r *observations) { r.addSecondRun(10*time.Second+maxOverlap, 4) }, ""},
		"the earlier runner goes on since the later one has failed": {func(r *observations) {
			r.addSecondRun(11*time.Second, 4)
			r.Executions[len(r.Executions)-1].EndedAt = at(10*time.Second + maxOverlap)
		}, ""},
		"two runners work on a repeated stream": {func(r *observations) { r.addSecondRun(10*time.Second+maxOverlap+1, 0) }, ""},
		"two runners work on a stream, and the entry cannot reach one": {func(r *observations) {
			r.addSecondRun(10*time.Second+maxOverlap+1, 4)
			r.Silences = map[string][]interval{"r": {{at(10 * time.Second), at(11 * time.Second)}}}
		}, ""},
		"unexpected exit": {func(r *observations) {
			r.updateEntry(func(h *processHistory) { h.Lifetimes[0].Ended = at(35 * time.Second) })
		}, "ended by itself"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := good()
			c.modify(r)
			got := strings.Join(checkGuarantees(r, true), "; ")
			if c.want == "" {
				assert.Empty(t, got)
				return
			}
			assert.Contains(t, got, c.want)
		})
	}
}

// TestBalancerPicks checks which entries get new connections, depending on the consecutive probes that each has failed.
func TestBalancerPicks(t *testing.T) {
	cases := map[string]struct {
		misses []int
		want   []int
	}{
		"all healthy":            {[]int{0, 0, 0, 0}, []int{0, 1, 2, 3}},
		"one failed probe":       {[]int{1, 0, 0, 0}, []int{0, 1, 2, 3}},
		"half unhealthy":         {[]int{2, 9, 0, 1}, []int{2, 3}},
		"less than half healthy": {[]int{2, 2, 2, 0}, []int{0, 1, 2, 3}},
		"none healthy":           {[]int{2, 2, 2, 2}, []int{0, 1, 2, 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var entries []*entry
			for i := range c.misses {
				entries = append(entries, &entry{number: i})
			}
			b := newBalancer(entries)
			b.failedProbes = c.misses
			picked := map[int]bool{}
			for range 1000 {
				picked[b.pick().number] = true
			}
			assert.Equal(t, c.want, slices.Sorted(maps.Keys(picked)))
		})
	}
}

// TestSeriesStopsOverlap checks that other faults are drawn during each rolling restart.
func TestSeriesStopsOverlap(t *testing.T) {
	actions := schedule(5, 10*time.Minute)
	count := 0
	for _, a := range actions {
		if a.Fault != faultStopAll && a.Fault != faultAgentsStop {
			continue
		}
		count++
		beside := slices.DeleteFunc(slices.Clone(actions), func(b action) bool { return b.At < a.At || b.At > a.At+faultsDuringSeriesWithin })
		assert.Greater(t, len(beside), faultsDuringSeries)
		assert.True(t, a.signalInterval() >= minSignalInterval && a.signalInterval() <= maxSignalInterval)
	}
	assert.Positive(t, count)
}
