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
	"github.com/rillreach/rillreach/notify"
)

const (
	// firstPause and mostPause bound the pause after a failed call: each call is paid for, those that are refused too, and
	// an instance has seconds after the store's return to know everything again.
	firstPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond
	// firstWait is how long the first watch after a loss waits: its answer tells whether the source has come back from a copy.
	firstWait = time.Millisecond
)

// Controller follows one kind of objects; exported fields are set before Run.
type Controller[T any] struct {
	// Kind names the objects in logs.
	Kind string
	// Source gives the objects.
	Source rillreach.Source[T]
	// WatchTimeout is how long one watch waits for a change.
	WatchTimeout time.Duration
	// CoalesceDelay is how long to pause between watches, so that changes in quick succession cost one call; zero means none.
	CoalesceDelay time.Duration
	// Wake ends such a pause early; it may be nil.
	Wake <-chan struct{}
	// Log takes the source's loss and return.
	Log logr.Logger
	// PaceOverride gives another pace for as long as it reports so; it may be nil.
	PaceOverride func() (Pace, bool)
	// Relays tell of changes, so that the source is asked only then; nil where nobody does. Topic is what they call the objects, Trust for how
	// long their word holds.
	Relays    *notify.Tracker
	Topic     notify.Kind
	NoticeTTL time.Duration
	// Progress is told of each answer; it may be nil.
	Progress *notify.Progress
	// WaitReady is waited for before the first question; it may be nil.
	WaitReady func(ctx context.Context)
	// BeforeRequest is called before each question to the source, and before the wait for word of the relays; it may be nil.
	BeforeRequest func()
	// OnRestored is told, before Listed, that the list is the first since the source has come back from a copy; it may be nil.
	OnRestored func(now time.Time)
	// OnListed takes all objects after each list; returned is when the source last came back, zero where it never was lost.
	OnListed func(all []rillreach.Update[T], returned time.Time)
	// OnChanged takes one change; returned is as with Listed.
	OnChanged func(change rillreach.Update[T], returned time.Time)
	// OnConfirmed is called after each answer; it may be nil.
	OnConfirmed func()

	lostAt   time.Time
	returned time.Time
}

// Pace is how long one watch waits for a change, and how long to pause between watches.
type Pace struct {
	WatchTimeout  time.Duration
	CoalesceDelay time.Duration
}

// lookEvery is how often a controller that waits for word of the relays looks whether it is to hasten, or should ask by itself.
const lookEvery = 250 * time.Millisecond

// Name is the controller's name.
func (c *Controller[T]) Name() string { return "follow-" + c.Kind }

// Run follows the objects until the context ends.
func (c *Controller[T]) Run(ctx context.Context) error {
	if c.WaitReady != nil {
		c.WaitReady(ctx)
	}
	wait := firstPause
	var revision rillreach.Revision
	listed := false
	for ctx.Err() == nil {
		var err error
		if c.BeforeRequest != nil {
			c.BeforeRequest()
		}
		if listed && !c.await(ctx, revision) {
			return nil
		}
		if listed {
			revision, err = c.watch(ctx, revision)
		} else {
			revision, err = c.list(ctx, revision)
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

// pace is how the source is followed now.
func (c *Controller[T]) pace() (pace Pace, hastens bool) {
	if c.PaceOverride != nil {
		if pace, hastens := c.PaceOverride(); hastens {
			return pace, true
		}
	}
	return Pace{WatchTimeout: c.WatchTimeout, CoalesceDelay: c.CoalesceDelay}, false
}

// await waits until a watch is worth a call; it reports false where the context ends before.
func (c *Controller[T]) await(ctx context.Context, revision rillreach.Revision) bool {
	if c.Relays == nil {
		return true
	}
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := c.Relays.Changed()
		_, hastens := c.pace()
		if hastens || !c.lostAt.IsZero() || c.Relays.ShouldPoll(c.Topic, revision, time.Now(), c.NoticeTTL) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-ticker.C:
		case <-c.Wake:
			return true
		}
	}
	return false
}

// gather pauses between watches, unless somebody needs what is new.
func (c *Controller[T]) gather(ctx context.Context) {
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

// list takes all objects over; the revision is the one that was followed before, zero where none was.
func (c *Controller[T]) list(ctx context.Context, before rillreach.Revision) (rillreach.Revision, error) {
	all, revision, err := c.Source.List(ctx)
	if err != nil {
		return before, err
	}
	c.regain()
	if before.Era != 0 && revision.Era > before.Era {
		c.restored(before, revision)
	}
	c.OnListed(all, c.returned)
	c.confirm(revision, true)
	return revision, nil
}

func (c *Controller[T]) watch(ctx context.Context, from rillreach.Revision) (rillreach.Revision, error) {
	pace, _ := c.pace()
	if !c.lostAt.IsZero() {
		pace.WatchTimeout = firstWait
	}
	changes, revision, err := c.Source.Watch(ctx, from, pace.WatchTimeout)
	if err != nil {
		return from, err
	}
	c.regain()
	for _, change := range changes {
		c.OnChanged(change, c.returned)
	}
	c.confirm(revision, len(changes) > 0)
	return revision, nil
}

// confirm records that what is known is the source's at a revision.
func (c *Controller[T]) confirm(revision rillreach.Revision, changed bool) {
	if c.Progress != nil {
		c.Progress.RecordResponse(time.Now(), revision, changed)
	}
	if c.OnConfirmed != nil {
		c.OnConfirmed()
	}
}

// restored records that the source has come back from a copy, which may lack what was known.
func (c *Controller[T]) restored(before, revision rillreach.Revision) {
	c.returned = time.Now()
	c.Log.Info("source has come back from a copy", "decision", "merge", "kind", c.Kind, "before", before, "revision", revision)
	if c.OnRestored != nil {
		c.OnRestored(c.returned)
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
