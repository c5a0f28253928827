package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

type update = rillreach.Update[int]

// script is a source that gives one answer after another, and ends the context after the last.
type script struct {
	steps []step
	lists int
	from  []uint64
	end   context.CancelFunc
}

type step struct {
	updates  []update
	revision uint64
	// era is that of the source; zero stands for the first.
	era uint64
	err error
}

func (s *script) next() ([]update, rillreach.Revision, error) {
	if len(s.steps) == 0 {
		s.end()
		return nil, rillreach.Revision{}, context.Canceled
	}
	one := s.steps[0]
	s.steps = s.steps[1:]
	return one.updates, rillreach.Revision{Era: max(one.era, 1), Number: one.revision}, one.err
}

// List gives the next answer.
func (s *script) List(context.Context) ([]update, rillreach.Revision, error) {
	s.lists++
	return s.next()
}

// Watch gives the next answer.
func (s *script) Watch(_ context.Context, revision rillreach.Revision, _ time.Duration) ([]update, rillreach.Revision, error) {
	s.from = append(s.from, revision.Number)
	return s.next()
}

type seen struct {
	listed   int
	changed  []string
	returned []bool
}

func play(t *testing.T, steps ...step) (*script, *seen) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s, got := &script{steps: steps, end: cancel}, &seen{}
	c := &Controller[int]{
		Kind: "things", Source: s, Log: logr.Discard(),
		OnListed: func([]update, time.Time) { got.listed++ },
		OnChanged: func(u update, returned time.Time) {
			got.changed = append(got.changed, u.Name)
			got.returned = append(got.returned, !returned.IsZero())
		},
	}
	assert.NoError(t, c.Run(ctx))
	return s, got
}

func one(name string, revision uint64) step {
	return step{updates: []update{{Name: name}}, revision: revision}
}

func TestFollow(t *testing.T) {
	down := step{err: errors.New("away")}
	t.Run("a watch goes on from the last answer", func(t *testing.T) {
		s, got := play(t, step{revision: 5}, one("a", 7), one("b", 9))
		assert.Equal(t, []uint64{5, 7, 9}, s.from)
		assert.Equal(t, []string{"a", "b"}, got.changed)
	})
	t.Run("a watch that fails goes on from where it stood, and what comes after knows of the return", func(t *testing.T) {
		s, got := play(t, step{revision: 5}, one("a", 7), down, one("b", 9))
		assert.Equal(t, []uint64{5, 7, 7, 9}, s.from)
		assert.Equal(t, 1, s.lists)
		assert.Equal(t, []bool{false, true}, got.returned)
	})
	t.Run("a history that is gone is listed anew", func(t *testing.T) {
		s, got := play(t, step{revision: 5}, step{err: errors.Mark(errors.New("410"), rillreach.ErrHistoryGone)}, step{revision: 20}, one("a", 21))
		assert.Equal(t, 2, got.listed)
		assert.Equal(t, []uint64{5, 20, 21}, s.from)
	})
	unreadable := step{err: errors.Mark(errors.New("no JSON"), rillreach.ErrAnswerUnreadable)}
	t.Run("after an answer that cannot be read all is listed anew, since the same watch would be given it again", func(t *testing.T) {
		s, got := play(t, step{revision: 5}, unreadable, unreadable, step{revision: 20}, one("a", 21))
		assert.Equal(t, 3, s.lists)
		assert.Equal(t, 2, got.listed)
		assert.Equal(t, []uint64{5, 20, 21}, s.from)
	})
	t.Run("it pauses after each answer that cannot be read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			play(t, unreadable, unreadable, step{revision: 5}, unreadable)
			assert.Equal(t, firstPause+2*firstPause+firstPause, time.Since(start))
		})
	})
	t.Run("a list that fails is asked for again", func(t *testing.T) {
		s, got := play(t, down, down, step{revision: 5})
		assert.Equal(t, 3, s.lists)
		assert.Equal(t, 1, got.listed)
	})
}
