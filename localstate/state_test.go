package localstate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

func state() *State { return &State{Log: logr.Discard()} }

func TestNothingGoesBack(t *testing.T) {
	t.Run("a configuration of an older revision is left out", func(t *testing.T) {
		s := state()
		s.SetConfig(&deployment.Config{Version: 7, Revision: rillreach.Revision{Number: 10}})
		s.SetConfig(&deployment.Config{Version: 5, Revision: rillreach.Revision{Number: 9}})
		s.SetConfig(&deployment.Config{Version: 5, Revision: rillreach.Revision{Number: 10}})
		assert.Equal(t, int64(7), s.Config().Version)
	})
	t.Run("weights of an older revision are left out", func(t *testing.T) {
		s := state()
		s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 3, Revision: rillreach.Revision{Number: 10}})
		s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 2, Revision: rillreach.Revision{Number: 9}})
		named, since := s.NamedWeights("m")
		assert.Equal(t, deployment.WeightVersion(3), named.Version)
		assert.False(t, since.IsZero())
	})
}

func update(id string) rillreach.Update[*deployment.Runner] {
	return rillreach.Update[*deployment.Runner]{Name: id, Value: &deployment.Runner{ID: rillreach.InstanceID(id), Service: "s"}}
}

func TestRunners(t *testing.T) {
	gone := rillreach.Update[*deployment.Runner]{Name: "a", Gone: true}
	t.Run("a record that cannot be understood takes its runner out of use", func(t *testing.T) {
		s := state()
		s.listRunners([]rillreach.Update[*deployment.Runner]{update("a")}, time.Time{})
		s.changeRunner(rillreach.Update[*deployment.Runner]{Name: "a", Err: errors.New("broken")}, time.Time{})
		assert.Nil(t, s.Roster.Find("a"))
	})
	t.Run("one that goes while the store is there is gone at once", func(t *testing.T) {
		s := state()
		s.changeRunner(update("a"), time.Time{})
		s.changeRunner(gone, time.Time{})
		assert.Nil(t, s.Roster.Find("a"))
	})
	t.Run("one that is found gone right after the store's return is only doubtful", func(t *testing.T) {
		s := state()
		s.changeRunner(update("a"), time.Time{})
		s.changeRunner(gone, time.Now())
		assert.NotNil(t, s.Roster.Find("a"))
	})
	t.Run("and long after the return it is gone at once again", func(t *testing.T) {
		s := state()
		s.changeRunner(update("a"), time.Time{})
		s.changeRunner(gone, time.Now().Add(-returnTime))
		assert.Nil(t, s.Roster.Find("a"))
	})
}

// heldSource answers watches at once, but the answer is only read after the time that it is held for.
type heldSource struct {
	held  time.Duration
	calls int
}

func (h *heldSource) List(context.Context) ([]rillreach.Update[*deployment.Runner], rillreach.Revision, error) {
	return nil, rillreach.Revision{Number: 1}, nil
}

func (h *heldSource) Watch(ctx context.Context, _ rillreach.Revision, _ time.Duration) ([]rillreach.Update[*deployment.Runner], rillreach.Revision, error) {
	h.calls++
	if h.calls > 1 {
		<-ctx.Done()
		return nil, rillreach.Revision{}, ctx.Err()
	}
	time.Sleep(h.held)
	return nil, rillreach.Revision{Number: 1}, nil
}

// TestListAfterStall: an answer that waited for a process that stood still is as old as the question, so that an agent does not speak for
// stores that another has taken over meanwhile.
func TestListAfterStall(t *testing.T) {
	updated := func(t *testing.T, beside func(s *State)) time.Duration {
		t.Helper()
		var age time.Duration
		synctest.Test(t, func(t *testing.T) {
			s := state()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s.stalls.tick(time.Now())
			source := &heldSource{held: 5 * time.Second}
			go func() { _ = s.RunnersFollower(source, time.Second, 0, nil).Run(ctx) }()
			beside(s)
			synctest.Wait()
			age = time.Since(s.Roster.CompleteAt())
		})
		return age
	}
	t.Run("the list of a process that ran is as old as the answer", func(t *testing.T) {
		assert.Zero(t, updated(t, func(s *State) {
			for range 5 * time.Second / expireEvery {
				time.Sleep(expireEvery)
				s.stalls.tick(time.Now())
			}
		}))
	})
	t.Run("that of one that stood still is as old as the question", func(t *testing.T) {
		assert.Equal(t, 5*time.Second, updated(t, func(*State) { time.Sleep(5 * time.Second) }))
	})
}
