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

func newState() *State { return &State{Log: logr.Discard()} }

func TestOlderRevisionsIgnored(t *testing.T) {
	t.Run("a configuration of an older revision is ignored", func(t *testing.T) {
		s := newState()
		s.SetConfig(&deployment.Config{Version: 7, Revision: rillreach.Revision{Number: 10}})
		s.SetConfig(&deployment.Config{Version: 5, Revision: rillreach.Revision{Number: 9}})
		s.SetConfig(&deployment.Config{Version: 5, Revision: rillreach.Revision{Number: 10}})
		assert.Equal(t, int64(7), s.Config().Version)
	})
	t.Run("weights of an older revision are ignored", func(t *testing.T) {
		s := newState()
		s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 3, Revision: rillreach.Revision{Number: 10}})
		s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 2, Revision: rillreach.Revision{Number: 9}})
		desired, since := s.DesiredWeights("m")
		assert.Equal(t, deployment.WeightVersion(3), desired.Version)
		assert.False(t, since.IsZero())
	})
}

func unversionedUpdate(id string) rillreach.Update[*deployment.Runner] {
	return rillreach.Update[*deployment.Runner]{Name: id, Value: &deployment.Runner{ID: rillreach.InstanceID(id), Service: "s"}}
}

func TestRunnerRemoval(t *testing.T) {
	gone := rillreach.Update[*deployment.Runner]{Name: "a", Deleted: true}
	t.Run("an unreadable record disables its runner", func(t *testing.T) {
		s := newState()
		s.replaceRunners([]rillreach.Update[*deployment.Runner]{unversionedUpdate("a")}, time.Time{})
		s.applyRunnerUpdate(rillreach.Update[*deployment.Runner]{Name: "a", Err: errors.New("broken")}, time.Time{})
		assert.Nil(t, s.Roster.Find("a"))
	})
	t.Run("a runner that is removed while the store is available is removed at once", func(t *testing.T) {
		s := newState()
		s.applyRunnerUpdate(unversionedUpdate("a"), time.Time{})
		s.applyRunnerUpdate(gone, time.Time{})
		assert.Nil(t, s.Roster.Find("a"))
	})
	t.Run("a runner that is missing right after an outage of the store is kept for a while", func(t *testing.T) {
		s := newState()
		s.applyRunnerUpdate(unversionedUpdate("a"), time.Time{})
		s.applyRunnerUpdate(gone, time.Now())
		assert.NotNil(t, s.Roster.Find("a"))
	})
	t.Run("long after an outage a runner is removed at once again", func(t *testing.T) {
		s := newState()
		s.applyRunnerUpdate(unversionedUpdate("a"), time.Time{})
		s.applyRunnerUpdate(gone, time.Now().Add(-relistGrace))
		assert.Nil(t, s.Roster.Find("a"))
	})
}

// delayedSource answers watches at once, but the response is only read after the delay.
type delayedSource struct {
	delay time.Duration
	calls int
}

func (h *delayedSource) List(context.Context) ([]rillreach.Update[*deployment.Runner], rillreach.Revision, error) {
	return nil, rillreach.Revision{Number: 1}, nil
}

func (h *delayedSource) Watch(ctx context.Context, _ rillreach.Revision, _ time.Duration) ([]rillreach.Update[*deployment.Runner], rillreach.Revision, error) {
	h.calls++
	if h.calls > 1 {
		<-ctx.Done()
		return nil, rillreach.Revision{}, ctx.Err()
	}
	time.Sleep(h.delay)
	return nil, rillreach.Revision{Number: 1}, nil
}

// A response that waited for a stalled process is as old as its request. Otherwise an agent would act for stores
// that another agent has taken over meanwhile.
func TestResponseDelayedByStall(t *testing.T) {
	listAge := func(t *testing.T, during func(s *State)) time.Duration {
		t.Helper()
		var age time.Duration
		synctest.Test(t, func(t *testing.T) {
			s := newState()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s.stalls.tick(time.Now())
			source := &delayedSource{delay: 5 * time.Second}
			go func() { _ = s.RunnersFollower(source, time.Second, 0, nil).Run(ctx) }()
			during(s)
			synctest.Wait()
			age = time.Since(s.Roster.CompleteAt())
		})
		return age
	}
	t.Run("the list of a running process is as old as the response", func(t *testing.T) {
		assert.Zero(t, listAge(t, func(s *State) {
			for range 5 * time.Second / expireInterval {
				time.Sleep(expireInterval)
				s.stalls.tick(time.Now())
			}
		}))
	})
	t.Run("the list of a stalled process is as old as the request", func(t *testing.T) {
		assert.Equal(t, 5*time.Second, listAge(t, func(*State) { time.Sleep(5 * time.Second) }))
	})
}
