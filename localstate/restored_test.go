package localstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// updatesOfEra returns a list of runners from the given era of the store.
func updatesOfEra(era uint64, ids ...string) []rillreach.Update[*deployment.Runner] {
	var all []rillreach.Update[*deployment.Runner]
	for i, id := range ids {
		u := validUpdate(id, uint64(i+1), "s")
		u.Revision.Era, u.Value.Revision.Era = era, era
		all = append(all, u)
	}
	return all
}

// A runner that was removed must not be used again because a backup of the store still lists it.
func TestRestoredStoreListsRemovedRunner(t *testing.T) {
	restored := func() *State {
		s := newState()
		s.replaceRunners(updatesOfEra(1, "a", "b"), time.Time{})
		s.applyRunnerUpdate(goneUpdate("a", 9), time.Time{})
		s.removedRunners.markRestored(time.Now())
		s.replaceRunners(updatesOfEra(2, "a", "b"), time.Now())
		return s
	}
	t.Run("its record is held back", func(t *testing.T) {
		s := restored()
		assert.Nil(t, s.Roster.Find("a"))
		assert.NotNil(t, s.Roster.Find("b"))
	})
	t.Run("it is listed once it has rewritten its record", func(t *testing.T) {
		s := restored()
		s.applyRunnerUpdate(updatesOfEra(2, "a")[0], time.Now())
		assert.NotNil(t, s.Roster.Find("a"))
	})
	t.Run("it is listed once its record has outlived that of a dead runner", func(t *testing.T) {
		s := restored()
		s.listHeldRunners(time.Now().Add(holdDuration - time.Second))
		assert.Nil(t, s.Roster.Find("a"))
		s.listHeldRunners(time.Now().Add(holdDuration))
		assert.NotNil(t, s.Roster.Find("a"))
	})
	t.Run("a held record that is removed is forgotten", func(t *testing.T) {
		s := restored()
		s.applyRunnerUpdate(goneUpdate("a", 11), time.Now())
		s.listHeldRunners(time.Now().Add(holdDuration))
		assert.Nil(t, s.Roster.Find("a"))
	})
	t.Run("a held record that the next list lacks is forgotten", func(t *testing.T) {
		s := restored()
		s.replaceRunners(updatesOfEra(2, "b"), time.Time{})
		s.listHeldRunners(time.Now().Add(holdDuration))
		assert.Nil(t, s.Roster.Find("a"))
	})
	t.Run("a runner that was removed since the restore is listed normally", func(t *testing.T) {
		s := restored()
		s.applyRunnerUpdate(goneUpdate("b", 12), time.Time{})
		s.replaceRunners(updatesOfEra(2, "b"), time.Time{})
		assert.NotNil(t, s.Roster.Find("b"))
	})
}

// After a restore from a backup, an evacuation that was begun or lifted must stay so until the operator has had
// time to write it again.
func TestRestoredStoreListsOutdatedEvacuations(t *testing.T) {
	evacuated := func(names ...string) Evacuations {
		e := Evacuations{}
		for _, name := range names {
			e[rillreach.ZoneID(name)] = struct{}{}
		}
		return e
	}
	restored := func() (*State, time.Time) {
		s := newState()
		now := time.Now()
		s.replaceEvacuations(evacuated("begun"), now)
		s.evacuations.markRestored(now)
		s.replaceEvacuations(evacuated("lifted"), now)
		return s, now
	}
	t.Run("the restored list is not applied", func(t *testing.T) {
		s, now := restored()
		s.applyStoredEvacuations(now.Add(evacuationRestoreGrace - 1))
		assert.Equal(t, evacuated("begun"), s.Evacuations())
	})
	t.Run("changes since the restore are applied", func(t *testing.T) {
		s, _ := restored()
		s.applyEvacuation("begun", false)
		s.applyEvacuation("third", true)
		assert.Equal(t, evacuated("third"), s.Evacuations())
	})
	t.Run("the stored zones are in force after the grace", func(t *testing.T) {
		s, now := restored()
		s.applyEvacuation("third", true)
		s.applyStoredEvacuations(now.Add(evacuationRestoreGrace))
		assert.Equal(t, evacuated("lifted", "third"), s.Evacuations())
	})
}
