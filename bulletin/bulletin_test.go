package bulletin

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/peer"
)

// drawn is any bulletin that an agent may make: it always has a runner, and counts the follower that it is for.
func drawn(t *rapid.T) Bulletin {
	b := Bulletin{
		Runner:     rillreach.InstanceID(rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "runner")),
		Generation: rillreach.Generation(rapid.IntRange(0, 2).Draw(t, "generation")),
		Clock:      rapid.Int64Range(0, 1e12).Draw(t, "clock"), Followers: rapid.IntRange(1, 3).Draw(t, "followers"),
	}
	b.Load = Load{
		Running: rapid.IntRange(0, 2).Draw(t, "running"), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting"), Unresponsive: rapid.Bool().Draw(t, "silent"),
		WeightLoadAt: rapid.Int64Range(0, 1e12).Draw(t, "loadsAt"),
		Weights:      map[rillreach.ModelID]deployment.WeightVersion{"m": deployment.WeightVersion(rapid.IntRange(1, 2).Draw(t, "weights"))},
	}
	b.Config = &deployment.ConfigVersion{Version: rapid.Int64Range(1, 2).Draw(t, "config"), Revision: rillreach.Revision{Era: 1, Number: 7}}
	for version := range rapid.IntRange(0, 2).Draw(t, "named") {
		b.WeightsFirstSeen = append(b.WeightsFirstSeen, WeightsFirstSeen{Model: "m", Version: deployment.WeightVersion(version + 1), At: 5})
		b.DesiredWeights = append(b.DesiredWeights, deployment.DesiredWeights{Model: "m", Version: deployment.WeightVersion(version + 1), Revision: rillreach.Revision{Number: 7}})
	}
	return b
}

// TestFollowerKnowsAll sends a series of bulletins, each without what the one before had said.
func TestFollowerKnowsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told, known Bulletin
		for range rapid.IntRange(1, 8).Draw(t, "bulletins") {
			b := drawn(t)
			if len(b.DesiredWeights) == 0 {
				b.DesiredWeights, b.WeightsFirstSeen = told.DesiredWeights, told.WeightsFirstSeen // names are never taken back
			}
			body, err := peer.Encode(b.DeltaFrom(&told))
			require.NoError(t, err)
			told = b
			got, err := peer.Decode[Bulletin](body)
			require.NoError(t, err)
			require.NoError(t, got.FillFrom(&known))
			known = got
			assert.Equal(t, b, known)
		}
	})
}

func TestSmallWhereLittleChanges(t *testing.T) {
	b := Bulletin{
		Runner: "i-0123456789abcdef", Clock: 1_790_000_000_000, Followers: 21,
		Load:           Load{Running: 12, UsedTokens: 30000, AwaitingFirstEvent: 3, Weights: map[rillreach.ModelID]deployment.WeightVersion{"a-model-with-a-name": 3}},
		DesiredWeights: []deployment.DesiredWeights{{Model: "a-model-with-a-name", Version: 3, Revision: rillreach.Revision{Number: 123456}}},
	}
	next := b
	next.Load.Running++
	next.Clock += 40
	body, err := peer.Encode(next.DeltaFrom(&b))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(body), 32)
	t.Run("also while a load is scheduled", func(t *testing.T) {
		next.Load.WeightLoadAt = next.Clock + 5000
		told, err := peer.Encode(next.DeltaFrom(&b))
		require.NoError(t, err)
		assert.LessOrEqual(t, len(told)-len(body), 10)
	})
}

func TestFirstBulletinNamesItsRunner(t *testing.T) {
	b := Bulletin{Clock: 1}
	assert.Error(t, b.FillFrom(&Bulletin{}))
}

func TestRunOfABulletin(t *testing.T) {
	next := func(before, b Bulletin) rillreach.InstanceRun {
		slim := b.DeltaFrom(&before)
		require.NoError(t, slim.FillFrom(&before))
		return slim.Run()
	}
	for name, b := range map[string]Bulletin{
		"the same run":                                  {Runner: "r1", Generation: 5},
		"a later run":                                   {Runner: "r1", Generation: 6},
		"another runner of the same start":              {Runner: "r2", Generation: 5},
		"another runner whose start is not known":       {Runner: "r2"},
		"the runner, whose start is not known any more": {Runner: "r1"},
	} {
		t.Run("a follower hears that the bulletin is of "+name, func(t *testing.T) {
			assert.Equal(t, b.Run(), next(Bulletin{Runner: "r1", Generation: 5}, b))
		})
	}
}

func TestImpossibleStart(t *testing.T) {
	assert.Error(t, Bulletin{Load: Load{WeightLoadAt: -1}}.Check())
}

func TestImpossiblePermits(t *testing.T) {
	assert.Error(t, Bulletin{Permits: -1}.Check())
}
