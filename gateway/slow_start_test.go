package gateway

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/slowstart"
)

// coldLimits bounds the requests to a cold runner in any second.
var coldLimits = slowstart.Limits{PerSecond: 8, Factor: 1.5, Slack: 4}

const (
	// coldDuration is how long the runner is cold. Meanwhile coldRequests requests come one after the other, or
	// coldPrompts prompts.
	coldDuration = 3 * time.Second
	coldRequests = 60
	coldPrompts  = 21
	// simultaneousPrompts is the number of prompts that come at once. The others follow at promptInterval.
	simultaneousPrompts = 17
	promptInterval      = 100 * time.Millisecond
)

// arrivals records when requests reached a runner.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// elapsedSince returns the time from start to each arrival.
func (a *arrivals) elapsedSince(start time.Time) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []time.Duration
	for _, at := range a.at {
		all = append(all, at.Sub(start))
	}
	return all
}

func (a *arrivals) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.at)
}

// withSlowStart adds the slow start settings to a service of the configuration.
func withSlowStart(config jsonMap, service string) jsonMap {
	for _, s := range config["services"].([]jsonMap) {
		if s["name"] == service {
			s["cold_start_s"], s["cold_per_s"] = coldDuration.Seconds(), coldLimits.PerSecond
		}
	}
	return config
}

func setSlowStartBounds(s *deployment.Settings) {
	s.Bounds.SlowStartFactor, s.Bounds.SlowStartSlack = coldLimits.Factor, coldLimits.Slack
}

// assertColdLimits asserts that the number of arrivals since start never exceeds the limits for the elapsed time. A
// busy machine delays arrivals but never makes them early.
func assertColdLimits(t *testing.T, a *arrivals, start time.Time) {
	t.Helper()
	most := coldLimits.PerSecond*coldLimits.Factor + coldLimits.Slack
	for i, elapsed := range a.elapsedSince(start) {
		assert.LessOrEqual(t, float64(i+1), most*math.Ceil(elapsed.Seconds()), "after %s", elapsed)
	}
}

// Guards against too many requests to the only runner of a plain service while it is cold.
func TestColdRunnerOverloadedWithoutAgent(t *testing.T) {
	var reached arrivals
	r := &site.Runner{ID: "cold", Handle: func(w http.ResponseWriter, req *http.Request) {
		reached.add()
		site.WriteResponse(w, req, "sound")
	}}
	r.Start()
	defer r.Stop()
	store := site.NewStore()
	store.Put("config", "main", withSlowStart(defaultConfig(), "plain"))
	listed := runnerRecord(r, "ready")
	listed["cold_remaining_ms"] = coldDuration.Milliseconds()
	store.Put("servers", r.ID, listed)
	w := startWithSettings(t, store, setSlowStartBounds)
	defer w.stop()
	w.awaitReady(t)
	start := time.Now()
	for range coldRequests {
		w.send(t, "POST", "/once/x", "body")
	}
	w.eventually(t, func() bool {
		w.send(t, "POST", "/once/x", "body")
		return reached.len() > 0
	})
	assertColdLimits(t, &reached, start)
	assert.Contains(t, w.send(t, "POST", "/once/x", "body").body, verdictRunnersCold)
	store.Put("servers", r.ID, runnerRecord(r, "ready"))
	w.eventually(t, func() bool { return w.send(t, "POST", "/once/x", "body").status == http.StatusOK })
	for range coldRequests {
		require.Equal(t, http.StatusOK, w.send(t, "POST", "/once/x", "body").status, "a warm runner accepts every request")
	}
}

// promptLatencyTarget is so short that most prompts miss it before the engine accepts them.
const promptLatencyTarget = 400 * time.Millisecond

// Guards against too many prompts to a cold engine from several entries, as after a power loss when all engines are
// cold. The prompts wait for permits of the engine's agent, which the entries share, and are served late rather than
// refused.
func TestColdEngineOverloaded(t *testing.T) {
	s := startSharedSite(t)
	var reached arrivals
	s.engine.Handle = func(w http.ResponseWriter, req *http.Request) {
		reached.add()
		site.WriteResponse(w, req, "sound")
	}
	config := defaultConfig()
	config["routes"] = append(config["routes"].([]jsonMap), routeConfig("prompt", "streaming", "e", jsonMap{"resumable": true, "target_latency_ms": promptLatencyTarget.Milliseconds(), "gap_aim_ms": 1000}))
	config["services"] = append(config["services"].([]jsonMap), engineServiceConfig())
	s.store.Put("config", "main", withSlowStart(config, "e"))
	first, second := s.startEntry(t, "entry-1"), s.startEntry(t, "entry-2")
	listed := site.NewEngineRecord(s.engine.Address(), "ready", 1)
	listed["cold_remaining_ms"] = coldDuration.Milliseconds()
	s.store.Put("servers", s.engine.ID, listed)
	for _, w := range []*world{first, second} {
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("engine").View(time.Now()).Cold })
	}
	var wg sync.WaitGroup
	var served arrivals
	start := time.Now()
	for i := range coldPrompts {
		w := []*world{first, second}[i%2]
		wg.Go(func() {
			time.Sleep(promptInterval * time.Duration(max(0, i-simultaneousPrompts)))
			if readAnswer(t, w.sendPrompt(t, fmt.Sprint("/prompt/", i)), "GET").status == http.StatusOK {
				served.add()
			}
		})
	}
	wg.Wait()
	assertColdLimits(t, &reached, start)
	assert.Equal(t, coldPrompts, served.len(), "prompts that wait are served")
}

// Guards against dropping permits for a runner that has crashed and is listed under another name, while its agent still
// names the earlier process.
func TestPermitsOfEarlierRunDropped(t *testing.T) {
	g, _ := gatewayWithEngines(1)
	now := time.Now()
	later := g.state.Roster.Find("r0").Info()
	later.ID, later.ColdUntil, later.Revision.Number = "r0-again", now.Add(time.Minute), later.Revision.Number+1
	g.state.Roster.Put(later)
	cold := g.state.Roster.ByAddress(later.Address)
	require.Equal(t, later.ID, cold.Info().ID)
	require.Equal(t, roster.DeniedCold, cold.View(now).Denied)
	g.applyPermits(later.Address, &bulletin.Bulletin{Runner: "r0", Permits: 1}, now)
	assert.Empty(t, cold.View(now).Denied)
}
