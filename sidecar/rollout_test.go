package sidecar

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/weights"
)

func TestRollout(t *testing.T) {
	early, late := time.Unix(1000, 0), time.Unix(2000, 0)
	t.Run("a load that waits for its turn is scheduled, and the runner still takes requests", func(t *testing.T) {
		assert.Equal(t, rollout{start: early}, rolloutOf(weights.ActionWait, early))
	})
	t.Run("one that is announced keeps new requests away", func(t *testing.T) {
		assert.Equal(t, rollout{loading: true, start: early}, rolloutOf(weights.ActionDrain, early))
		assert.Equal(t, rollout{loading: true, start: early}, rolloutOf(weights.ActionLoad, early))
	})
	t.Run("where there is nothing to do no load is scheduled", func(t *testing.T) {
		assert.Equal(t, rollout{}, rolloutOf(weights.ActionNone, early))
	})
	t.Run("of two models the earlier load counts", func(t *testing.T) {
		assert.Equal(t, early, rollout{start: late}.and(rollout{start: early}).start)
		assert.Equal(t, early, rollout{start: early}.and(rollout{start: late}).start)
		assert.Equal(t, early, rollout{start: early}.and(rollout{}).start)
		assert.Equal(t, early, rollout{}.and(rollout{start: early}).start)
		assert.True(t, rollout{loading: true}.and(rollout{}).loading)
	})
}

// TestScheduledLoadIsTold: entries hear when the runner loads as soon as its agent knows, and hear it again only where that changes.
func TestScheduledLoadIsTold(t *testing.T) {
	const clock = 5000
	until := 3 * time.Second
	// play has an agent with a load scheduled tell a follower, and then another report.
	play := func(t *testing.T, then func(*publisher)) (first, second bulletin.Bulletin, worth bool) {
		t.Helper()
		synctest.Test(t, func(*testing.T) {
			address := netip.MustParseAddrPort("10.0.0.1:1")
			s := &Sidecar{Settings: &deployment.Settings{RunnerAddress: address}, own: &holder{place: address}, stores: &collector{}}
			s.stores.sidecar = s
			s.state.Roster.Put(deployment.Runner{ID: "r1", Service: "s", Address: address})
			n := &publisher{sidecar: s}
			f := newFollower(n)
			n.set(deployment.Load{Clock: time.UnixMilli(clock)}, rollout{start: time.Now().Add(until)})
			first, _ = f.next()
			then(n)
			second, worth = f.next()
		})
		return first, second, worth
	}
	report := func(clock int64, until time.Duration) func(*publisher) {
		return func(n *publisher) {
			n.set(deployment.Load{Clock: time.UnixMilli(clock)}, rollout{start: time.Now().Add(until)})
		}
	}
	t.Run("on the runners' clock", func(t *testing.T) {
		first, _, _ := play(t, report(clock, until))
		assert.Equal(t, clock+until.Milliseconds(), first.Load.WeightLoadAt)
	})
	t.Run("not again where the clock was read a little early", func(t *testing.T) {
		_, _, worth := play(t, report(clock-3, until))
		assert.False(t, worth)
	})
	t.Run("again where the start is another one", func(t *testing.T) {
		_, second, worth := play(t, report(clock, time.Second))
		assert.True(t, worth)
		assert.Equal(t, clock+time.Second.Milliseconds(), second.Load.WeightLoadAt)
	})
	t.Run("again where no load is scheduled any more", func(t *testing.T) {
		_, second, worth := play(t, func(n *publisher) { n.set(deployment.Load{Clock: time.UnixMilli(clock)}, rollout{}) })
		assert.True(t, worth)
		assert.Zero(t, second.Load.WeightLoadAt)
	})
	t.Run("not where the runners' clock is unknown", func(t *testing.T) {
		_, second, _ := play(t, func(n *publisher) { n.set(deployment.Load{}, rollout{start: time.Now().Add(until)}) })
		assert.Zero(t, second.Load.WeightLoadAt)
	})
}
