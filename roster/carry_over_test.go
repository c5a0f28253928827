package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// A copy of the store may hold an older record of a run than the one that was known.
func TestOlderRecordOfACopy(t *testing.T) {
	record := func(era, number uint64, change func(*deployment.Runner)) deployment.Runner {
		r := runOf(0)
		r.Revision = rillreach.Revision{Era: era, Number: number}
		change(&r)
		return r
	}
	as := func(*deployment.Runner) {}
	listed := func(records ...deployment.Runner) *Runner {
		var r Roster
		for _, one := range records {
			r.Put(one)
		}
		return r.Find(records[0].ID)
	}
	t.Run("a leaving stays", func(t *testing.T) {
		leaves := func(r *deployment.Runner) { r.Leaving = true }
		assert.True(t, listed(record(1, 9, leaves), record(2, 3, as)).Info().Leaving)
		assert.False(t, listed(record(1, 9, leaves), record(1, 10, as)).Info().Leaving, "the store's own word")
	})
	t.Run("newer weights stay", func(t *testing.T) {
		has := func(version deployment.WeightVersion) func(*deployment.Runner) {
			return func(r *deployment.Runner) { r.Weights = map[rillreach.ModelID]deployment.WeightVersion{"m": version} }
		}
		assert.EqualValues(t, 4, listed(record(1, 9, has(4)), record(2, 3, has(2))).Info().Weights["m"])
	})
	t.Run("a runner that is warm stays so", func(t *testing.T) {
		cold := func(r *deployment.Runner) { r.ColdUntil = start.Add(time.Hour) }
		assert.False(t, listed(record(1, 9, as), record(2, 3, cold)).View(start).Cold)
	})
	t.Run("a record that says the same goes before none that is newer", func(t *testing.T) {
		assert.Equal(t, rillreach.Revision{Era: 1, Number: 9}, listed(record(1, 9, as), record(2, 3, as)).Info().Revision)
		other := func(r *deployment.Runner) { r.Slots = 7 }
		assert.Equal(t, rillreach.Revision{Era: 2, Number: 3}, listed(record(1, 9, as), record(2, 3, other)).Info().Revision)
	})
}
