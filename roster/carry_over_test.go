package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// A store that was restored from a backup may hold an older record of a run than the one that is known.
func TestRestoredStoreHoldsOlderRecord(t *testing.T) {
	record := func(era, number uint64, change func(*deployment.Runner)) deployment.Runner {
		r := runOf(0)
		r.Revision = rillreach.Revision{Era: era, Number: number}
		change(&r)
		return r
	}
	unchanged := func(*deployment.Runner) {}
	listed := func(records ...deployment.Runner) *Runner {
		var r Roster
		for _, one := range records {
			r.Put(one)
		}
		return r.Find(records[0].ID)
	}
	t.Run("a leaving runner stays so", func(t *testing.T) {
		leaves := func(r *deployment.Runner) { r.Leaving = true }
		assert.True(t, listed(record(1, 9, leaves), record(2, 3, unchanged)).Info().Leaving)
		assert.False(t, listed(record(1, 9, leaves), record(1, 10, unchanged)).Info().Leaving, "a record of the same era may revert it")
	})
	t.Run("newer weights are kept", func(t *testing.T) {
		weights := func(version deployment.WeightVersion) func(*deployment.Runner) {
			return func(r *deployment.Runner) { r.Weights = map[rillreach.ModelID]deployment.WeightVersion{"m": version} }
		}
		assert.EqualValues(t, 4, listed(record(1, 9, weights(4)), record(2, 3, weights(2))).Info().Weights["m"])
	})
	t.Run("a warm runner does not become cold again", func(t *testing.T) {
		cold := func(r *deployment.Runner) { r.ColdUntil = start.Add(time.Hour) }
		assert.False(t, listed(record(1, 9, unchanged), record(2, 3, cold)).View(start).Cold)
	})
	t.Run("a record with the same content keeps the older revision", func(t *testing.T) {
		assert.Equal(t, rillreach.Revision{Era: 1, Number: 9}, listed(record(1, 9, unchanged), record(2, 3, unchanged)).Info().Revision)
		other := func(r *deployment.Runner) { r.Slots = 7 }
		assert.Equal(t, rillreach.Revision{Era: 2, Number: 3}, listed(record(1, 9, unchanged), record(2, 3, other)).Info().Revision)
	})
}
