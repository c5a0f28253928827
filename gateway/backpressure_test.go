package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// limitPerSecond is the limit that a runner names, limitWindow and the others the bound on what it may get in any such time: so many
	// times the limit, and a few more.
	limitPerSecond = 1.0
	limitWindow    = 4 * time.Second
	limitOver      = 1.5
	limitSlack     = 5
	// limitTold is how long after its first answer that names a limit an entry is held to it.
	limitTold = 500 * time.Millisecond
	// limitFor is how long the limit is named, limitEntries and limitEvery the load meanwhile.
	limitFor     = 9 * time.Second
	limitEntries = 4
	limitEvery   = 16 * time.Millisecond
)

// limitedRunner names a limit in its answers for as long as it is on, and counts what it gets.
type limitedRunner struct {
	on      atomic.Bool
	reached arrivals
	body    string
}

func (l *limitedRunner) handle(w http.ResponseWriter, req *http.Request) {
	l.reached.add()
	if l.on.Load() {
		w.Header().Set("Server-Limit", fmt.Sprint(limitPerSecond))
	}
	site.Answer(w, req, l.body)
}

// mostWithin is how many arrivals after the moment fall into one window at the most.
func mostWithin(a *arrivals, start time.Time, window time.Duration) int {
	after, most := a.since(start), 0
	for i, first := range after {
		n := 0
		for _, at := range after[i:] {
			if at < first+window {
				n++
			}
		}
		if first >= 0 {
			most = max(most, n)
		}
	}
	return most
}

// load has requests come to each of the entries in turn, until it is stopped; stop waits for the last answer.
func load(every time.Duration, entries []*world, send func(*world)) (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				wg.Go(func() { send(entries[i%len(entries)]) })
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// entries starts so many entries.
func (s *sharedSite) entries(t *testing.T, n int) []*world {
	t.Helper()
	var all []*world
	for i := range n {
		all = append(all, s.startEntry(t, fmt.Sprint("entry-", i)))
	}
	return all
}

// withPrompts adds a route for prompts to a site's configuration.
func (s *sharedSite) withPrompts() {
	config := defaultConfig()
	config["routes"] = append(config["routes"].([]jsonMap), routeConfig("prompt", "streaming", "e", jsonMap{"resumable": true, "gap_aim_ms": 1000}))
	config["services"] = append(config["services"].([]jsonMap), engineServiceConfig())
	s.store.Put("config", "main", config)
}

// assertLimitKept has a load come while the runner names a limit, and asserts that the runner gets no more than that allows, and is in use again
// once it names none.
func assertLimitKept(t *testing.T, l *limitedRunner, entries []*world, send func(*world), meanwhile func()) {
	t.Helper()
	stop := load(limitEvery, entries, send)
	defer stop()
	require.Eventually(t, func() bool { return l.reached.len() >= limitEntries }, testTimeout, time.Millisecond)
	l.on.Store(true)
	began := time.Now()
	time.Sleep(limitFor / 3)
	meanwhile()
	time.Sleep(time.Until(began.Add(limitFor)))
	l.on.Store(false)
	lifted := l.reached.len()
	// While all its senders are in touch, each has been told within the first moments.
	most := mostWithin(&l.reached, began.Add(2*limitTold), limitWindow)
	assert.LessOrEqual(t, float64(most), limitPerSecond*limitOver*limitWindow.Seconds()+limitSlack)
	assert.Positive(t, most, "what it takes is used")
	require.Eventually(t, func() bool { return l.reached.len() > lifted+10*limitEntries }, testTimeout, 5*time.Millisecond, "it is in use again")
}

// TestLimitOfRunnerIsKept: runners that name a limit got as many requests as before.
func TestLimitOfRunnerIsKept(t *testing.T) {
	t.Run("a plain runner beside a sound one", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t, &site.Runner{ID: "limited", Handle: limited.handle}, &site.Runner{ID: "sound"})
		assertLimitKept(t, &limited, s.entries(t, limitEntries), func(w *world) { w.send(t, "POST", "/once/x", "body") }, func() {})
	})
	t.Run("a plain runner alone", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t, &site.Runner{ID: "limited", Handle: limited.handle})
		assertLimitKept(t, &limited, s.entries(t, limitEntries), func(w *world) { w.send(t, "POST", "/once/x", "body") }, func() {})
	})
	t.Run("a plain runner whose limit no agent shares out any more", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t, &site.Runner{ID: "limited", Handle: limited.handle})
		entries := s.entries(t, limitEntries)
		assertLimitKept(t, &limited, entries, func(w *world) { w.send(t, "POST", "/once/x", "body") }, s.stop)
	})
	t.Run("an engine whose agent starts again meanwhile, and knows of no limit", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t)
		s.withPrompts()
		s.engine.Handle = limited.handle
		entries := s.entries(t, limitEntries)
		var n atomic.Int64
		assertLimitKept(t, &limited, entries, func(w *world) {
			readAnswer(t, w.sendPrompt(t, fmt.Sprint("/prompt/", n.Add(1))), "GET")
		}, func() { s.restartAgent(t) })
	})
	t.Run("an engine", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t)
		s.withPrompts()
		s.engine.Handle = limited.handle
		var n atomic.Int64
		assertLimitKept(t, &limited, s.entries(t, limitEntries), func(w *world) {
			readAnswer(t, w.sendPrompt(t, fmt.Sprint("/prompt/", n.Add(1))), "GET")
		}, func() {})
	})
}
