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
	// applyWithin is how soon after its acknowledgement a change must be in force.
	applyWithin = 2 * time.Second
	// revertCheckTime is how long tests check that a restore reverts nothing.
	revertCheckTime = 500 * time.Millisecond
)

// restoredConfig returns a version of the configuration, with a route that only this version has.
func restoredConfig(version int) jsonMap {
	return configWithRoutes(version, routeConfig("repeat", "idempotent", "plain", nil), routeConfig("added-"+string(rune('a'+version)), "idempotent", "plain", nil))
}

// startBeforeRestore returns an entry that knows version 3 of the configuration and the weights, and a copy of the
// store with version 1 of both. In between the store has had the given number of other writes.
func startBeforeRestore(t *testing.T, otherWrites int) (*world, site.Snapshot) {
	t.Helper()
	w := startWorld(t, restoredConfig(1), &site.Runner{ID: "r"})
	t.Cleanup(w.stop)
	w.store.Put("versions", site.Model, site.NewModelWeights(1))
	w.awaitVersions(t, 1, 1)
	backup := w.store.Snapshot()
	for range otherWrites {
		w.store.Put("notes", "n", 1)
	}
	w.store.Put("config", "main", restoredConfig(3))
	w.store.Put("versions", site.Model, site.NewModelWeights(3))
	w.awaitVersions(t, 3, 3)
	return w, backup
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
	desired, _ := w.gateway.state.DesiredWeights(site.Model)
	return desired.Version
}

// A change that is acknowledged after the store was restored from a backup must be in force as soon as any other,
// and the restore itself must revert nothing.
func TestChangeMissedAfterStoreRestore(t *testing.T) {
	write := func(w *world) {
		w.store.Put("config", "main", restoredConfig(3))
		w.store.Put("config", "main", restoredConfig(4))
		w.store.Put("versions", site.Model, site.NewModelWeights(4))
	}
	assertChanges := func(t *testing.T, w *world) {
		t.Helper()
		write(w)
		w.awaitVersions(t, 4, 4)
	}
	t.Run("revisions stay below those before the restore", func(t *testing.T) {
		w, backup := startBeforeRestore(t, 20)
		w.store.Restore(backup)
		assert.Never(t, func() bool { return w.configVersion() < 3 || w.weightsVersion() < 3 }, revertCheckTime, 10*time.Millisecond, "the restore reverted a version")
		assertChanges(t, w)
	})
	t.Run("revisions pass those before the restore while the store is unreachable", func(t *testing.T) {
		w, backup := startBeforeRestore(t, 20)
		w.store.FailWithStatus(http.StatusServiceUnavailable)
		w.store.Restore(backup)
		write(w)
		for range 40 {
			w.store.Put("notes", "n", 1)
		}
		w.store.FailWithStatus(0)
		w.awaitVersions(t, 4, 4)
	})
	t.Run("the store was unreachable before", func(t *testing.T) {
		w, backup := startBeforeRestore(t, 20)
		w.store.FailWithStatus(http.StatusServiceUnavailable)
		time.Sleep(300 * time.Millisecond)
		w.store.Restore(backup)
		w.store.FailWithStatus(0)
		assertChanges(t, w)
	})
	t.Run("the store is restored twice", func(t *testing.T) {
		w, backup := startBeforeRestore(t, 20)
		w.store.Restore(backup)
		time.Sleep(revertCheckTime)
		w.store.Restore(backup)
		assertChanges(t, w)
	})
	t.Run("some answers lack the era", func(t *testing.T) {
		w, backup := startBeforeRestore(t, 20)
		w.store.Restore(backup)
		time.Sleep(revertCheckTime)
		w.store.SetEraHidden(true)
		assertChanges(t, w)
	})
}

// A store that was restored from a backup must not revert what the entry knows of runners and zones.
func TestStoreRestoreRevertsState(t *testing.T) {
	t.Run("a runner that is draining", func(t *testing.T) {
		r := &site.Runner{ID: "r"}
		w := startWorld(t, defaultConfig(), r, &site.Runner{ID: "other"})
		defer w.stop()
		backup := w.store.Snapshot()
		w.store.Put("servers", "r", runnerRecord(r, "draining"))
		leaving := func() bool { return w.gateway.state.Roster.Find("r").View(time.Now()).Leaving }
		w.eventually(t, leaving)
		w.store.Restore(backup)
		assert.Never(t, func() bool { return !leaving() }, revertCheckTime, 10*time.Millisecond)
	})
	t.Run("a removed runner", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "r"}, &site.Runner{ID: "other"})
		defer w.stop()
		backup := w.store.Snapshot()
		w.store.Remove("servers", "r")
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("r") == nil })
		w.store.Restore(backup)
		assert.Never(t, func() bool { return w.gateway.state.Roster.Find("r") != nil }, revertCheckTime, 10*time.Millisecond)
	})
	t.Run("a removed runner that writes its record again", func(t *testing.T) {
		r := &site.Runner{ID: "r"}
		w := startWorld(t, defaultConfig(), r, &site.Runner{ID: "other"})
		defer w.stop()
		backup := w.store.Snapshot()
		w.store.Remove("servers", "r")
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("r") == nil })
		w.store.Restore(backup)
		time.Sleep(revertCheckTime)
		w.store.Put("servers", "r", runnerRecord(r, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("r") != nil })
	})
	t.Run("a runner that is missing in the copy", func(t *testing.T) {
		late := &site.Runner{ID: "late"}
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "r"})
		defer w.stop()
		backup := w.store.Snapshot()
		late.Start()
		t.Cleanup(late.Stop)
		w.store.Put("servers", "late", runnerRecord(late, "ready"))
		listed := func() bool { return w.gateway.state.Roster.Find("late") != nil }
		w.eventually(t, listed)
		w.store.Restore(backup)
		assert.Never(t, func() bool { return !listed() }, revertCheckTime, 10*time.Millisecond)
		w.store.Put("servers", "late", runnerRecord(late, "ready"))
		time.Sleep(applyWithin)
		assert.True(t, listed(), "its record was written again in time")
	})
	for name, started := range map[string]bool{"a started evacuation": true, "an ended evacuation": false} {
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
			if !started {
				change(true)
			}
			backup := w.store.Snapshot()
			change(started)
			w.store.Restore(backup)
			require.Never(t, func() bool { return evacuated() != started }, revertCheckTime, 10*time.Millisecond)
			if started {
				change(true)
			}
			change(false)
		})
	}
}
