package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/broadcast"
)

// assertWaits has a pacer wait, and compares how long it did in virtual time.
func assertWaits(t *testing.T, p *pacer, pace time.Duration, urgent <-chan struct{}, want time.Duration) {
	t.Helper()
	start := time.Now()
	p.wait(t.Context(), pace, urgent)
	assert.Equal(t, want, time.Since(start))
}

func TestPacer(t *testing.T) {
	const pace = 180 * time.Millisecond
	urgentAfter := func(b *broadcast.Signal, d time.Duration) <-chan struct{} {
		time.AfterFunc(d, b.Wake)
		return b.Wait()
	}
	t.Run("without urgent changes a follower is told at its pace", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assertWaits(t, &pacer{}, pace, (&broadcast.Signal{}).Wait(), pace)
		})
	})
	t.Run("an urgent change is told at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assertWaits(t, &pacer{}, pace, urgentAfter(&broadcast.Signal{}, 20*time.Millisecond), 20*time.Millisecond)
		})
	})
	t.Run("one that came while the bulletin before was made is not missed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var b broadcast.Signal
			urgent := b.Wait()
			b.Wake()
			assertWaits(t, &pacer{}, pace, urgent, 0)
		})
	})
	t.Run("urgent changes in a row are told at the pace", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var p pacer
			var b broadcast.Signal
			assertWaits(t, &p, pace, urgentAfter(&b, time.Millisecond), time.Millisecond)
			assertWaits(t, &p, pace, urgentAfter(&b, time.Millisecond), pace)
		})
	})
	t.Run("a later one is told at once again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var p pacer
			var b broadcast.Signal
			assertWaits(t, &p, pace, urgentAfter(&b, time.Millisecond), time.Millisecond)
			time.Sleep(wakeEvery)
			assertWaits(t, &p, pace, urgentAfter(&b, time.Millisecond), time.Millisecond)
		})
	})
	t.Run("the context ends it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			start := time.Now()
			(&pacer{}).wait(ctx, pace, nil)
			assert.Zero(t, time.Since(start))
		})
	})
}

// TestUrgentChanges: followers hear at once of what makes a runner unfit for new requests, or fit again; the rest can wait for their pace.
func TestUrgentChanges(t *testing.T) {
	calm := deployment.Load{Running: 2}
	cases := []struct {
		name   string
		change func(*publisher)
		urgent bool
	}{
		{"a load is announced", func(n *publisher) { n.set(calm, rollout{loading: true}) }, true},
		{"the runner leaves", func(n *publisher) { n.set(deployment.Load{Running: 2, Leaving: true}, rollout{}) }, true},
		{"the runner does not answer", func(n *publisher) { n.silence() }, true},
		{"more requests run", func(n *publisher) { n.set(deployment.Load{Running: 3}, rollout{}) }, false},
		{"nothing changes", func(n *publisher) { n.set(calm, rollout{}) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var n publisher
			n.set(calm, rollout{})
			assertUrgent(t, &n, func() { c.change(&n) }, c.urgent)
		})
	}
	t.Run("a load ends", func(t *testing.T) {
		var n publisher
		n.set(calm, rollout{loading: true})
		assertUrgent(t, &n, func() { n.set(calm, rollout{}) }, true)
	})
	t.Run("the runner still does not answer", func(t *testing.T) {
		var n publisher
		n.silence()
		assertUrgent(t, &n, n.silence, false)
	})
}

func assertUrgent(t *testing.T, n *publisher, change func(), want bool) {
	t.Helper()
	urgent := n.urgent.Wait()
	change()
	select {
	case <-urgent:
		assert.True(t, want, "followers were woken")
	default:
		assert.False(t, want, "followers were not woken")
	}
}
