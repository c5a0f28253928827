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

// started is an update with the record of a run of the runner "a".
func started(revision uint64, generation rillreach.Generation) rillreach.Update[*deployment.Runner] {
	u := update("a")
	u.Revision, u.Value.Revision, u.Value.Generation = rillreach.Revision{Number: revision}, rillreach.Revision{Number: revision}, generation
	return u
}

// restarts is a state that counts the new starts that it is told of.
func restarts() (*State, *int) {
	s, n := state(), new(int)
	s.RunnerRestarted = func(deployment.Runner) { *n++ }
	return s, n
}

func TestRestarted(t *testing.T) {
	t.Run("a later start in a watch is told of once", func(t *testing.T) {
		s, n := restarts()
		s.changeRunner(started(1, 10), time.Time{})
		s.changeRunner(started(2, 20), time.Time{})
		s.changeRunner(started(3, 20), time.Time{})
		assert.Equal(t, 1, *n)
	})
	t.Run("so is one in a list", func(t *testing.T) {
		s, n := restarts()
		for _, generation := range []rillreach.Generation{10, 20, 20} {
			s.listRunners([]rillreach.Update[*deployment.Runner]{started(1, generation)}, time.Time{})
		}
		assert.Equal(t, 1, *n)
	})
	t.Run("one that is heard of while the store is away counts, and the store's word of it afterwards does nothing", func(t *testing.T) {
		s, n := restarts()
		s.changeRunner(started(1, 10), time.Time{})
		assert.NotNil(t, s.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: 20}))
		assert.Equal(t, 1, *n)
		s.listRunners([]rillreach.Update[*deployment.Runner]{started(2, 20)}, time.Now())
		assert.Equal(t, 1, *n)
	})
	t.Run("the store's word of an earlier one is late", func(t *testing.T) {
		s, n := restarts()
		s.changeRunner(started(1, 10), time.Time{})
		s.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: 20})
		s.listRunners([]rillreach.Update[*deployment.Runner]{started(2, 10)}, time.Now())
		s.changeRunner(started(3, 10), time.Time{})
		assert.Equal(t, 1, *n)
		assert.Equal(t, rillreach.Generation(20), s.Roster.Find("a").Info().Generation)
	})
	t.Run("the first start that is known is no new one", func(t *testing.T) {
		s, n := restarts()
		s.changeRunner(started(1, 0), time.Time{})
		s.changeRunner(started(2, 10), time.Time{})
		assert.Zero(t, *n)
	})
}

func TestRecordWithoutStart(t *testing.T) {
	s, n := restarts()
	lines := 0
	s.Log = funcr.New(func(_, args string) {
		if strings.Contains(args, "tells no start") {
			lines++
		}
	}, funcr.Options{})
	s.changeRunner(started(1, 10), time.Time{})
	s.changeRunner(started(2, 0), time.Time{})
	s.listRunners([]rillreach.Update[*deployment.Runner]{started(2, 0)}, time.Time{})
	assert.Zero(t, *n, "it is no new start")
	s.changeRunner(started(3, 0), time.Time{})
	assert.Equal(t, 1, lines, "it is told once for a runner that never says")
	s.changeRunner(started(4, 10), time.Time{})
	s.changeRunner(started(5, 0), time.Time{})
	assert.Equal(t, 2, lines, "and again for one that ceases to")
}
