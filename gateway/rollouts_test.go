package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// rolloutWorld is an entry before two runners with the current version and two with the target version of a rollout.
type rolloutWorld struct {
	*world
	served [2]atomic.Int64 // by the current and the target version
	sent   int
}

const (
	currentVersion = iota
	targetVersion
)

// startRolloutWorld starts the runners and the entry. Those with the target version answer with the handler.
func startRolloutWorld(t *testing.T, handler http.HandlerFunc) *rolloutWorld {
	t.Helper()
	w := &rolloutWorld{}
	store := site.NewStore()
	store.Put("config", "main", defaultConfig())
	for i := range 4 {
		version := i % 2
		r := &site.Runner{ID: fmt.Sprint("r-", i), Handle: func(rw http.ResponseWriter, req *http.Request) {
			w.served[version].Add(1)
			if version == targetVersion {
				handler(rw, req)
				return
			}
			site.WriteResponse(rw, req, "ok")
		}}
		r.Start()
		t.Cleanup(r.Stop)
		record := runnerRecord(r, "ready")
		record["version"] = []string{"v1", "v2"}[version]
		store.Put("servers", r.ID, record)
	}
	w.world = startWithSettings(t, store, func(s *deployment.Settings) { s.Bounds.VersionExposure = 0.25 })
	t.Cleanup(w.stop)
	w.awaitReady(t)
	return w
}

// request names the rollout and waits until the entry knows it.
func (w *rolloutWorld) request(t *testing.T, duration time.Duration) {
	t.Helper()
	w.store.Put("rollouts", "plain", jsonMap{"service": "plain", "target_version": "v2", "duration_s": duration.Seconds()})
	w.eventually(t, func() bool { return w.gateway.rollouts.knows("plain") })
	w.served[currentVersion].Store(0)
	w.served[targetVersion].Store(0)
}

// knows reports whether the entry takes part in a rollout of the service.
func (c *rolloutController) knows(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.byService {
		if string(name) == service {
			return true
		}
	}
	return false
}

// sendUntil sends requests until the condition holds.
func (w *rolloutWorld) sendUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); {
		require.True(t, time.Now().Before(deadline), "condition does not hold in time")
		w.sendOne(t)
	}
}

// sendSome sends a number of requests, however long that takes.
func (w *rolloutWorld) sendSome(t *testing.T, n int) {
	t.Helper()
	for range n {
		w.sendOne(t)
	}
}

// sendOne sends a request of a conversation of its own.
func (w *rolloutWorld) sendOne(t *testing.T) {
	t.Helper()
	w.sent++
	prompt := fmt.Sprintf("X-Rillreach-Prompt-Prefix: aa:10,%x:10,ff:5", w.sent)
	w.send(t, "POST", "/once/x", "body", "X-Rillreach-Model: m", "X-Rillreach-Token-Usage: 25,1", prompt)
}

func (w *rolloutWorld) recordedState() string {
	status, _ := w.store.Status("rollouts", "plain").(map[string]any)
	state, _ := status["state"].(string)
	return state
}

func answerWell(rw http.ResponseWriter, req *http.Request) { site.WriteResponse(rw, req, "ok") }

func failAll(rw http.ResponseWriter, req *http.Request) {
	site.SetSealHeaders(rw, req)
	rw.WriteHeader(http.StatusInternalServerError)
}

// TestRolloutExposesBadVersion guards against a new version that gets a full share of the requests while nobody knows
// whether it is any good.
func TestRolloutExposesBadVersion(t *testing.T) {
	t.Run("an unproven version gets a small share", func(t *testing.T) {
		w := startRolloutWorld(t, answerWell)
		w.request(t, time.Minute)
		w.sendSome(t, 400)
		assert.InDelta(t, 40, w.served[targetVersion].Load(), 30)
		w.sendUntil(t, func() bool { return w.recordedState() == "active" })
	})
	t.Run("a version that fails is rolled back and gets nothing more", func(t *testing.T) {
		w := startRolloutWorld(t, failAll)
		w.request(t, time.Minute)
		w.sendUntil(t, func() bool { return w.recordedState() == "rolled_back" })
		before := w.served[targetVersion].Load()
		w.sendSome(t, 200)
		assert.Equal(t, before, w.served[targetVersion].Load())
	})
	t.Run("an entry that starts after the rollback sends it nothing", func(t *testing.T) {
		w := startRolloutWorld(t, failAll)
		w.request(t, time.Minute)
		w.sendUntil(t, func() bool { return w.recordedState() == "rolled_back" })
		before := w.served[targetVersion].Load()
		w.world = startWithSettings(t, w.store, func(s *deployment.Settings) { s.Bounds.VersionExposure = 0.25 })
		t.Cleanup(w.stop)
		w.awaitReady(t)
		w.eventually(t, func() bool { return w.gateway.rollouts.knows("plain") })
		w.sendSome(t, 100)
		assert.Equal(t, before, w.served[targetVersion].Load())
	})
	t.Run("a rollback that a restored store has lost stays in force", func(t *testing.T) {
		w := startRolloutWorld(t, failAll)
		w.request(t, time.Minute)
		backup := w.store.Snapshot()
		w.sendUntil(t, func() bool { return w.recordedState() == "rolled_back" })
		before := w.served[targetVersion].Load()
		w.store.Restore(backup)
		w.sendUntil(t, func() bool { return w.recordedState() == "rolled_back" })
		w.sendSome(t, 100)
		assert.Equal(t, before, w.served[targetVersion].Load())
	})
}

func TestRolloutNotCompletedInTime(t *testing.T) {
	t.Run("a good version is completed before the deadline, and the old one gets nothing more", func(t *testing.T) {
		w := startRolloutWorld(t, answerWell)
		w.request(t, 2*time.Second)
		start := time.Now()
		w.sendUntil(t, func() bool { return w.recordedState() == "completed" })
		assert.Less(t, time.Since(start), 2*time.Second)
		before := w.served[currentVersion].Load()
		w.sendSome(t, 100)
		assert.Equal(t, before, w.served[currentVersion].Load())
	})
	t.Run("both versions are used again once a rollout is withdrawn", func(t *testing.T) {
		w := startRolloutWorld(t, failAll)
		w.request(t, time.Minute)
		w.sendUntil(t, func() bool { return w.recordedState() == "rolled_back" })
		before := w.served[targetVersion].Load()
		w.store.Remove("rollouts", "plain")
		w.sendUntil(t, func() bool { return w.served[targetVersion].Load() > before })
	})
	t.Run("a record that cannot be read changes nothing", func(t *testing.T) {
		w := startRolloutWorld(t, failAll)
		w.request(t, time.Minute)
		w.sendUntil(t, func() bool { return w.recordedState() == "rolled_back" })
		before := w.served[targetVersion].Load()
		w.store.Put("rollouts", "plain", site.InvalidJSON{})
		w.eventually(t, func() bool { return w.gateway.state.Rollouts()["plain"].Target == "v2" })
		w.sendSome(t, 100)
		assert.Equal(t, before, w.served[targetVersion].Load())
	})
}
