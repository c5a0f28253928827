package sidecar

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/weights"
)

// TestNewNamesDoNotPutTheTurnOff names a version when the turn of the last of four runners has come, and no order could be given:
// its wait must not begin anew, since its weights were replaced by the version before.
func TestNewNamesDoNotPutTheTurnOff(t *testing.T) {
	const bound = 10 * time.Second
	turn := weights.StartDelay(3, 4, bound)
	// look has the agent look at a runner with the weights, which may be busy, as long after the naming of a version as given.
	type look func(named, loaded deployment.WeightVersion, since time.Duration, busy bool)
	play := func(t *testing.T, do func(look)) []order {
		t.Helper()
		e := &engine{version: 1}
		runner := httptest.NewServer(e)
		t.Cleanup(runner.Close)
		s := &Sidecar{
			Settings: &deployment.Settings{RunnerAddress: addressOf(runner.URL), Bounds: deployment.Bounds{WeightsRollout: bound}},
			Runner:   platform.NewRunnerClient(addressOf(runner.URL)), Log: testr.New(t),
		}
		self := deployment.Runner{ID: "r4", Service: "s", Address: addressOf(runner.URL)}
		for _, id := range []rillreach.InstanceID{"r1", "r2", "r3"} {
			s.state.Roster.Put(deployment.Runner{ID: id, Service: "s"})
		}
		s.state.Roster.Put(self)
		l := &loader{sidecar: s}
		do(func(named, loaded deployment.WeightVersion, since time.Duration, busy bool) {
			l.decide(t.Context(), self, deployment.Load{LoadingWeights: busy}, deployment.DesiredWeights{Model: "m", Version: named, Revision: rillreach.Revision{Number: uint64(named)}}, loaded, since)
		})
		return e.given()
	}
	t.Run("the newest is loaded at the turn that the one before had given", func(t *testing.T) {
		given := play(t, func(at look) {
			at(2, 1, turn, true)
			at(3, 1, 0, true)
			at(4, 1, 0, false)
		})
		if assert.Len(t, given, 1) {
			assert.Equal(t, uint64(4), given[0].Version)
		}
	})
	t.Run("and not before", func(t *testing.T) {
		assert.Empty(t, play(t, func(at look) {
			at(2, 1, 0, false)
			at(3, 1, 0, false)
		}))
	})
	t.Run("a runner that has loaded the one before waits for its turn anew", func(t *testing.T) {
		assert.Empty(t, play(t, func(at look) {
			at(2, 1, turn, true)
			at(2, 2, turn, false)
			at(3, 2, 0, false)
		}))
	})
}
