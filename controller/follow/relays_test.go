package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/notify"
)

// countingSource is a source whose watches block, and which counts them.
type countingSource struct {
	revision atomic.Uint64
	watches  int
}

// at returns the revision of the source.
func (c *countingSource) at() rillreach.Revision {
	return rillreach.Revision{Number: c.revision.Load()}
}

// List returns no objects.
func (c *countingSource) List(context.Context) ([]update, rillreach.Revision, error) {
	return nil, c.at(), nil
}

// Watch returns a change if there is one, and otherwise nothing after the wait.
func (c *countingSource) Watch(ctx context.Context, revision rillreach.Revision, wait time.Duration) ([]update, rillreach.Revision, error) {
	c.watches++
	if newest := c.at(); newest.After(revision) {
		return []update{{Name: "a"}}, newest, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, c.at(), ctx.Err()
}

// followWithRelays runs a controller for a time while sendNotices acts as the relays, and returns the number of
// watches and the time of the last change.
func followWithRelays(t *testing.T, d time.Duration, sendNotices func(*notify.Tracker, *countingSource)) (watches int, changed time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		start := time.Now()
		source, relays := &countingSource{}, &notify.Tracker{}
		source.revision.Store(5)
		c := &Controller[int]{
			Kind: "things", Source: source, WatchTimeout: 3 * time.Second, Log: logr.Discard(),
			Relays: relays, Topic: notify.KindConfig, NoticeTTL: 2 * time.Second,
			OnListed:  func([]update, time.Time) {},
			OnChanged: func(rillreach.Update[int], time.Time) { changed = time.Since(start) },
		}
		go sendNotices(relays, source)
		assert.NoError(t, c.Run(ctx))
		watches = source.watches
	})
	return watches, changed
}

// confirmPeriodically sends a relay's notice every half second, for a time, that nothing has changed
// since the revision.
func confirmPeriodically(relays *notify.Tracker, revision uint64, d time.Duration) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(500 * time.Millisecond) {
		relays.Receive(notify.Notice{Kind: notify.KindConfig, Revision: rillreach.Revision{Number: revision}}, time.Now())
	}
}

func TestFollowWithRelays(t *testing.T) {
	const minute = 59 * time.Second
	t.Run("without notices the source is watched continuously", func(t *testing.T) {
		watches, _ := followWithRelays(t, minute, func(*notify.Tracker, *countingSource) {})
		assert.Equal(t, 20, watches)
	})
	t.Run("while relays confirm that nothing has changed, the source is not asked", func(t *testing.T) {
		watches, _ := followWithRelays(t, minute, func(r *notify.Tracker, _ *countingSource) { confirmPeriodically(r, 5, minute) })
		assert.LessOrEqual(t, watches, 1)
	})
	t.Run("a change in a notice is read at once", func(t *testing.T) {
		_, changed := followWithRelays(t, minute, func(r *notify.Tracker, source *countingSource) {
			confirmPeriodically(r, 5, 10*time.Second)
			source.revision.Store(8)
			r.Receive(notify.Notice{Kind: notify.KindConfig, Revision: rillreach.Revision{Number: 8}}, time.Now())
		})
		assert.Equal(t, 10*time.Second, changed)
	})
	t.Run("a change without a notice is read once the last notice has expired", func(t *testing.T) {
		_, changed := followWithRelays(t, minute, func(r *notify.Tracker, source *countingSource) {
			confirmPeriodically(r, 5, 10*time.Second)
			source.revision.Store(8)
		})
		assert.Greater(t, changed, 10*time.Second)
		assert.Less(t, changed, 12*time.Second)
	})
}
