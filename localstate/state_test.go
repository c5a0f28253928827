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
		s.SetConfig(&deployment.Config{Version: 7, Revision: 10})
		s.SetConfig(&deployment.Config{Version: 5, Revision: 9})
		s.SetConfig(&deployment.Config{Version: 5, Revision: 10})
		assert.Equal(t, int64(7), s.Config().Version)
	})
	t.Run("weights of an older revision are left out", func(t *testing.T) {
		s := state()
		s.SetWeights(deployment.NamedWeights{Model: "m", Version: 3, Revision: 10})
		s.SetWeights(deployment.NamedWeights{Model: "m", Version: 2, Revision: 9})
		named, since := s.Weights("m")
		assert.Equal(t, deployment.WeightVersion(3), named.Version)
		assert.False(t, since.IsZero())
	})
}

func TestReplaced(t *testing.T) {
	s := state()
	s.SetWeights(deployment.NamedWeights{Model: "m", Version: 1, Revision: 1})
	assert.True(t, s.Replaced("m", 1).IsZero(), "the newest is not replaced")
	s.SetWeights(deployment.NamedWeights{Model: "m", Version: 2, Revision: 2})
	first := s.Replaced("m", 1)
	assert.False(t, first.IsZero())
	s.SetWeights(deployment.NamedWeights{Model: "m", Version: 3, Revision: 3})
	assert.Equal(t, first, s.Replaced("m", 1), "each version is judged by its own successor")
	assert.False(t, s.Replaced("m", 2).IsZero())
}

func update(id string) rillreach.Update[*deployment.Runner] {
	return rillreach.Update[*deployment.Runner]{Name: id, Value: &deployment.Runner{ID: rillreach.InstanceID(id), Service: "s"}}
}

func TestRunners(t *testing.T) {
	gone := rillreach.Update[*deployment.Runner]{Name: "a", Gone: true}
	t.Run("a record that cannot be understood leaves the last good one", func(t *testing.T) {
		s := state()
		s.listRunners([]rillreach.Update[*deployment.Runner]{update("a")}, time.Time{})
		s.changeRunner(rillreach.Update[*deployment.Runner]{Name: "a", Err: errors.New("broken")}, time.Time{})
		assert.NotNil(t, s.Roster.Find("a"))
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

func TestApplyNaming(t *testing.T) {
	const model = "m"
	start := time.Now()
	begin := func() *State {
		s := state()
		s.SetWeights(deployment.NamedWeights{Model: model, Version: 5, Revision: 5})
		return s
	}
	t.Run("another process may know an earlier time", func(t *testing.T) {
		s := begin()
		s.ApplyNaming(Naming{Model: model, Version: 5, At: start.Add(-time.Minute)})
		assert.Equal(t, start.Add(-time.Minute), s.Replaced(model, 4))
	})
	t.Run("a later time changes nothing", func(t *testing.T) {
		s := begin()
		before := s.Replaced(model, 4)
		s.ApplyNaming(Naming{Model: model, Version: 5, At: start.Add(time.Minute)})
		assert.Equal(t, before, s.Replaced(model, 4))
	})
	t.Run("a version in between replaced those before it, and no other", func(t *testing.T) {
		s := begin()
		s.ApplyNaming(Naming{Model: model, Version: 3, At: start.Add(-time.Minute)})
		assert.Equal(t, start.Add(-time.Minute), s.Replaced(model, 2))
		assert.False(t, s.Replaced(model, 3).Before(start))
		assert.Len(t, s.Namings(), 2)
	})
	t.Run("a version that the object store has not named is not taken from others", func(t *testing.T) {
		s := begin()
		s.ApplyNaming(Naming{Model: model, Version: 6, At: start})
		s.ApplyNaming(Naming{Model: "other", Version: 1, At: start})
		assert.Len(t, s.Namings(), 1)
	})
}

// TestAdoptedWeights: weights that are found named at the start may have been named at any time before.
func TestAdoptedWeights(t *testing.T) {
	const model = "m"
	longAgo := time.Unix(0, 0)
	found := func() *State {
		s := state()
		s.AdoptWeights(deployment.NamedWeights{Model: model, Version: 5, Revision: 5})
		return s
	}
	t.Run("others may tell for a while since when they are", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			assert.Equal(t, start, found().Replaced(model, 4))
		})
	})
	t.Run("those before them are taken for too old where nobody does", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := found()
			time.Sleep(reportWithin + 1)
			assert.Equal(t, longAgo, s.Replaced(model, 4))
			assert.True(t, s.Replaced(model, 5).IsZero())
		})
	})
	t.Run("what is told counts, also late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			time.Sleep(time.Minute)
			s.ApplyNaming(Naming{Model: model, Version: 5, At: start.Add(-time.Second)})
			assert.Equal(t, start.Add(-time.Second), s.Replaced(model, 4))
		})
	})
	t.Run("what another process told first is news where the object store tells of it, too", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			s.SetWeights(deployment.NamedWeights{Model: model, Version: 5, Revision: 5})
			time.Sleep(time.Minute)
			assert.Equal(t, start, s.Replaced(model, 4))
		})
	})
	t.Run("weights that are named later need nobody's word", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := found()
			time.Sleep(time.Minute)
			s.SetWeights(deployment.NamedWeights{Model: model, Version: 6, Revision: 6})
			assert.Equal(t, time.Now(), s.Replaced(model, 5))
		})
	})
	t.Run("what nobody has told is not told on", func(t *testing.T) {
		s := found()
		assert.Empty(t, s.Namings())
		s.ApplyNaming(Naming{Model: model, Version: 5, At: time.Now()})
		assert.Len(t, s.Namings(), 1)
	})
	t.Run("a version between may have been named as well, until somebody tells of it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			s.ApplyNaming(Naming{Model: model, Version: 5, At: start.Add(-time.Second)})
			time.Sleep(reportWithin + 1)
			assert.Equal(t, start.Add(-time.Second), s.Replaced(model, 4))
			assert.Equal(t, longAgo, s.Replaced(model, 3))
			s.ApplyNaming(Naming{Model: model, Version: 4, At: start.Add(-time.Minute)})
			assert.Equal(t, start.Add(-time.Minute), s.Replaced(model, 3))
		})
	})
	t.Run("one that was heard of replaced all before it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := state()
			s.SetWeights(deployment.NamedWeights{Model: model, Version: 5, Revision: 5})
			time.Sleep(time.Minute)
			assert.Equal(t, start, s.Replaced(model, 1))
		})
	})
}

// heldSource answers watches at once, but the answer is only read after the time that it is held for.
type heldSource struct {
	held  time.Duration
	calls int
}

func (h *heldSource) List(context.Context) ([]rillreach.Update[*deployment.Runner], uint64, error) {
	return nil, 1, nil
}

func (h *heldSource) Watch(ctx context.Context, _ uint64, _ time.Duration) ([]rillreach.Update[*deployment.Runner], uint64, error) {
	h.calls++
	if h.calls > 1 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	time.Sleep(h.held)
	return nil, 1, nil
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
			age = time.Since(s.Roster.Updated())
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
