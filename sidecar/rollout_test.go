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

func TestWeightLoadStatus(t *testing.T) {
	early, late := time.Unix(1000, 0), time.Unix(2000, 0)
	t.Run("while a load waits to start, the runner still gets requests", func(t *testing.T) {
		assert.Equal(t, weightLoadStatus{scheduledAt: early}, weightLoadStatusOf(weights.ActionWait, early))
	})
	t.Run("an announced load keeps new requests away", func(t *testing.T) {
		assert.Equal(t, weightLoadStatus{loading: true, scheduledAt: early}, weightLoadStatusOf(weights.ActionDrain, early))
		assert.Equal(t, weightLoadStatus{loading: true, scheduledAt: early}, weightLoadStatusOf(weights.ActionLoad, early))
	})
	t.Run("without a newer version, no load is scheduled", func(t *testing.T) {
		assert.Equal(t, weightLoadStatus{}, weightLoadStatusOf(weights.ActionNone, early))
	})
	t.Run("the earlier load of two models counts", func(t *testing.T) {
		assert.Equal(t, early, weightLoadStatus{scheduledAt: late}.merge(weightLoadStatus{scheduledAt: early}).scheduledAt)
		assert.Equal(t, early, weightLoadStatus{scheduledAt: early}.merge(weightLoadStatus{scheduledAt: late}).scheduledAt)
		assert.Equal(t, early, weightLoadStatus{scheduledAt: early}.merge(weightLoadStatus{}).scheduledAt)
		assert.Equal(t, early, weightLoadStatus{}.merge(weightLoadStatus{scheduledAt: early}).scheduledAt)
		assert.True(t, weightLoadStatus{loading: true}.merge(weightLoadStatus{}).loading)
	})
}

// Entries are told when the runner will load weights as soon as the agent knows, and again only if that changes.
func TestScheduledWeightLoadIsSent(t *testing.T) {
	const clock = 5000
	delay := 3 * time.Second
	// sendTwice returns the bulletins before and after an update of a publisher with a scheduled weight load, and
	// whether the second one is due.
	sendTwice := func(t *testing.T, update func(*publisher)) (first, second bulletin.Bulletin, due bool) {
		t.Helper()
		synctest.Test(t, func(*testing.T) {
			address := netip.MustParseAddrPort("10.0.0.1:1")
			s := &Sidecar{Settings: &deployment.Settings{RunnerAddress: address}, runnerHolder: &holder{address: address}, collector: &collector{}}
			s.collector.sidecar = s
			s.state.Roster.Put(deployment.Runner{ID: "r1", Service: "s", Address: address})
			p := &publisher{sidecar: s}
			f := newFollower(p)
			p.setReport(deployment.Load{Clock: time.UnixMilli(clock)}, weightLoadStatus{scheduledAt: time.Now().Add(delay)})
			first, _ = f.next()
			update(p)
			second, due = f.next()
		})
		return first, second, due
	}
	report := func(clock int64, delay time.Duration) func(*publisher) {
		return func(p *publisher) {
			p.setReport(deployment.Load{Clock: time.UnixMilli(clock)}, weightLoadStatus{scheduledAt: time.Now().Add(delay)})
		}
	}
	t.Run("the time is on the runners' clock", func(t *testing.T) {
		first, _, _ := sendTwice(t, report(clock, delay))
		assert.Equal(t, clock+delay.Milliseconds(), first.Load.WeightLoadAt)
	})
	t.Run("a slightly different clock reading is not sent", func(t *testing.T) {
		_, _, due := sendTwice(t, report(clock-3, delay))
		assert.False(t, due)
	})
	t.Run("a new start time is sent", func(t *testing.T) {
		_, second, due := sendTwice(t, report(clock, time.Second))
		assert.True(t, due)
		assert.Equal(t, clock+time.Second.Milliseconds(), second.Load.WeightLoadAt)
	})
	t.Run("the end of a schedule is sent", func(t *testing.T) {
		_, second, due := sendTwice(t, func(p *publisher) { p.setReport(deployment.Load{Clock: time.UnixMilli(clock)}, weightLoadStatus{}) })
		assert.True(t, due)
		assert.Zero(t, second.Load.WeightLoadAt)
	})
	t.Run("no time is sent if the runners' clock is unknown", func(t *testing.T) {
		_, second, _ := sendTwice(t, func(n *publisher) {
			n.setReport(deployment.Load{}, weightLoadStatus{scheduledAt: time.Now().Add(delay)})
		})
		assert.Zero(t, second.Load.WeightLoadAt)
	})
}
