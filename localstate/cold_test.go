package localstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// A runner's cold period is counted from when its record was read, until another record says otherwise.
func TestColdRunners(t *testing.T) {
	cold := func(revision uint64, service rillreach.ServiceID, remaining time.Duration) runnerUpdate {
		u := validUpdate("r", revision, service)
		u.Value.ColdRemaining = remaining
		return u
	}
	isCold := func(s *State) bool { return s.Roster.Find("r").View(time.Now()).Cold }
	t.Run("one record begins a cold period and another ends it", func(t *testing.T) {
		var s State
		s.applyRunnerUpdate(cold(1, "s", time.Minute), time.Time{})
		assert.True(t, isCold(&s))
		s.applyRunnerUpdate(cold(2, "s", 0), time.Time{})
		assert.False(t, isCold(&s))
	})
	t.Run("the same record, listed again, does not restart the cold period", func(t *testing.T) {
		var s State
		s.applyRunnerUpdate(cold(1, "s", time.Nanosecond), time.Time{})
		s.replaceRunners([]runnerUpdate{cold(1, "s", time.Minute)}, time.Time{})
		assert.False(t, isCold(&s))
	})
	t.Run("a runner keeps its cold period until its service becomes known", func(t *testing.T) {
		var s State
		s.SetConfig(configNaming(1))
		s.applyRunnerUpdate(cold(1, "s", time.Minute), time.Time{})
		s.SetConfig(configNaming(2, "s"))
		assert.True(t, isCold(&s))
	})
	t.Run("the end of an evacuation makes the runners of the zone cold", func(t *testing.T) {
		var s State
		config := configNaming(1, "s")
		config.Services["s"].SlowStart = deployment.SlowStart{Duration: time.Minute, RequestsPerSecond: 1}
		s.SetConfig(config)
		u := cold(1, "s", 0)
		u.Value.Zone = "z"
		s.applyRunnerUpdate(u, time.Time{})
		s.setEvacuations(Evacuations{"z": {}})
		assert.False(t, isCold(&s))
		s.setEvacuations(nil)
		assert.True(t, isCold(&s))
	})
}
