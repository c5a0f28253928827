// Package follow keeps a local copy of one kind of objects in step with its source: it lists once, then watches, and lists
// again when the history is gone.
package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/pause"
)

const (
	// firstPause and mostPause bound the pause after a failed call: each call is paid for, those that are refused too, and
	// an instance has seconds after the store's return to know everything again.
	firstPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond
)

// Controller follows one kind of objects; exported fields are set before Run.
type Controller[T any] struct {
	// Kind names the objects in logs.
	Kind string
	// Source gives the objects.
	Source rillreach.Source[T]
	// Wait is how long one watch waits for a change.
	Wait time.Duration
	// Gather is how long to pause between watches, so that changes in quick succession cost one call; zero means none.
	Gather time.Duration
	// Kick ends such a pause early; it may be nil.
	Kick <-chan struct{}
	// Log takes the source's loss and return.
	Log logr.Logger
	// Asked is called before each question to the source; it may be nil.
	Asked func()
	// Listed takes all objects after each list; returned is when the source last came back, zero where it never was lost.
	Listed func(all []rillreach.Update[T], returned time.Time)
	// Changed takes one change; returned is as with Listed.
	Changed func(change rillreach.Update[T], returned time.Time)
	// Confirmed is called after each answer; it may be nil.
	Confirmed func()

	lostAt   time.Time
	returned time.Time
}

// Name is the controller's name.
func (c *Controller[T]) Name() string { return "follow-" + c.Kind }

// Run follows the objects until the context ends.
func (c *Controller[T]) Run(ctx context.Context) error {
	wait := firstPause
	var revision uint64
	listed := false
	for ctx.Err() == nil {
		var err error
		if c.Asked != nil {
			c.Asked()
		}
		if listed {
			revision, err = c.watch(ctx, revision)
		} else {
			revision, err = c.list(ctx)
		}
		switch {
		case err == nil:
			listed = true
			wait = firstPause
			c.gather(ctx)
		case errors.Is(err, rillreach.ErrHistoryGone):
			c.Log.Info("history is gone, listing again", "decision", "list-again", "kind", c.Kind, "revision", revision)
			listed = false
		default:
			c.lost(ctx, err)
			if errors.Is(err, rillreach.ErrAnswerUnreadable) {
				listed = false // the same watch would be given the same answer
			}
			pause.For(ctx, wait)
			wait = min(2*wait, mostPause)
		}
	}
	return nil
}

// gather pauses between watches, unless somebody needs what is new.
func (c *Controller[T]) gather(ctx context.Context) {
	if c.Gather <= 0 {
		return
	}
	timer := time.NewTimer(c.Gather)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.Kick:
	}
}

func (c *Controller[T]) list(ctx context.Context) (uint64, error) {
	all, revision, err := c.Source.List(ctx)
	if err != nil {
		return 0, err
	}
	c.regain()
	c.Listed(all, c.returned)
	c.confirm()
	return revision, nil
}

func (c *Controller[T]) watch(ctx context.Context, from uint64) (uint64, error) {
	changes, revision, err := c.Source.Watch(ctx, from, c.Wait)
	if err != nil {
		return from, err
	}
	c.regain()
	for _, change := range changes {
		c.Changed(change, c.returned)
	}
	c.confirm()
	return revision, nil
}

func (c *Controller[T]) confirm() {
	if c.Confirmed != nil {
		c.Confirmed()
	}
}

func (c *Controller[T]) lost(ctx context.Context, err error) {
	if !c.lostAt.IsZero() || ctx.Err() != nil {
		return
	}
	c.lostAt = time.Now()
	c.Log.Error(err, "dependency lost", "dependency", "object-store", "kind", c.Kind)
}

// regain ends the state of a lost source.
func (c *Controller[T]) regain() {
	if c.lostAt.IsZero() {
		return
	}
	c.returned = time.Now()
	c.Log.Info("dependency regained", "dependency", "object-store", "kind", c.Kind, "outage", c.returned.Sub(c.lostAt).String())
	c.lostAt = time.Time{}
}
