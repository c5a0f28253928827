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

// drawBulletin generates a complete bulletin: it always identifies a runner and counts at least one follower.
func drawBulletin(t *rapid.T) Bulletin {
	b := Bulletin{
		Runner:     rillreach.InstanceID(rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "runner")),
		Generation: rillreach.Generation(rapid.IntRange(0, 2).Draw(t, "generation")),
		Clock:      rapid.Int64Range(0, 1e12).Draw(t, "clock"), Followers: rapid.IntRange(1, 3).Draw(t, "followers"),
	}
	b.Load = Load{
		Running: rapid.IntRange(0, 2).Draw(t, "running"), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting"), Unresponsive: rapid.Bool().Draw(t, "unresponsive"),
		WeightLoadAt: rapid.Int64Range(0, 1e12).Draw(t, "weightLoadAt"),
		Weights:      map[rillreach.ModelID]deployment.WeightVersion{"m": deployment.WeightVersion(rapid.IntRange(1, 2).Draw(t, "weights"))},
	}
	b.Config = &deployment.ConfigVersion{Version: rapid.Int64Range(1, 2).Draw(t, "config"), Revision: rillreach.Revision{Era: 1, Number: 7}}
	for version := range rapid.IntRange(0, 2).Draw(t, "versions") {
		b.WeightsFirstSeen = append(b.WeightsFirstSeen, WeightsFirstSeen{Model: "m", Version: deployment.WeightVersion(version + 1), At: 5})
		b.DesiredWeights = append(b.DesiredWeights, deployment.DesiredWeights{Model: "m", Version: deployment.WeightVersion(version + 1), Revision: rillreach.Revision{Number: 7}})
	}
	return b
}

// TestFollowerReconstructsBulletins sends a series of bulletins as deltas. The follower must end up with every field of
// each one.
func TestFollowerReconstructsBulletins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, received Bulletin
		for range rapid.IntRange(1, 8).Draw(t, "bulletins") {
			b := drawBulletin(t)
			if len(b.DesiredWeights) == 0 {
				// Once an agent has sent these lists, they are never empty again.
				b.DesiredWeights, b.WeightsFirstSeen = sent.DesiredWeights, sent.WeightsFirstSeen
			}
			body, err := peer.Encode(b.DeltaFrom(&sent))
			require.NoError(t, err)
			sent = b
			got, err := peer.Decode[Bulletin](body)
			require.NoError(t, err)
			require.NoError(t, got.FillFrom(&received))
			received = got
			assert.Equal(t, b, received)
		}
	})
}

func TestDeltaSize(t *testing.T) {
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
	t.Run("with a scheduled load", func(t *testing.T) {
		next.Load.WeightLoadAt = next.Clock + 5000
		withLoad, err := peer.Encode(next.DeltaFrom(&b))
		require.NoError(t, err)
		assert.LessOrEqual(t, len(withLoad)-len(body), 10)
	})
}

func TestFirstBulletinWithoutRunner(t *testing.T) {
	b := Bulletin{Clock: 1}
	assert.Error(t, b.FillFrom(&Bulletin{}))
}

func TestDeltaKeepsRun(t *testing.T) {
	decodedRun := func(previous, b Bulletin) rillreach.InstanceRun {
		delta := b.DeltaFrom(&previous)
		require.NoError(t, delta.FillFrom(&previous))
		return delta.Run()
	}
	for name, b := range map[string]Bulletin{
		"same run":                              {Runner: "r1", Generation: 5},
		"later run":                             {Runner: "r1", Generation: 6},
		"other runner with the same generation": {Runner: "r2", Generation: 5},
		"other runner with unknown generation":  {Runner: "r2"},
		"same runner with unknown generation":   {Runner: "r1"},
	} {
		t.Run("follower gets the run: "+name, func(t *testing.T) {
			assert.Equal(t, b.Run(), decodedRun(Bulletin{Runner: "r1", Generation: 5}, b))
		})
	}
}

func TestCheckNegativeWeightLoadTime(t *testing.T) {
	assert.Error(t, Bulletin{Load: Load{WeightLoadAt: -1}}.Check())
}

func TestCheckNegativePermits(t *testing.T) {
	assert.Error(t, Bulletin{Permits: -1}.Check())
}
