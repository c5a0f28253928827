package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestJudgeFindsStreamsGivenUp cuts a stream while its runner is at work, and holds it against the promise without those bound in time.
func TestJudgeFindsStreamsGivenUp(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	const (
		began = 100 * time.Millisecond
		ended = 2 * time.Second
	)
	cut := func() *record {
		return &record{
			Calls:   []call{{ID: "chat", Kind: kindChat, Key: keptKey, Sent: at(0), Written: at(0), Ended: at(ended), Status: 200, Cut: true}},
			Runs:    []run{{ID: "chat", Runner: "e-0-1", At: at(0), First: at(began), Until: at(ended)}},
			Entries: map[int]history{0: {Lives: []life{{Ready: at(-time.Minute)}}}},
			Harmed:  map[string][]span{},
		}
	}
	// next has the stream go on at another runner, which begins at the first time and answers at the second.
	next := func(r *record, begins, first time.Duration) {
		r.Calls[0].Ended = at(ended + time.Second)
		r.Runs = append(r.Runs, run{ID: "chat", Runner: "e-1-1", At: at(begins), First: at(first), Until: at(ended + time.Second)})
	}
	breakOff := func(r *record, place string, when time.Duration) {
		r.Harmed[place] = append(r.Harmed[place], span{at(when), at(when)})
	}
	const givenUp = "though e-0-1 was answering it"
	cases := map[string]struct {
		spoil func(r *record)
		want  string
	}{
		"by its entry":              {func(*record) {}, givenUp},
		"and answered as failed":    {func(r *record) { r.Calls[0].Cut, r.Calls[0].Status = false, 502 }, givenUp},
		"beside another's crash":    {func(r *record) { breakOff(r, "e-1", ended-1) }, givenUp},
		"before a crash":            {func(r *record) { breakOff(r, "e-0", ended+1) }, givenUp},
		"by its runner":             {func(r *record) { breakOff(r, "e-0", ended-1) }, ""},
		"while its runner was slow": {func(r *record) { r.Harmed["e-0"] = []span{{at(began), at(ended)}} }, givenUp},
		"after its runner's whole":  {func(r *record) { r.Runs[0].Whole = true }, givenUp},
		"whole, on its way at a crash": {func(r *record) {
			r.Runs[0].Whole, r.Calls[0].Ended = true, at(ended+began)
			breakOff(r, "e-0", ended+1)
		}, ""},
		"whole, before a crash":           {func(r *record) { r.Runs[0].Whole = true; breakOff(r, "e-0", ended+1) }, givenUp},
		"and told of it late by a freeze": {func(r *record) { r.Runs[0].Until = at(ended + began); breakOff(r, "e-0", ended+1) }, givenUp},
		"for one that never answers":      {func(r *record) { next(r, ended, ended); r.Runs[1].First = time.Time{} }, givenUp},
		"for one that answers later":      {func(r *record) { next(r, ended, ended+began) }, givenUp},
		"for one that answers and is given up": {
			func(r *record) { next(r, ended-2*began, ended-began) }, "though e-1-1 was answering it",
		},
		"for one that answers and breaks off": {
			func(r *record) { next(r, ended-2*began, ended-began); breakOff(r, "e-1", ended+began) }, "",
		},
		"late, where one that had answered breaks off": {func(r *record) {
			next(r, began, 2*began)
			r.Runs[0] = run{ID: "chat", Runner: "e-0-1", At: at(ended), Until: at(ended)}
			breakOff(r, "e-1", ended+began)
		}, ""},
		"late, where one that had answered is given up": {func(r *record) {
			next(r, began, 2*began)
			r.Runs[0] = run{ID: "chat", Runner: "e-0-1", At: at(ended), Until: at(ended)}
		}, "though e-1-1 was answering it"},
		"by the time-out":         {func(r *record) { r.Calls[0].Ended = at(streamTimeout) }, ""},
		"before it was sent":      {func(r *record) { r.Calls[0].Written = time.Time{} }, ""},
		"by the end of its entry": {func(r *record) { r.entry(func(h *history) { h.Stops = []time.Time{at(began)} }) }, ""},
		"by the kill of an entry that did not end": {
			func(r *record) {
				r.entry(func(h *history) { h.Stops = []time.Time{at(ended - endWithin - signalSlack)} })
			}, "",
		},
		"long after a stop of its entry": {
			func(r *record) {
				r.entry(func(h *history) { h.Stops = []time.Time{at(ended - endWithin - signalSlack - 1)} })
			}, givenUp,
		},
		"by a kill of its entry":     {func(r *record) { r.entry(func(h *history) { h.Outages = []span{{at(began), at(began)}} }) }, ""},
		"by another kind of request": {func(r *record) { r.Calls[0].Kind = kindRepeat }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := cut()
			c.spoil(r)
			got := strings.Join(judge(r, false), "; ")
			if c.want == "" {
				assert.NotContains(t, got, "was answering it")
				return
			}
			assert.Contains(t, got, c.want)
		})
	}
}
