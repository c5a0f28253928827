package localstate

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// runUpdate returns an update with the record of a run of the runner "a".
func runUpdate(revision uint64, generation rillreach.Generation) rillreach.Update[*deployment.Runner] {
	u := unversionedUpdate("a")
	u.Revision, u.Value.Revision, u.Value.Generation = rillreach.Revision{Number: revision}, rillreach.Revision{Number: revision}, generation
	return u
}

// countRestarts returns a state and the number of its calls of RunnerRestarted.
func countRestarts() (*State, *int) {
	s, n := newState(), new(int)
	s.RunnerRestarted = func(deployment.Runner) { *n++ }
	return s, n
}

func TestRunnerRestartedCallback(t *testing.T) {
	t.Run("a later run in a watch calls back once", func(t *testing.T) {
		s, n := countRestarts()
		s.applyRunnerUpdate(runUpdate(1, 10), time.Time{})
		s.applyRunnerUpdate(runUpdate(2, 20), time.Time{})
		s.applyRunnerUpdate(runUpdate(3, 20), time.Time{})
		assert.Equal(t, 1, *n)
	})
	t.Run("a later run in a list calls back once", func(t *testing.T) {
		s, n := countRestarts()
		for _, generation := range []rillreach.Generation{10, 20, 20} {
			s.replaceRunners([]rillreach.Update[*deployment.Runner]{runUpdate(1, generation)}, time.Time{})
		}
		assert.Equal(t, 1, *n)
	})
	t.Run("an observed run calls back, and its record does not call back again", func(t *testing.T) {
		s, n := countRestarts()
		s.applyRunnerUpdate(runUpdate(1, 10), time.Time{})
		assert.NotNil(t, s.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: 20}))
		assert.Equal(t, 1, *n)
		s.replaceRunners([]rillreach.Update[*deployment.Runner]{runUpdate(2, 20)}, time.Now())
		assert.Equal(t, 1, *n)
	})
	t.Run("a record of an earlier run is outdated", func(t *testing.T) {
		s, n := countRestarts()
		s.applyRunnerUpdate(runUpdate(1, 10), time.Time{})
		s.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: 20})
		s.replaceRunners([]rillreach.Update[*deployment.Runner]{runUpdate(2, 10)}, time.Now())
		s.applyRunnerUpdate(runUpdate(3, 10), time.Time{})
		assert.Equal(t, 1, *n)
		assert.Equal(t, rillreach.Generation(20), s.Roster.Find("a").Info().Generation)
	})
	t.Run("the first known generation is not a restart", func(t *testing.T) {
		s, n := countRestarts()
		s.applyRunnerUpdate(runUpdate(1, 0), time.Time{})
		s.applyRunnerUpdate(runUpdate(2, 10), time.Time{})
		assert.Zero(t, *n)
	})
}

func TestRecordWithoutGeneration(t *testing.T) {
	s, n := countRestarts()
	lines := 0
	s.Log = funcr.New(func(_, args string) {
		if strings.Contains(args, "has no generation") {
			lines++
		}
	}, funcr.Options{})
	s.applyRunnerUpdate(runUpdate(1, 10), time.Time{})
	s.applyRunnerUpdate(runUpdate(2, 0), time.Time{})
	s.replaceRunners([]rillreach.Update[*deployment.Runner]{runUpdate(2, 0)}, time.Time{})
	assert.Zero(t, *n, "a missing generation is not a restart")
	s.applyRunnerUpdate(runUpdate(3, 0), time.Time{})
	assert.Equal(t, 1, lines, "consecutive records are logged once")
	s.applyRunnerUpdate(runUpdate(4, 10), time.Time{})
	s.applyRunnerUpdate(runUpdate(5, 0), time.Time{})
	assert.Equal(t, 2, lines, "a generation that is missing again is logged again")
}
