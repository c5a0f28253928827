package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a decision whose cost grows with the number of engines times the number of holders of the prompt's
// parts. It must grow with the number of engines only.
func TestDecisionCostGrowsWithHolders(t *testing.T) {
	const (
		engines   = 300
		perEngine = 5 // memory allocations
	)
	g, x := gatewayWithEngines(engines)
	addPartHolders(g, x, engines)
	now := time.Now()
	allocs := testing.AllocsPerRun(3, func() {
		o := g.findOptions(x, g.viewsAt(now), now)
		choice, _ := g.chooseWithRoom(x, o, roomQuery{senders: 1}, now)
		require.GreaterOrEqual(t, choice.Index, 0)
	})
	assert.LessOrEqual(t, allocs, float64(perEngine*engines))
}

// Guards against a plan in which an engine that holds a part is its own fallback holder.
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
