package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/backpressure"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

func TestLimitedRunners(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := backpressure.Limit{Bounded: true, PerSecond: 2}
	begin := func() (*roster.Roster, *roster.Runner, *limitedRunners) {
		list := &roster.Roster{}
		list.Put(deployment.Runner{ID: "r", Service: "s", Address: engineAddress})
		return list, list.Find("r"), &limitedRunners{}
	}
	t.Run("an observation is reported once", func(t *testing.T) {
		list, r, limited := begin()
		r.ObserveLimit(now, backpressure.Observation{Limit: limit, Sent: now, Received: now})
		limited.recordChange(r, now)
		limited.markUnreported(r, now)
		assert.Len(t, limited.unreported(limited.current(list, now), now), 1)
		limited.markReported([]*roster.Runner{r}, now)
		assert.Empty(t, limited.unreported(limited.current(list, now), now))
	})
	t.Run("an observation during a report is reported as well", func(t *testing.T) {
		list, r, limited := begin()
		limited.markUnreported(r, now.Add(1))
		limited.markReported([]*roster.Runner{r}, now)
		assert.Len(t, limited.unreported(limited.current(list, now), now), 1)
	})
	t.Run("a limit is reported again if no permits are allocated under it", func(t *testing.T) {
		list, r, limited := begin()
		r.ObserveLimit(now, backpressure.Observation{Limit: limit, Sent: now, Received: now})
		limited.recordChange(r, now)
		assert.Empty(t, limited.unreported(limited.current(list, now), now.Add(allocationTimeout-1)))
		assert.Len(t, limited.unreported(limited.current(list, now), now.Add(allocationTimeout)), 1)
	})
	t.Run("an agent that reports a limit lifted long ago is told so", func(t *testing.T) {
		list, r, limited := begin()
		limited.markUnreported(r, now)
		assert.Len(t, limited.unreported(limited.current(list, now), now), 1)
	})
	t.Run("runners that are no longer listed or whose limit was lifted long ago are dropped", func(t *testing.T) {
		list, r, limited := begin()
		limited.recordChange(r, now)
		assert.Len(t, limited.current(list, now.Add(liftedLimitRetention-1)), 1)
		assert.Empty(t, limited.current(list, now.Add(liftedLimitRetention)))
		limited.recordChange(r, now)
		list.Remove(now, "r", time.Time{})
		assert.Empty(t, limited.current(list, now))
	})
}
