package localstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// ofEra is a list of runners as the store gives it in an era.
func ofEra(era uint64, ids ...string) []rillreach.Update[*deployment.Runner] {
	var all []rillreach.Update[*deployment.Runner]
	for i, id := range ids {
		u := whole(id, uint64(i+1), "s")
		u.Revision.Era, u.Value.Revision.Era = era, era
		all = append(all, u)
	}
	return all
}

// A runner that was removed isn't used again for standing in a copy of the store.
func TestCopyListsRemovedRunner(t *testing.T) {
	restored := func() *State {
		s := state()
		s.listRunners(ofEra(1, "a", "b"), time.Time{})
		s.changeRunner(gone("a", 9), time.Time{})
		s.departures.restored(time.Now())
		s.listRunners(ofEra(2, "a", "b"), time.Now())
		return s
	}
	t.Run("it is held back", func(t *testing.T) {
		s := restored()
		assert.Nil(t, s.Roster.Find("a"))
		assert.NotNil(t, s.Roster.Find("b"))
	})
	t.Run("until it has written its record again", func(t *testing.T) {
		s := restored()
		s.changeRunner(ofEra(2, "a")[0], time.Now())
		assert.NotNil(t, s.Roster.Find("a"))
	})
	t.Run("or its record has outlived that of a runner that is gone", func(t *testing.T) {
		s := restored()
		s.admitHeld(time.Now().Add(holdTime - time.Second))
		assert.Nil(t, s.Roster.Find("a"))
		s.admitHeld(time.Now().Add(holdTime))
		assert.NotNil(t, s.Roster.Find("a"))
	})
	t.Run("one whose record goes is forgotten", func(t *testing.T) {
		s := restored()
		s.changeRunner(gone("a", 11), time.Now())
		s.admitHeld(time.Now().Add(holdTime))
		assert.Nil(t, s.Roster.Find("a"))
	})
	t.Run("and so is one that the next list lacks", func(t *testing.T) {
		s := restored()
		s.listRunners(ofEra(2, "b"), time.Time{})
		s.admitHeld(time.Now().Add(holdTime))
		assert.Nil(t, s.Roster.Find("a"))
	})
	t.Run("one that was removed since the return is listed like any other", func(t *testing.T) {
		s := restored()
		s.changeRunner(gone("b", 12), time.Time{})
		s.listRunners(ofEra(2, "b"), time.Time{})
		assert.NotNil(t, s.Roster.Find("b"))
	})
}

// An evacuation that was begun or lifted stays so until the operator can have written it again.
func TestCopyListsOtherEvacuations(t *testing.T) {
	evacuated := func(names ...string) Evacuations {
		e := Evacuations{}
		for _, name := range names {
			e[rillreach.ZoneID(name)] = struct{}{}
		}
		return e
	}
	restored := func() (*State, time.Time) {
		s := state()
		now := time.Now()
		s.listEvacuations(evacuated("begun"), now)
		s.evacuations.distrust(now)
		s.listEvacuations(evacuated("lifted"), now)
		return s, now
	}
	t.Run("the copy changes nothing", func(t *testing.T) {
		s, now := restored()
		s.settleEvacuations(now.Add(restoreTime - 1))
		assert.Equal(t, evacuated("begun"), s.Evacuations())
	})
	t.Run("changes since then do", func(t *testing.T) {
		s, _ := restored()
		s.changeEvacuation("begun", false)
		s.changeEvacuation("third", true)
		assert.Equal(t, evacuated("third"), s.Evacuations())
	})
	t.Run("what nobody has written again counts in the end", func(t *testing.T) {
		s, now := restored()
		s.changeEvacuation("third", true)
		s.settleEvacuations(now.Add(restoreTime))
		assert.Equal(t, evacuated("lifted", "third"), s.Evacuations())
	})
}
