package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDecisionCostGrowsWithHolders: what a decision costs grows with the engines, not with the engines times those that hold a prompt's parts.
func TestDecisionCostGrowsWithHolders(t *testing.T) {
	const (
		engines   = 300
		perEngine = 5 // memory allocations
	)
	g, x := gatewayWithEngines(engines)
	addPartHolders(g, x, engines)
	now := time.Now()
	made := testing.AllocsPerRun(3, func() {
		o := g.findOptions(x, g.viewsAt(now), now)
		choice, _ := g.chooseWithRoom(x, o, roomQuery{senders: 1}, now)
		require.GreaterOrEqual(t, choice.Index, 0)
	})
	assert.LessOrEqual(t, made, float64(perEngine*engines))
}

// TestEngineFetchesFromItself: the engine that holds a part stands by at another holder, never at itself.
func TestEngineFetchesFromItself(t *testing.T) {
	g, x := gatewayWithEngines(10)
	addPartHolders(g, x, 10)
	now := time.Now()
	o := g.findOptions(x, g.viewsAt(now), now)
	for i, v := range o.views {
		g.planCandidate(x, o, i, now)
		assert.NotContains(t, o.plans[i].Sources, v.Address)
		assert.True(t, o.plans[i].Sources[0].IsValid())
	}
}
