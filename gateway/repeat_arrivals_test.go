package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// repeatArrivals records when requests were sent by callers, and when they arrived at runners for the second time or later.
type repeatArrivals struct {
	mu        sync.Mutex
	seen      map[string]bool
	requests  []time.Time
	repeats   []time.Time
	requestID int
}

// newRequest returns the ID of a request that is being sent.
func (a *repeatArrivals) newRequest() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, time.Now())
	a.requestID++
	return strconv.Itoa(a.requestID)
}

// breakOffFirst is a runner's handler that breaks off the first arrival of each request.
func (a *repeatArrivals) breakOffFirst(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Rillreach-Attempt-Id")
	a.mu.Lock()
	seen := a.seen[id]
	a.seen[id] = true
	if seen {
		a.repeats = append(a.repeats, time.Now())
	}
	a.mu.Unlock()
	if !seen {
		panic(http.ErrAbortHandler)
	}
	site.WriteResponse(w, req, "hello")
}

// mostRepeats returns the largest number of repeats in a window, and how many requests came in that window and in the two
// that the rule also names, whichever has most.
func (a *repeatArrivals) mostRepeats(window time.Duration) (repeats, requests int) {
	for _, from := range a.repeats {
		sent := countBetween(a.repeats, from, from.Add(window))
		if sent <= repeats {
			continue
		}
		repeats, requests = sent, 0
		for _, shift := range []time.Duration{0, window / 2, window} {
			requests = max(requests, countBetween(a.requests, from.Add(-shift), from.Add(window-shift)))
		}
	}
	return repeats, requests
}

// Guards against more repeats at the runners than the retry budget allows, while entries are replaced by new processes.
func TestRestartedEntriesForgetRepeats(t *testing.T) {
	const (
		entries  = 4
		window   = 2 * time.Second
		slack    = 40
		interval = 10 * time.Millisecond
		play     = 5 * time.Second
		lifetime = 500 * time.Millisecond
	)
	a := &repeatArrivals{seen: map[string]bool{}}
	store := site.NewStore()
	store.Put("config", "main", defaultConfig())
	for _, id := range []string{"a", "b", "c"} {
		r := &site.Runner{ID: id, Handle: a.breakOffFirst}
		r.Start()
		t.Cleanup(r.Stop)
		store.Put("servers", id, runnerRecord(r, "ready"))
	}
	start := func() *world {
		w := startWithSettings(t, store, func(s *deployment.Settings) {
			s.Bounds.RetryRatio, s.Bounds.RetryWindow, s.Bounds.RetrySlack = repeatRatio, window, slack
			s.Bounds.GracePeriod = time.Second
		})
		w.eventually(t, func() bool { return w.readiness(t) == http.StatusOK })
		return w
	}
	generation := func() (worlds [entries]*world) {
		for i := range worlds {
			worlds[i] = start()
		}
		return worlds
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var calls conc.WaitGroup
	current := generation()
	started := time.Now()
	replacedAt := started
	for i := 0; time.Since(started) < play; i++ {
		if time.Since(replacedAt) >= lifetime {
			for _, w := range current {
				w.stop()
			}
			current, replacedAt = generation(), time.Now()
		}
		address := current[i%entries].callerAddress
		calls.Go(func() {
			req := httptest.NewRequest(http.MethodGet, "http://"+address+"/repeat/x", nil)
			req.RequestURI = ""
			req.Host = host
			req.Header.Set("Authorization", "Bearer "+key)
			req.Header.Set("X-Rillreach-Attempt-Id", a.newRequest())
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
		time.Sleep(interval)
	}
	calls.Wait()
	for _, w := range current {
		w.stop()
	}
	repeats, requests := a.mostRepeats(window)
	t.Logf("%d repeats for %d requests", repeats, requests)
	require.NotZero(t, repeats)
	assert.LessOrEqual(t, float64(repeats), repeatRatio*float64(requests)+slack)
}
