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
	limitFactor    = 1.5
	limitSlack     = 5
	// limitGrace is how long after its first answer that names a limit an entry is held to it.
	limitGrace = 500 * time.Millisecond
	// limitDuration is how long the limit is named, limitEntries and limitEvery the load meanwhile.
	limitDuration     = 9 * time.Second
	limitEntries      = 4
	limitSendInterval = 16 * time.Millisecond
)

// limitedRunner names a limit in its answers for as long as it is on, and counts what it gets.
type limitedRunner struct {
	limiting atomic.Bool
	arrivals arrivals
	body     string
}

func (l *limitedRunner) handle(w http.ResponseWriter, req *http.Request) {
	l.arrivals.add()
	if l.limiting.Load() {
		w.Header().Set("Server-Limit", fmt.Sprint(limitPerSecond))
	}
	site.Answer(w, req, l.body)
}

// maxInWindow is how many arrivals after the moment fall into one window at the most.
func maxInWindow(a *arrivals, start time.Time, window time.Duration) int {
	after, most := a.elapsedSince(start), 0
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

// startLoad has requests come to each of the entries in turn, until it is stopped; stop waits for the last answer.
func startLoad(every time.Duration, entries []*world, send func(*world)) (stop func()) {
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

// startEntries starts so many startEntries.
func (s *sharedSite) startEntries(t *testing.T, n int) []*world {
	t.Helper()
	var all []*world
	for i := range n {
		all = append(all, s.entry(t, fmt.Sprint("entry-", i)))
	}
	return all
}

// addPromptRoute adds a route for prompts to a site's configuration.
func (s *sharedSite) addPromptRoute() {
	config := defaultConfig()
	config["routes"] = append(config["routes"].([]jsonMap), routeOf("prompt", "streaming", "e", jsonMap{"resumable": true, "gap_aim_ms": 1000}))
	config["services"] = append(config["services"].([]jsonMap), engineService())
	s.store.Put("config", "main", config)
}

// assertLimitHonored has a load come while the runner names a limit, and asserts that the runner gets no more than that allows, and is in use again
// once it names none.
func assertLimitHonored(t *testing.T, l *limitedRunner, entries []*world, send func(*world), meanwhile func()) {
	t.Helper()
	stop := startLoad(limitSendInterval, entries, send)
	defer stop()
	require.Eventually(t, func() bool { return l.arrivals.len() >= limitEntries }, wait, time.Millisecond)
	l.limiting.Store(true)
	began := time.Now()
	time.Sleep(limitDuration / 3)
	meanwhile()
	time.Sleep(time.Until(began.Add(limitDuration)))
	l.limiting.Store(false)
	lifted := l.arrivals.len()
	// While all its senders are in touch, each has been told within the first moments.
	most := maxInWindow(&l.arrivals, began.Add(2*limitGrace), limitWindow)
	assert.LessOrEqual(t, float64(most), limitPerSecond*limitFactor*limitWindow.Seconds()+limitSlack)
	assert.Positive(t, most, "what it takes is used")
	require.Eventually(t, func() bool { return l.arrivals.len() > lifted+10*limitEntries }, wait, 5*time.Millisecond, "it is in use again")
}

// TestRunnerLimitExceeded: runners that name a limit got as many requests as before.
func TestRunnerLimitExceeded(t *testing.T) {
	t.Run("a plain runner beside a sound one", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := beginShared(t, &site.Runner{ID: "limited", Handle: limited.handle}, &site.Runner{ID: "sound"})
		assertLimitHonored(t, &limited, s.startEntries(t, limitEntries), func(w *world) { w.call(t, "POST", "/once/x", "body") }, func() {})
	})
	t.Run("a plain runner alone", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := beginShared(t, &site.Runner{ID: "limited", Handle: limited.handle})
		assertLimitHonored(t, &limited, s.startEntries(t, limitEntries), func(w *world) { w.call(t, "POST", "/once/x", "body") }, func() {})
	})
	t.Run("a plain runner whose limit no agent shares out any more", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := beginShared(t, &site.Runner{ID: "limited", Handle: limited.handle})
		entries := s.startEntries(t, limitEntries)
		assertLimitHonored(t, &limited, entries, func(w *world) { w.call(t, "POST", "/once/x", "body") }, s.stop)
	})
	t.Run("an engine whose agent starts again meanwhile, and knows of no limit", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := beginShared(t)
		s.addPromptRoute()
		s.engine.Handle = limited.handle
		entries := s.startEntries(t, limitEntries)
		var n atomic.Int64
		assertLimitHonored(t, &limited, entries, func(w *world) {
			read(t, w.prompt(t, fmt.Sprint("/prompt/", n.Add(1))), "GET")
		}, func() { s.restartAgent(t) })
	})
	t.Run("an engine", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := beginShared(t)
		s.addPromptRoute()
		s.engine.Handle = limited.handle
		var n atomic.Int64
		assertLimitHonored(t, &limited, s.startEntries(t, limitEntries), func(w *world) {
			read(t, w.prompt(t, fmt.Sprint("/prompt/", n.Add(1))), "GET")
		}, func() {})
	})
}
