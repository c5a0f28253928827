package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// applyWithin is how soon after its acknowledgement a change is in force.
	applyWithin = 2 * time.Second
	// observeRestoredFor is how long it is looked whether a copy takes something back.
	observeRestoredFor = 500 * time.Millisecond
)

// restoredConfig is a version of the configuration with a route of its own.
func restoredConfig(version int) jsonMap {
	return configWithRoutes(version, routeConfig("repeat", "idempotent", "plain", nil), routeConfig("added-"+string(rune('a'+version)), "idempotent", "plain", nil))
}

// startBeforeRestore is an entry that knows version 3 of the configuration and of the weights, and a copy that has version 1 of both; written is how many
// other changes the store has had between.
func startBeforeRestore(t *testing.T, written int) (*world, site.Copy) {
	t.Helper()
	w := startWorld(t, restoredConfig(1), &site.Runner{ID: "r"})
	t.Cleanup(w.stop)
	w.store.Put("versions", site.Model, site.WeightsOf(1))
	w.awaitVersions(t, 1, 1)
	older := w.store.Copy()
	for range written {
		w.store.Put("notes", "n", 1)
	}
	w.store.Put("config", "main", restoredConfig(3))
	w.store.Put("versions", site.Model, site.WeightsOf(3))
	w.awaitVersions(t, 3, 3)
	return w, older
}

func (w *world) awaitVersions(t *testing.T, config int64, weights deployment.WeightVersion) {
	t.Helper()
	assert.Eventually(t, func() bool { return w.configVersion() >= config && w.weightsVersion() >= weights }, applyWithin, 5*time.Millisecond,
		"not in force in time: configuration %d of %d, weights %d of %d", w.configVersion(), config, w.weightsVersion(), weights)
}

func (w *world) configVersion() int64 {
	if c := w.gateway.state.Config(); c != nil {
		return c.Version
	}
	return 0
}

func (w *world) weightsVersion() deployment.WeightVersion {
	named, _ := w.gateway.state.NamedWeights(site.Model)
	return named.Version
}

// A change that the store acknowledges after it has come back from a copy is in force as soon as any other, and the copy takes nothing back.
func TestChangeIsMissedAfterTheStoreWasRestored(t *testing.T) {
	write := func(w *world) {
		w.store.Put("config", "main", restoredConfig(3))
		w.store.Put("config", "main", restoredConfig(4))
		w.store.Put("versions", site.Model, site.WeightsOf(4))
	}
	assertChanges := func(t *testing.T, w *world) {
		t.Helper()
		write(w)
		w.awaitVersions(t, 4, 4)
	}
	t.Run("its revisions stay below those of before", func(t *testing.T) {
		w, older := startBeforeRestore(t, 20)
		w.store.Restore(older)
		assert.Never(t, func() bool { return w.configVersion() < 3 || w.weightsVersion() < 3 }, observeRestoredFor, 10*time.Millisecond, "the copy took a version back")
		assertChanges(t, w)
	})
	t.Run("its revisions pass those of before, before anybody asks", func(t *testing.T) {
		w, older := startBeforeRestore(t, 20)
		w.store.Fail(http.StatusServiceUnavailable)
		w.store.Restore(older)
		write(w)
		for range 40 {
			w.store.Put("notes", "n", 1)
		}
		w.store.Fail(0)
		w.awaitVersions(t, 4, 4)
	})
	t.Run("it was away before", func(t *testing.T) {
		w, older := startBeforeRestore(t, 20)
		w.store.Fail(http.StatusServiceUnavailable)
		time.Sleep(300 * time.Millisecond)
		w.store.Restore(older)
		w.store.Fail(0)
		assertChanges(t, w)
	})
	t.Run("twice in a row", func(t *testing.T) {
		w, older := startBeforeRestore(t, 20)
		w.store.Restore(older)
		time.Sleep(observeRestoredFor)
		w.store.Restore(older)
		assertChanges(t, w)
	})
	t.Run("the era is missing in some answers", func(t *testing.T) {
		w, older := startBeforeRestore(t, 20)
		w.store.Restore(older)
		time.Sleep(observeRestoredFor)
		w.store.HideEra(true)
		assertChanges(t, w)
	})
}

// What was known of runners and zones is not taken back by a copy that is older.
func TestRestoredStoreTakesBack(t *testing.T) {
	t.Run("a leaving", func(t *testing.T) {
		r := &site.Runner{ID: "r"}
		w := startWorld(t, defaultConfig(), r, &site.Runner{ID: "other"})
		defer w.stop()
		older := w.store.Copy()
		w.store.Put("servers", "r", runnerRecord(r, "draining"))
		leaving := func() bool { return w.gateway.state.Roster.Find("r").View(time.Now()).Leaving }
		w.eventually(t, leaving)
		w.store.Restore(older)
		assert.Never(t, func() bool { return !leaving() }, observeRestoredFor, 10*time.Millisecond)
	})
	t.Run("a removal", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "r"}, &site.Runner{ID: "other"})
		defer w.stop()
		older := w.store.Copy()
		w.store.Remove("servers", "r")
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("r") == nil })
		w.store.Restore(older)
		assert.Never(t, func() bool { return w.gateway.state.Roster.Find("r") != nil }, observeRestoredFor, 10*time.Millisecond)
	})
	t.Run("a removal, of a runner that writes its record again", func(t *testing.T) {
		r := &site.Runner{ID: "r"}
		w := startWorld(t, defaultConfig(), r, &site.Runner{ID: "other"})
		defer w.stop()
		older := w.store.Copy()
		w.store.Remove("servers", "r")
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("r") == nil })
		w.store.Restore(older)
		time.Sleep(observeRestoredFor)
		w.store.Put("servers", "r", runnerRecord(r, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("r") != nil })
	})
	t.Run("a runner that the copy doesn't have", func(t *testing.T) {
		late := &site.Runner{ID: "late"}
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "r"})
		defer w.stop()
		older := w.store.Copy()
		late.Start()
		t.Cleanup(late.Stop)
		w.store.Put("servers", "late", runnerRecord(late, "ready"))
		listed := func() bool { return w.gateway.state.Roster.Find("late") != nil }
		w.eventually(t, listed)
		w.store.Restore(older)
		assert.Never(t, func() bool { return !listed() }, observeRestoredFor, 10*time.Millisecond)
		w.store.Put("servers", "late", runnerRecord(late, "ready"))
		time.Sleep(applyWithin)
		assert.True(t, listed(), "it has written its record again in time")
	})
	for name, begun := range map[string]bool{"an evacuation that was begun": true, "an evacuation that was lifted": false} {
		t.Run(name, func(t *testing.T) {
			store := site.NewStore()
			store.Put("config", "main", defaultConfig())
			w := startWithSettings(t, store, func(s *deployment.Settings) { s.Bounds.ZoneEvacuation = applyWithin })
			defer w.stop()
			w.awaitReady(t)
			evacuated := func() bool { return w.gateway.state.Evacuations().Has(rillreach.ZoneID("z1")) }
			change := func(evacuate bool) {
				if evacuate {
					w.store.Put("evacuations", "z1", jsonMap{})
				} else {
					w.store.Remove("evacuations", "z1")
				}
				w.eventually(t, func() bool { return evacuated() == evacuate })
			}
			if !begun {
				change(true)
			}
			older := w.store.Copy()
			change(begun)
			w.store.Restore(older)
			require.Never(t, func() bool { return evacuated() != begun }, observeRestoredFor, 10*time.Millisecond)
			if begun {
				change(true)
			}
			change(false)
		})
	}
}
