package localstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// TestColdRunners: how long a runner is cold is counted from when its record was read, until another record says otherwise.
func TestColdRunners(t *testing.T) {
	cold := func(revision uint64, service rillreach.ServiceID, rest time.Duration) runnerUpdate {
		u := whole("r", revision, service)
		u.Value.ColdRemaining = rest
		return u
	}
	isCold := func(s *State) bool { return s.Roster.Find("r").View(time.Now()).Cold }
	t.Run("a record says so, and another that it is over", func(t *testing.T) {
		var s State
		s.changeRunner(cold(1, "s", time.Minute), time.Time{})
		assert.True(t, isCold(&s))
		s.changeRunner(cold(2, "s", 0), time.Time{})
		assert.False(t, isCold(&s))
	})
	t.Run("the same record, listed again, doesn't begin it anew", func(t *testing.T) {
		var s State
		s.changeRunner(cold(1, "s", time.Nanosecond), time.Time{})
		s.listRunners([]runnerUpdate{cold(1, "s", time.Minute)}, time.Time{})
		assert.False(t, isCold(&s))
	})
	t.Run("one whose service wasn't known before", func(t *testing.T) {
		var s State
		s.SetConfig(configNaming(1))
		s.changeRunner(cold(1, "s", time.Minute), time.Time{})
		s.SetConfig(configNaming(2, "s"))
		assert.True(t, isCold(&s))
	})
	t.Run("those of a zone whose evacuation ends", func(t *testing.T) {
		var s State
		config := configNaming(1, "s")
		config.Services["s"].SlowStart = deployment.SlowStart{Duration: time.Minute, RequestsPerSecond: 1}
		s.SetConfig(config)
		u := cold(1, "s", 0)
		u.Value.Zone = "z"
		s.changeRunner(u, time.Time{})
		s.setEvacuations(Evacuations{"z": {}})
		assert.False(t, isCold(&s))
		s.setEvacuations(nil)
		assert.True(t, isCold(&s))
	})
}
