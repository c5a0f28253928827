package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestAbandonedStreamIsReported cuts a stream while its runner is at work, and holds it against the promise without those bound in time.
func TestAbandonedStreamIsReported(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	const (
		began = 100 * time.Millisecond
		ended = 2 * time.Second
	)
	cut := func() *observations {
		return &observations{
			Calls:        []callRecord{{ID: "chat", Kind: kindChat, Key: permanentKey, SentAt: at(0), WrittenAt: at(0), EndedAt: at(ended), Status: 200, Truncated: true}},
			Executions:   []execution{{ID: "chat", Runner: "e-0-1", StartedAt: at(0), FirstEventAt: at(began), EndedAt: at(ended)}},
			Entries:      map[int]processHistory{0: {Lifetimes: []processLifetime{{Ready: at(-time.Minute)}}}},
			RunnerFaults: map[string][]interval{},
		}
	}
	// next has the stream go on at another runner, which begins at the first time and answers at the second.
	next := func(r *observations, begins, first time.Duration) {
		r.Calls[0].EndedAt = at(ended + time.Second)
		r.Executions = append(r.Executions, execution{ID: "chat", Runner: "e-1-1", StartedAt: at(begins), FirstEventAt: at(first), EndedAt: at(ended + time.Second)})
	}
	breakOff := func(r *observations, place string, when time.Duration) {
		r.RunnerFaults[place] = append(r.RunnerFaults[place], interval{at(when), at(when)})
	}
	const givenUp = "though e-0-1 was answering it"
	cases := map[string]struct {
		spoil func(r *observations)
		want  string
	}{
		"by its entry":              {func(*observations) {}, givenUp},
		"and answered as failed":    {func(r *observations) { r.Calls[0].Truncated, r.Calls[0].Status = false, 502 }, givenUp},
		"beside another's crash":    {func(r *observations) { breakOff(r, "e-1", ended-1) }, givenUp},
		"before a crash":            {func(r *observations) { breakOff(r, "e-0", ended+1) }, givenUp},
		"by its runner":             {func(r *observations) { breakOff(r, "e-0", ended-1) }, ""},
		"while its runner was slow": {func(r *observations) { r.RunnerFaults["e-0"] = []interval{{at(began), at(ended)}} }, givenUp},
		"after its runner's whole":  {func(r *observations) { r.Executions[0].Complete = true }, givenUp},
		"whole, on its way at a crash": {func(r *observations) {
			r.Executions[0].Complete, r.Calls[0].EndedAt = true, at(ended+began)
			breakOff(r, "e-0", ended+1)
		}, ""},
		"whole, before a crash":           {func(r *observations) { r.Executions[0].Complete = true; breakOff(r, "e-0", ended+1) }, givenUp},
		"and told of it late by a freeze": {func(r *observations) { r.Executions[0].EndedAt = at(ended + began); breakOff(r, "e-0", ended+1) }, givenUp},
		"for one that never answers":      {func(r *observations) { next(r, ended, ended); r.Executions[1].FirstEventAt = time.Time{} }, givenUp},
		"for one that answers later":      {func(r *observations) { next(r, ended, ended+began) }, givenUp},
		"for one that answers and is given up": {
			func(r *observations) { next(r, ended-2*began, ended-began) }, "though e-1-1 was answering it",
		},
		"for one that answers and breaks off": {
			func(r *observations) { next(r, ended-2*began, ended-began); breakOff(r, "e-1", ended+began) }, "",
		},
		"late, where one that had answered breaks off": {func(r *observations) {
			next(r, began, 2*began)
			r.Executions[0] = execution{ID: "chat", Runner: "e-0-1", StartedAt: at(ended), EndedAt: at(ended)}
			breakOff(r, "e-1", ended+began)
		}, ""},
		"late, where one that had answered is given up": {func(r *observations) {
			next(r, began, 2*began)
			r.Executions[0] = execution{ID: "chat", Runner: "e-0-1", StartedAt: at(ended), EndedAt: at(ended)}
		}, "though e-1-1 was answering it"},
		"by the time-out":         {func(r *observations) { r.Calls[0].EndedAt = at(streamTimeout) }, ""},
		"before it was sent":      {func(r *observations) { r.Calls[0].WrittenAt = time.Time{} }, ""},
		"by the end of its entry": {func(r *observations) { r.updateEntry(func(h *processHistory) { h.SIGTERMs = []time.Time{at(began)} }) }, ""},
		"by the kill of an entry that did not end": {
			func(r *observations) {
				r.updateEntry(func(h *processHistory) { h.SIGTERMs = []time.Time{at(ended - killAfter - signalSlack)} })
			}, "",
		},
		"long after a stop of its entry": {
			func(r *observations) {
				r.updateEntry(func(h *processHistory) { h.SIGTERMs = []time.Time{at(ended - killAfter - signalSlack - 1)} })
			}, givenUp,
		},
		"by a kill of its entry": {func(r *observations) {
			r.updateEntry(func(h *processHistory) { h.Outages = []interval{{at(began), at(began)}} })
		}, ""},
		"by another kind of request": {func(r *observations) { r.Calls[0].Kind = kindRepeat }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := cut()
			c.spoil(r)
			got := strings.Join(checkGuarantees(r, false), "; ")
			if c.want == "" {
				assert.NotContains(t, got, "was answering it")
				return
			}
			assert.Contains(t, got, c.want)
		})
	}
}
