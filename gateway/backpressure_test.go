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
	// limitPerSecond is the limit that the runner states. In any limitWindow it may receive limitFactor times that,
	// plus limitSlack.
	limitPerSecond = 1.0
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	// limitGrace is how long after the first answer that states a limit an entry may still exceed it.
	limitGrace = 500 * time.Millisecond
	// limitDuration is how long the limit is stated. Meanwhile limitEntries entries together get a request every
	// limitSendInterval.
	limitDuration     = 9 * time.Second
	limitEntries      = 4
	limitSendInterval = 16 * time.Millisecond
)

// limitedRunner states a limit in its answers while limiting is set, and records the arrival of requests.
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
	site.WriteResponse(w, req, l.body)
}

// maxInWindow returns the largest number of arrivals in any window that begins with an arrival after start.
func maxInWindow(a *arrivals, start time.Time, window time.Duration) int {
	elapsed, most := a.elapsedSince(start), 0
	for i, first := range elapsed {
		n := 0
		for _, at := range elapsed[i:] {
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

// startLoad sends requests to the entries in turn. The returned function stops it and waits for the last answer.
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

// startEntries starts n entries.
func (s *sharedSite) startEntries(t *testing.T, n int) []*world {
	t.Helper()
	var all []*world
	for i := range n {
		all = append(all, s.startEntry(t, fmt.Sprint("entry-", i)))
	}
	return all
}

// addPromptRoute adds a route for prompts to the configuration.
func (s *sharedSite) addPromptRoute() {
	config := defaultConfig()
	config["routes"] = append(config["routes"].([]jsonMap), routeConfig("prompt", "streaming", "e", jsonMap{"resumable": true, "gap_aim_ms": 1000}))
	config["services"] = append(config["services"].([]jsonMap), engineServiceConfig())
	s.store.Put("config", "main", config)
}

// assertLimitHonored sends requests while the runner states a limit, and asserts that the runner receives no more than
// the limit allows and is used again after the limit was lifted.
func assertLimitHonored(t *testing.T, l *limitedRunner, entries []*world, send func(*world), meanwhile func()) {
	t.Helper()
	stop := startLoad(limitSendInterval, entries, send)
	defer stop()
	require.Eventually(t, func() bool { return l.arrivals.len() >= limitEntries }, testTimeout, time.Millisecond)
	l.limiting.Store(true)
	start := time.Now()
	time.Sleep(limitDuration / 3)
	meanwhile()
	time.Sleep(time.Until(start.Add(limitDuration)))
	l.limiting.Store(false)
	countWhenLifted := l.arrivals.len()
	// Each entry with a connection to an agent learns of the limit within limitGrace.
	most := maxInWindow(&l.arrivals, start.Add(2*limitGrace), limitWindow)
	assert.LessOrEqual(t, float64(most), limitPerSecond*limitFactor*limitWindow.Seconds()+limitSlack)
	assert.Positive(t, most, "requests within the limit are sent")
	require.Eventually(t, func() bool { return l.arrivals.len() > countWhenLifted+10*limitEntries }, testTimeout, 5*time.Millisecond, "requests after the limit was lifted")
}

// Guards against entries that send a runner as many requests as before although its answers state a limit.
func TestRunnerLimitExceeded(t *testing.T) {
	t.Run("a plain runner beside an unlimited one", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t, &site.Runner{ID: "limited", Handle: limited.handle}, &site.Runner{ID: "sound"})
		assertLimitHonored(t, &limited, s.startEntries(t, limitEntries), func(w *world) { w.send(t, "POST", "/once/x", "body") }, func() {})
	})
	t.Run("the only plain runner", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t, &site.Runner{ID: "limited", Handle: limited.handle})
		assertLimitHonored(t, &limited, s.startEntries(t, limitEntries), func(w *world) { w.send(t, "POST", "/once/x", "body") }, func() {})
	})
	t.Run("a plain runner whose agents have stopped", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t, &site.Runner{ID: "limited", Handle: limited.handle})
		entries := s.startEntries(t, limitEntries)
		assertLimitHonored(t, &limited, entries, func(w *world) { w.send(t, "POST", "/once/x", "body") }, s.stop)
	})
	t.Run("an engine whose agent restarts and does not know the limit", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t)
		s.addPromptRoute()
		s.engine.Handle = limited.handle
		entries := s.startEntries(t, limitEntries)
		var n atomic.Int64
		assertLimitHonored(t, &limited, entries, func(w *world) {
			readAnswer(t, w.sendPrompt(t, fmt.Sprint("/prompt/", n.Add(1))), "GET")
		}, func() { s.restartAgent(t) })
	})
	t.Run("an engine", func(t *testing.T) {
		t.Parallel()
		limited := limitedRunner{body: "limited"}
		s := startSharedSite(t)
		s.addPromptRoute()
		s.engine.Handle = limited.handle
		var n atomic.Int64
		assertLimitHonored(t, &limited, s.startEntries(t, limitEntries), func(w *world) {
			readAnswer(t, w.sendPrompt(t, fmt.Sprint("/prompt/", n.Add(1))), "GET")
		}, func() {})
	})
}
