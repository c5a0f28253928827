package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
)

// Guards against taking the end of an answer for a crash of its runner, since a run has ended that the request had not
// reached any more.
func TestAnswerOfLaterRunLooksTruncated(t *testing.T) {
	const laterRunAge = 100 * time.Millisecond // by the clock of the later run's bulletin
	for name, c := range map[string]struct {
		sentBefore time.Duration
		want       bool
	}{
		"sent to the later run":   {0, true},
		"sent to the earlier run": {laterRunAge + clockError, false},
		"sent at about the start": {laterRunAge, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gatewayWithEarlierRun(t)
			now := time.Now()
			earlier := g.state.Roster.Find("r")
			a := &attempt{gateway: g, sentAt: now.Add(-c.sentBefore), target: &target{runner: earlier, view: earlier.View(now)}}
			assert.False(t, a.reachedLaterRun(), "no later run is known")
			g.state.Roster.Put(deployment.Runner{ID: "r", Service: "s", Address: engineAddress, Generation: laterGeneration})
			g.applyBulletin(runBulletin(laterGeneration, 0, 0, true), now)
			require.True(t, hasLaterRun(earlier))
			assert.Equal(t, c.want, a.reachedLaterRun())
		})
	}
}
