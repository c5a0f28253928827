//go:build review

package play

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	contact = 3 * time.Second
	// fatalInterval is the time between two of the requests that crash runners, and backAfter the time after which a
	// crashed runner is back.
	fatalInterval = 4 * time.Second
	backAfter     = 2 * time.Second
	fatalPath     = "/a/fatal"
)

// fatalPart is a part of a prompt that crashes runners.
const fatalPart = "badbad01"

// fatalRuns records when runners crashed: under a request, or under requests with a part of a prompt.
type fatalRuns struct {
	// byPart is set if it is the part that crashes runners. crashes is the number of crashes after which the rule counts, and
	// kills how often all processes are killed.
	byPart         bool
	crashes, kills int
	mu             sync.Mutex
	at             []time.Time
}

// isFatal reports whether a request crashes the runner that begins it.
func (f *fatalRuns) isFatal(r *http.Request) bool {
	if f.byPart {
		return slices.Contains(site.PromptParts(r), fatalPart)
	}
	return r.URL.Path == fatalPath
}

// fatalCall returns the next fatal request. Those with the part are all different.
func (f *fatalRuns) fatalCall(n int) call {
	c := call{id: fmt.Sprintf("fatal%d", n), key: "key-1", path: fatalPath}
	if f.byPart {
		c.path, c.model, c.conversation = fmt.Sprintf("/a/x%d", n), "m", fatalPart
	}
	return c
}

// serve crashes the runner that begins a fatal request, and answers any other.
func (f *fatalRuns) serve(p *plainRunner, w http.ResponseWriter, r *http.Request) {
	if !f.isFatal(r) {
		site.WriteResponse(w, r, "hello")
		return
	}
	f.mu.Lock()
	f.at = append(f.at, time.Now())
	f.mu.Unlock()
	p.world.record("%s begins %s, which crashes it", p.id, site.RequestID(r))
	p.end()
	time.AfterFunc(backAfter, func() {
		if err := p.start("1.0"); err != nil {
			p.world.record("%s does not start: %v", p.id, err)
			return
		}
		p.enter()
	})
}

func (f *fatalRuns) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.at)
}

// playFatal has a request that crashes runners come again and again at two entries, and kills all processes of the system at
// once, twice, each time after the request was no longer sent on. Later than contact_ms after the third crash it may reach
// runners three more times from machines in touch.
func playFatal(w *world, trouble bool) ([]string, error) {
	return w.playFatal(&fatalRuns{crashes: 3, kills: 2}, trouble)
}

// playFatalPart is the same with a part of prompts that crashes runners, no two of them alike, and one kill. Later than
// contact_ms after the fifth crash such requests may reach runners three more times from machines in touch.
func playFatalPart(w *world, trouble bool) ([]string, error) {
	return w.playFatal(&fatalRuns{crashes: 5, kills: 1, byPart: true}, trouble)
}

func (w *world) playFatal(runs *fatalRuns, trouble bool) ([]string, error) {
	const runners, engines, quiet = 8, 3, 3
	w.store.Put("config", "main", withEngines(plainConfig(1, "non_idempotent", false)))
	w.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	for i := range byte(runners) {
		p, err := w.addPlain(i+1, "1.0", runs.serve)
		if err != nil {
			return nil, err
		}
		defer p.end()
	}
	var all []*multiEngine
	for i := range byte(engines) {
		e := w.addEngine(i+1, "m")
		defer e.server.Close()
		all = append(all, e)
	}
	first, err := w.startProcesses(all)
	if err != nil {
		return nil, err
	}
	second, err := w.addEntry(2, w.storeAt)
	if err != nil {
		return nil, err
	}
	edges := []*process{first, second}
	time.Sleep(startTime)
	var restarts []time.Time
	for n := 0; len(restarts) <= runs.kills; {
		n = w.sendUntilRefused(edges, runs, n, quiet)
		restarts = append(restarts, time.Now())
		if !trouble || len(restarts) > runs.kills {
			continue
		}
		if err := w.killAll(); err != nil {
			return nil, err
		}
	}
	return runs.judge(restarts), nil
}

// sendUntilRefused sends the fatal request again and again, at the entries by turns and sound requests beside it, until it has
// reached no runner for some times. It returns the number for the next one.
func (w *world) sendUntilRefused(edges []*process, runs *fatalRuns, n, quiet int) int {
	for refused := 0; refused < quiet; n++ {
		before := runs.count()
		for _, edge := range edges {
			w.send(edge, call{id: fmt.Sprintf("sound%d-%s", n, edge.name), key: "key-1", path: "/a/x"})
		}
		w.send(edges[n%len(edges)], runs.fatalCall(n))
		time.Sleep(fatalInterval)
		if refused++; runs.count() > before {
			refused = 0
		}
	}
	return n
}

// killAll kills all processes of the system at once and starts them again.
func (w *world) killAll() error {
	const startDelay = 300 * time.Millisecond
	for _, p := range w.processes {
		p.kill()
	}
	w.record("all processes were killed")
	time.Sleep(startDelay)
	for _, p := range w.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// judge returns what breaks the rule. Runs from machines that were started less than contact_ms before don't count.
func (f *fatalRuns) judge(restarts []time.Time) []string {
	const allowed = 3
	f.mu.Lock()
	defer f.mu.Unlock()
	var late []string
	for i, at := range f.at {
		inTouch := true
		for _, restart := range restarts {
			inTouch = inTouch && (at.Before(restart) || at.Sub(restart) > contact+time.Second)
		}
		if i >= f.crashes && at.Sub(f.at[f.crashes-1]) > contact && inTouch {
			late = append(late, fmt.Sprintf("BUDGET: run %d, %s after crash %d", i+1, at.Sub(f.at[f.crashes-1]).Round(time.Millisecond), f.crashes))
		}
	}
	if len(late) <= allowed {
		return nil
	}
	return late
}

// withEngines adds the service of the engines to a configuration.
func withEngines(c map[string]any) map[string]any {
	services, _ := c["services"].([]any)
	engines, _ := engineConfig(1, "m")["services"].([]any)
	c["services"] = append(services, engines...)
	return c
}
