package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backpressure"
	"github.com/rillreach/rillreach/deployment"
)

func TestAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := backpressure.Limit{Bounded: true, PerSecond: 2}
	limited := func(r *Runner) {
		r.ObserveLimit(now, backpressure.Observation{Limit: limit, Sent: now.Add(-2), Received: now.Add(-1)})
	}
	assertDenied := func(t *testing.T, denial Denial, r *Runner, now time.Time) {
		t.Helper()
		assert.Equal(t, denial, r.View(now).Denied, "denial in the view")
		assert.Equal(t, denial, r.Admit(now), "denial by Admit")
	}
	t.Run("of several backoffs the one that ends last applies", func(t *testing.T) {
		r := newRunner(deployment.Runner{}, time.Time{})
		r.BackOff(now.Add(3 * time.Second))
		r.BackOff(now.Add(time.Second))
		assertDenied(t, DeniedBackoff, r, now.Add(3*time.Second-1))
		assertDenied(t, "", r, now.Add(3*time.Second))
	})
	t.Run("a request to a cold runner with a rate limit takes a permit of both kinds", func(t *testing.T) {
		r := newRunner(deployment.Runner{ColdUntil: now.Add(time.Minute)}, time.Time{})
		limited(r)
		r.AddLimitPermits(now, limit, 2, now.Add(time.Second))
		assertDenied(t, DeniedCold, r, now)
		r.AddColdPermits(1, now.Add(time.Second))
		assertDenied(t, "", r, now)
		assertDenied(t, DeniedCold, r, now)
		r.AddColdPermits(1, now.Add(time.Second))
		assertDenied(t, "", r, now)
		assertDenied(t, DeniedLimited, r, now)
	})
	t.Run("new permits, the end of a backoff or a new record do not readmit a leaving runner", func(t *testing.T) {
		r := newRunner(deployment.Runner{}, time.Time{})
		r.setLeaving()
		r.BackOff(now)
		limited(r)
		r.AddLimitPermits(now, limit, 1, now.Add(time.Second))
		r.updateRecord(deployment.Runner{Revision: rillreach.Revision{Number: 2}})
		assertDenied(t, DeniedLeaving, r, now)
	})
	t.Run("a successful response does not end a backoff", func(t *testing.T) {
		r := newRunner(deployment.Runner{}, time.Time{})
		r.BackOff(now.Add(time.Second))
		r.RecordSuccess(now)
		assertDenied(t, DeniedBackoff, r, now)
	})
}
