package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// TestShortSoak plays one schedule with real processes, and holds it against the promises that are not bound in time.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "rillreach")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/rillreach").CombinedOutput()
	require.NoError(t, err, string(out))
	const length = 14 * time.Second
	w, err := newWorld(binary, dir, 2, 3, t.Logf)
	require.NoError(t, err)
	defer w.close()
	r := w.play(schedule(5, length), length)
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

// TestJudgeFindsBrokenPromises breaks each promise in a record that keeps all of them.
func TestJudgeFindsBrokenPromises(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	good := func() *record {
		r := &record{Disturbed: map[int][]span{}, Left: map[string]time.Time{}, Removed: map[string]time.Time{}, Quiet: at(20 * time.Second)}
		r.Named, r.Loaded, r.Ended = map[uint64]time.Time{1: at(-time.Minute), 2: at(-time.Second)}, map[string]uint64{"e": 2}, at(40*time.Second)
		for i, k := range kinds {
			id := string(k)
			r.Calls = append(r.Calls, call{
				ID: id, Kind: k, Key: keptKey, Sent: at(10 * time.Second), Ended: at(11 * time.Second), Status: 200, Body: expected(id, k),
			})
			r.Runs = append(r.Runs, run{ID: id, Runner: "r", At: at(10*time.Second + time.Duration(i))})
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
		"a cut that is a cut":    {func(r *record) { c := of(r, kindFlow); c.Body, c.Cut = c.Body[:9], true }, ""},
		"a piece doubled":        {func(r *record) { c := of(r, kindFlow); c.Body, c.Cut = c.Body+c.Body, true }, "before the cut"},
		"late":                   {func(r *record) { of(r, kindOnce).Ended = at(20 * time.Second) }, "no final answer"},
		"a leaving runner":       {func(r *record) { r.Left["r"] = at(7 * time.Second) }, "after its leaving"},
		"a key taken away":       {func(r *record) { r.Removed[keptKey] = at(7 * time.Second) }, "taken away"},
		"two holders": {func(r *record) {
			r.Orders = append(r.Orders, given{"e", site.Order{Holder: "a", Fence: 1}}, given{"e", site.Order{Holder: "b", Fence: 2}})
		}, "orders of a and of b"},
		"a fence that falls": {func(r *record) {
			r.Orders = append(r.Orders, given{"e", site.Order{Holder: "a", Fence: 2}}, given{"e", site.Order{Holder: "a", Fence: 1}})
		}, "fence 1 after 2"},
		"an order given again": {func(r *record) {
			r.Orders = append(r.Orders, given{"e", site.Order{Holder: "a", Fence: 2}}, given{"e", site.Order{Holder: "a", Fence: 2}})
		}, ""},
		"replaced weights":   {func(r *record) { r.Runs[0].Weights = 1 }, "began on weights 1"},
		"the newest weights": {func(r *record) { r.Runs[0].Weights = 2 }, ""},
		"old weights left":   {func(r *record) { r.Loaded["e"] = 1 }, "still has weights 1"},
		"no return":          {func(r *record) { r.Calls[len(r.Calls)-1].Status = 502 }, "after the last fault"},
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
