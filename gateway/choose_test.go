package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDecisionsBeforeManyEngines: what a decision costs grows with the engines, not with the engines times those that hold a prompt's parts.
func TestDecisionsBeforeManyEngines(t *testing.T) {
	const (
		engines   = 300
		perEngine = 5 // memory allocations
	)
	g, x := beforeEngines(engines)
	holdParts(g, x, engines)
	now := time.Now()
	made := testing.AllocsPerRun(3, func() {
		o := g.options(x, g.viewsAt(now), now)
		choice, _ := g.chooseWithRoom(x, o, roomQuery{senders: 1}, now)
		require.GreaterOrEqual(t, choice.Index, 0)
	})
	assert.LessOrEqual(t, made, float64(perEngine*engines))
}

// TestPlanOfAHolder: the engine that holds a part stands by at another holder, never at itself.
func TestPlanOfAHolder(t *testing.T) {
	g, x := beforeEngines(10)
	holdParts(g, x, 10)
	now := time.Now()
	o := g.options(x, g.viewsAt(now), now)
	for i, v := range o.views {
		g.planAt(x, o, i, now)
		assert.NotContains(t, o.plans[i].Sources, v.Address)
		assert.True(t, o.plans[i].Sources[0].IsValid())
	}
}
