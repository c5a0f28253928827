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

// scriptedSource returns one response after another, and cancels the context after the last.
type scriptedSource struct {
	steps []step
	lists int
	from  []uint64
	end   context.CancelFunc
}

type step struct {
	updates  []update
	revision uint64
	// era is the era of the source; zero stands for the first.
	era uint64
	err error
}

func (s *scriptedSource) next() ([]update, rillreach.Revision, error) {
	if len(s.steps) == 0 {
		s.end()
		return nil, rillreach.Revision{}, context.Canceled
	}
	one := s.steps[0]
	s.steps = s.steps[1:]
	return one.updates, rillreach.Revision{Era: max(one.era, 1), Number: one.revision}, one.err
}

// List returns the next response.
func (s *scriptedSource) List(context.Context) ([]update, rillreach.Revision, error) {
	s.lists++
	return s.next()
}

// Watch returns the next response.
func (s *scriptedSource) Watch(_ context.Context, revision rillreach.Revision, _ time.Duration) ([]update, rillreach.Revision, error) {
	s.from = append(s.from, revision.Number)
	return s.next()
}

type observed struct {
	listed      int
	changed     []string
	afterOutage []bool
}

func run(t *testing.T, steps ...step) (*scriptedSource, *observed) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s, got := &scriptedSource{steps: steps, end: cancel}, &observed{}
	c := &Controller[int]{
		Kind: "things", Source: s, Log: logr.Discard(),
		OnListed: func([]update, time.Time) { got.listed++ },
		OnChanged: func(u update, regainedAt time.Time) {
			got.changed = append(got.changed, u.Name)
			got.afterOutage = append(got.afterOutage, !regainedAt.IsZero())
		},
	}
	assert.NoError(t, c.Run(ctx))
	return s, got
}

func change(name string, revision uint64) step {
	return step{updates: []update{{Name: name}}, revision: revision}
}

func TestFollow(t *testing.T) {
	outage := step{err: errors.New("away")}
	t.Run("a watch continues from the last response", func(t *testing.T) {
		s, got := run(t, step{revision: 5}, change("a", 7), change("b", 9))
		assert.Equal(t, []uint64{5, 7, 9}, s.from)
		assert.Equal(t, []string{"a", "b"}, got.changed)
	})
	t.Run("a failed watch continues from the same revision, and later changes carry the end of the outage", func(t *testing.T) {
		s, got := run(t, step{revision: 5}, change("a", 7), outage, change("b", 9))
		assert.Equal(t, []uint64{5, 7, 7, 9}, s.from)
		assert.Equal(t, 1, s.lists)
		assert.Equal(t, []bool{false, true}, got.afterOutage)
	})
	t.Run("an expired history causes a new list", func(t *testing.T) {
		s, got := run(t, step{revision: 5}, step{err: errors.Mark(errors.New("410"), rillreach.ErrHistoryGone)}, step{revision: 20}, change("a", 21))
		assert.Equal(t, 2, got.listed)
		assert.Equal(t, []uint64{5, 20, 21}, s.from)
	})
	unreadable := step{err: errors.Mark(errors.New("no JSON"), rillreach.ErrMalformedResponse)}
	t.Run("an unreadable response causes a new list, since the same watch would get it again", func(t *testing.T) {
		s, got := run(t, step{revision: 5}, unreadable, unreadable, step{revision: 20}, change("a", 21))
		assert.Equal(t, 3, s.lists)
		assert.Equal(t, 2, got.listed)
		assert.Equal(t, []uint64{5, 20, 21}, s.from)
	})
	t.Run("it backs off after each unreadable response", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			run(t, unreadable, unreadable, step{revision: 5}, unreadable)
			assert.Equal(t, initialBackoff+2*initialBackoff+initialBackoff, time.Since(start))
		})
	})
	t.Run("a failed list is retried", func(t *testing.T) {
		s, got := run(t, outage, outage, step{revision: 5})
		assert.Equal(t, 3, s.lists)
		assert.Equal(t, 1, got.listed)
	})
}
