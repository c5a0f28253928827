package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
)

// An entry that has just started does not know when the desired weights were requested, and must learn it from the
// agents.
func TestEntryStartsAfterWeightsRollout(t *testing.T) {
	const model = "m"
	now := time.Now()
	g := &Gateway{Settings: &deployment.Settings{Bounds: deployment.Bounds{WeightsRollout: 10 * time.Second}}}
	g.state.SetWeights(deployment.DesiredWeights{Model: model, Version: 2, Revision: rillreach.Revision{Number: 2}})
	x := &exchange{service: &deployment.Service{Engine: &deployment.Engine{}}}
	x.wire.Prompt = &deployment.Prompt{Model: model}
	admits := func() bool { return g.startWindow(x, 1).Admits(now, 0) }
	assert.True(t, admits(), "as far as the entry knows, the weights were requested just now")
	g.applyBulletin(&bulletin.Bulletin{Clock: 1_000_000, WeightsFirstSeen: []bulletin.WeightsFirstSeen{{Model: model, Version: 2, At: 1_000_000 - 9_000}}}, now)
	assert.False(t, admits())
}
