// Package follow keeps a local copy of one kind of objects in sync with its source: it lists once, then watches,
// and lists again when the history of a watch has expired.
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
	// initialBackoff and maxBackoff bound the pause after a failed call. Every call costs money, also a rejected
	// one, and an instance has only seconds after an outage of the store to be up to date again.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// probeWatchTimeout is the timeout of the first watch after an outage. It is short because the response tells
	// whether the source was restored from a backup.
	probeWatchTimeout = time.Millisecond
)

// Controller follows one kind of objects. Exported fields are set before Run.
type Controller[T any] struct {
	// Kind names the objects in logs.
	Kind string
	// Source is the source of the objects.
	Source rillreach.Source[T]
	// WatchTimeout is how long one watch waits for a change.
	WatchTimeout time.Duration
	// CoalesceDelay is the pause between watches, so that changes in quick succession cost one call; zero means none.
	CoalesceDelay time.Duration
	// Wake ends such a pause early; it may be nil.
	Wake <-chan struct{}
	// Log receives the outages of the source.
	Log logr.Logger
	// PaceOverride returns another pace and whether it applies now; it may be nil.
	PaceOverride func() (Pace, bool)
	// BeforeRequest is called before each request to the source; it may be nil.
	BeforeRequest func()
	// OnRestored is called before OnListed for the first list after the source was restored from a
	// backup; it may be nil.
	OnRestored func(now time.Time)
	// OnListed is called with all objects after each list; regainedAt is when the source last became available
	// again or was restored, and zero if neither has happened.
	OnListed func(all []rillreach.Update[T], regainedAt time.Time)
	// OnChanged is called with each change; regainedAt is as for OnListed.
	OnChanged func(change rillreach.Update[T], regainedAt time.Time)
	// OnConfirmed is called after each response has been applied; it may be nil.
	OnConfirmed func()

	lostAt     time.Time
	regainedAt time.Time
}

// Pace is the timeout of a watch and the pause between watches.
type Pace struct {
	WatchTimeout  time.Duration
	CoalesceDelay time.Duration
}

// Name returns the controller's name.
func (c *Controller[T]) Name() string { return "follow-" + c.Kind }

// Run follows the objects until the context ends.
func (c *Controller[T]) Run(ctx context.Context) error {
	backoff := initialBackoff
	var revision rillreach.Revision
	listed := false
	for ctx.Err() == nil {
		var err error
		if c.BeforeRequest != nil {
			c.BeforeRequest()
		}
		if listed {
			revision, err = c.watch(ctx, revision)
		} else {
			revision, err = c.list(ctx, revision)
		}
		switch {
		case err == nil:
			listed = true
			backoff = initialBackoff
			c.coalesce(ctx)
		case errors.Is(err, rillreach.ErrHistoryGone):
			c.Log.Info("watch history has expired, listing again", "decision", "list-again", "kind", c.Kind, "revision", revision)
			listed = false
		default:
			c.markLost(ctx, err)
			if errors.Is(err, rillreach.ErrMalformedResponse) {
				listed = false // the same watch would get the same response
			}
			pause.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return nil
}

// pace returns the pace that applies now, and whether it is overridden.
func (c *Controller[T]) pace() (pace Pace, overridden bool) {
	if c.PaceOverride != nil {
		if pace, overridden := c.PaceOverride(); overridden {
			return pace, true
		}
	}
	return Pace{WatchTimeout: c.WatchTimeout, CoalesceDelay: c.CoalesceDelay}, false
}

// coalesce pauses between watches, unless Wake ends the pause early.
func (c *Controller[T]) coalesce(ctx context.Context) {
	pace, _ := c.pace()
	if pace.CoalesceDelay <= 0 {
		return
	}
	timer := time.NewTimer(pace.CoalesceDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.Wake:
	}
}

// list lists all objects. The previous revision is the one followed so far, zero if none.
func (c *Controller[T]) list(ctx context.Context, previous rillreach.Revision) (rillreach.Revision, error) {
	all, revision, err := c.Source.List(ctx)
	if err != nil {
		return previous, err
	}
	c.markRegained()
	if previous.Era != 0 && revision.Era > previous.Era {
		c.markRestored(previous, revision)
	}
	c.OnListed(all, c.regainedAt)
	c.confirm()
	return revision, nil
}

func (c *Controller[T]) watch(ctx context.Context, from rillreach.Revision) (rillreach.Revision, error) {
	pace, _ := c.pace()
	if !c.lostAt.IsZero() {
		pace.WatchTimeout = probeWatchTimeout
	}
	changes, revision, err := c.Source.Watch(ctx, from, pace.WatchTimeout)
	if err != nil {
		return from, err
	}
	c.markRegained()
	for _, change := range changes {
		c.OnChanged(change, c.regainedAt)
	}
	c.confirm()
	return revision, nil
}

// confirm reports that a response has been applied.
func (c *Controller[T]) confirm() {
	if c.OnConfirmed != nil {
		c.OnConfirmed()
	}
}

// markRestored records that the source was restored from a backup, which may lack known changes.
func (c *Controller[T]) markRestored(before, revision rillreach.Revision) {
	c.regainedAt = time.Now()
	c.Log.Info("source has come back from a copy", "decision", "merge", "kind", c.Kind, "before", before, "revision", revision)
	if c.OnRestored != nil {
		c.OnRestored(c.regainedAt)
	}
}

func (c *Controller[T]) markLost(ctx context.Context, err error) {
	if !c.lostAt.IsZero() || ctx.Err() != nil {
		return
	}
	c.lostAt = time.Now()
	c.Log.Error(err, "dependency lost", "dependency", "object-store", "kind", c.Kind)
}

// markRegained records that the source is available again.
func (c *Controller[T]) markRegained() {
	if c.lostAt.IsZero() {
		return
	}
	c.regainedAt = time.Now()
	c.Log.Info("dependency regained", "dependency", "object-store", "kind", c.Kind, "outage", c.regainedAt.Sub(c.lostAt).String())
	c.lostAt = time.Time{}
}
