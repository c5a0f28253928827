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

// assertWaitDuration asserts how long a pacer waits, in virtual time.
func assertWaitDuration(t *testing.T, p *pacer, interval time.Duration, urgent <-chan struct{}, want time.Duration) {
	t.Helper()
	start := time.Now()
	p.wait(t.Context(), interval, urgent)
	assert.Equal(t, want, time.Since(start))
}

func TestPacer(t *testing.T) {
	const interval = 180 * time.Millisecond
	urgentAfter := func(b *broadcast.Signal, d time.Duration) <-chan struct{} {
		time.AfterFunc(d, b.Wake)
		return b.Wait()
	}
	t.Run("without urgent changes, the wait lasts for the interval", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assertWaitDuration(t, &pacer{}, interval, (&broadcast.Signal{}).Wait(), interval)
		})
	})
	t.Run("an urgent change ends the wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assertWaitDuration(t, &pacer{}, interval, urgentAfter(&broadcast.Signal{}, 20*time.Millisecond), 20*time.Millisecond)
		})
	})
	t.Run("an urgent change since the signal was obtained is not missed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var b broadcast.Signal
			urgent := b.Wait()
			b.Wake()
			assertWaitDuration(t, &pacer{}, interval, urgent, 0)
		})
	})
	t.Run("an urgent change soon after another does not end the wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var p pacer
			var b broadcast.Signal
			assertWaitDuration(t, &p, interval, urgentAfter(&b, time.Millisecond), time.Millisecond)
			assertWaitDuration(t, &p, interval, urgentAfter(&b, time.Millisecond), interval)
		})
	})
	t.Run("a later urgent change ends the wait again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var p pacer
			var b broadcast.Signal
			assertWaitDuration(t, &p, interval, urgentAfter(&b, time.Millisecond), time.Millisecond)
			time.Sleep(minUrgentInterval)
			assertWaitDuration(t, &p, interval, urgentAfter(&b, time.Millisecond), time.Millisecond)
		})
	})
	t.Run("cancelling the context ends the wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			start := time.Now()
			(&pacer{}).wait(ctx, interval, nil)
			assert.Zero(t, time.Since(start))
		})
	})
}

// Followers are woken when the runner stops or resumes accepting requests. Other changes wait for the next bulletin.
func TestUrgentChangesWakeFollowers(t *testing.T) {
	baseline := deployment.Load{Running: 2}
	cases := []struct {
		name   string
		change func(*publisher)
		urgent bool
	}{
		{"a load is announced", func(p *publisher) { p.setReport(baseline, weightLoadStatus{loading: true}) }, true},
		{"the runner is leaving", func(p *publisher) { p.setReport(deployment.Load{Running: 2, Leaving: true}, weightLoadStatus{}) }, true},
		{"the runner does not answer", func(p *publisher) { p.markUnresponsive() }, true},
		{"more requests run", func(p *publisher) { p.setReport(deployment.Load{Running: 3}, weightLoadStatus{}) }, false},
		{"nothing changes", func(p *publisher) { p.setReport(baseline, weightLoadStatus{}) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p publisher
			p.setReport(baseline, weightLoadStatus{})
			assertUrgent(t, &p, func() { c.change(&p) }, c.urgent)
		})
	}
	t.Run("a load ends", func(t *testing.T) {
		var p publisher
		p.setReport(baseline, weightLoadStatus{loading: true})
		assertUrgent(t, &p, func() { p.setReport(baseline, weightLoadStatus{}) }, true)
	})
	t.Run("the runner still does not answer", func(t *testing.T) {
		var p publisher
		p.markUnresponsive()
		assertUrgent(t, &p, p.markUnresponsive, false)
	})
}

func assertUrgent(t *testing.T, p *publisher, change func(), want bool) {
	t.Helper()
	urgent := p.urgent.Wait()
	change()
	select {
	case <-urgent:
		assert.True(t, want, "followers were woken")
	default:
		assert.False(t, want, "followers were not woken")
	}
}
