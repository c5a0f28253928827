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

// counted is a source whose watches wait, and which counts the calls.
type counted struct {
	revision atomic.Uint64
	watches  int
}

// at is the source's revision.
func (c *counted) at() rillreach.Revision { return rillreach.Revision{Number: c.revision.Load()} }

// List gives nothing.
func (c *counted) List(context.Context) ([]update, rillreach.Revision, error) {
	return nil, c.at(), nil
}

// Watch gives a change where there is one, else nothing once the wait is over.
func (c *counted) Watch(ctx context.Context, revision rillreach.Revision, wait time.Duration) ([]update, rillreach.Revision, error) {
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

// followWithRelays follows for a time while a function speaks for the relays, and gives the calls and when the first change came.
func followWithRelays(t *testing.T, d time.Duration, speak func(*notify.Tracker, *counted)) (watches int, changed time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		begun := time.Now()
		source, relays := &counted{}, &notify.Tracker{}
		source.revision.Store(5)
		c := &Controller[int]{
			Kind: "things", Source: source, WatchTimeout: 3 * time.Second, Log: logr.Discard(),
			Relays: relays, Topic: notify.KindConfig, NoticeTTL: 2 * time.Second,
			OnListed:  func([]update, time.Time) {},
			OnChanged: func(rillreach.Update[int], time.Time) { changed = time.Since(begun) },
		}
		go speak(relays, source)
		assert.NoError(t, c.Run(ctx))
		watches = source.watches
	})
	return watches, changed
}

// sayEvery has a relay say each half second, for a time, that there is nothing after the revision.
func sayEvery(relays *notify.Tracker, revision uint64, d time.Duration) {
	for begun := time.Now(); time.Since(begun) < d; time.Sleep(500 * time.Millisecond) {
		relays.Receive(notify.Notice{Kind: notify.KindConfig, Revision: rillreach.Revision{Number: revision}}, time.Now())
	}
}

func TestFollowWithRelays(t *testing.T) {
	const minute = 59 * time.Second
	t.Run("without relays the source is watched over and over", func(t *testing.T) {
		watches, _ := followWithRelays(t, minute, func(*notify.Tracker, *counted) {})
		assert.Equal(t, 20, watches)
	})
	t.Run("while relays say that nothing is new, the source isn't asked", func(t *testing.T) {
		watches, _ := followWithRelays(t, minute, func(r *notify.Tracker, _ *counted) { sayEvery(r, 5, minute) })
		assert.LessOrEqual(t, watches, 1)
	})
	t.Run("a change that a relay tells is read at once", func(t *testing.T) {
		_, changed := followWithRelays(t, minute, func(r *notify.Tracker, source *counted) {
			sayEvery(r, 5, 10*time.Second)
			source.revision.Store(8)
			r.Receive(notify.Notice{Kind: notify.KindConfig, Revision: rillreach.Revision{Number: 8}}, time.Now())
		})
		assert.Equal(t, 10*time.Second, changed)
	})
	t.Run("a change that no relay tells is read once their word no longer holds", func(t *testing.T) {
		_, changed := followWithRelays(t, minute, func(r *notify.Tracker, source *counted) {
			sayEvery(r, 5, 10*time.Second)
			source.revision.Store(8)
		})
		assert.Greater(t, changed, 10*time.Second)
		assert.Less(t, changed, 12*time.Second)
	})
}
