package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

var start = time.Unix(1000, 0)

func info(id string) deployment.Runner {
	return deployment.Runner{
		ID: rillreach.InstanceID(id), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Weights: map[rillreach.ModelID]deployment.WeightVersion{"m": 1},
	}
}

func ids(r *Roster) []string {
	var all []string
	for _, runner := range r.ByService("s") {
		all = append(all, string(runner.Info().ID))
	}
	return all
}

func TestRoster(t *testing.T) {
	t.Run("the runners of a service are sorted by identifier", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{info("c"), info("a"), info("b")}, time.Time{})
		assert.Equal(t, []string{"a", "b", "c"}, ids(&r))
	})
	t.Run("a runner that is no longer listed is removed at once", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{info("a"), info("b")}, time.Time{})
		changes := r.Replace(start, []deployment.Runner{info("a")}, time.Time{})
		assert.Equal(t, []string{"a"}, ids(&r))
		assert.Equal(t, EventRemoved, changes[len(changes)-1].Event)
	})
	t.Run("a runner whose record expired during an outage of the store stays until its removal time", func(t *testing.T) {
		var r Roster
		removeAt := start.Add(2 * time.Second)
		r.Replace(start, []deployment.Runner{info("a"), info("b")}, time.Time{})
		r.Remove(start, "a", removeAt)
		r.Replace(start, []deployment.Runner{info("b")}, removeAt)
		assert.Empty(t, r.Expire(removeAt))
		assert.Equal(t, []string{"a", "b"}, ids(&r))
		r.Put(info("a"))
		assert.Empty(t, r.Expire(removeAt.Add(time.Second)), "it is listed again")
		r.Remove(start, "a", removeAt)
		r.Expire(removeAt.Add(time.Millisecond))
		assert.Equal(t, []string{"b"}, ids(&r))
	})
}

func TestLatestRecordOwnsAddress(t *testing.T) {
	old, fresh := info("old"), info("fresh")
	old.Revision, fresh.Revision = rillreach.Revision{Number: 5}, rillreach.Revision{Number: 9}
	for name, order := range map[string][]deployment.Runner{"older first": {old, fresh}, "newer first": {fresh, old}} {
		t.Run("of two records with the same address the one written last owns it, "+name, func(t *testing.T) {
			var r Roster
			r.Replace(start, order, time.Time{})
			assert.Equal(t, fresh.ID, r.ByAddress(fresh.Address).Info().ID)
			assert.True(t, r.Find("old").View(start).Leaving)
			assert.False(t, r.Find("fresh").View(start).Leaving)
			r.Remove(start, "old", time.Time{})
			assert.Equal(t, fresh.ID, r.ByAddress(fresh.Address).Info().ID)
		})
	}
}

func TestAddressOwnerChanges(t *testing.T) {
	one, other := info("one"), info("other")
	one.Revision, other.Revision = rillreach.Revision{Number: 5}, rillreach.Revision{Number: 9}
	t.Run("a runner regains its address once the later record is removed", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{one, other}, time.Time{})
		r.Remove(start, other.ID, time.Time{})
		assert.Equal(t, one.ID, r.ByAddress(one.Address).Info().ID)
		assert.False(t, r.Find(one.ID).View(start).Leaving)
	})
	t.Run("a runner regains its address once the later record names another one", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{one, other}, time.Time{})
		moved := other
		moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
		r.Put(moved)
		assert.Equal(t, one.ID, r.ByAddress(one.Address).Info().ID)
		assert.Equal(t, other.ID, r.ByAddress(moved.Address).Info().ID)
		assert.False(t, r.Find(one.ID).View(start).Leaving)
		assert.False(t, r.Find(other.ID).View(start).Leaving)
	})
	t.Run("a runner that says that it is shutting down is leaving, whoever owns the address", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{one, other}, time.Time{})
		r.Find(one.ID).MarkLeaving()
		r.Remove(start, other.ID, time.Time{})
		assert.True(t, r.Find(one.ID).View(start).Leaving)
	})
	t.Run("a runner regains its address once the other one is marked as leaving", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{one, other}, time.Time{})
		r.Find(other.ID).MarkLeaving()
		assert.Equal(t, one.ID, r.ByAddress(one.Address).Info().ID)
		assert.False(t, r.Find(one.ID).View(start).Leaving)
		assert.True(t, r.Find(other.ID).View(start).Leaving)
	})
	t.Run("a runner that changes its service is listed under the new one only", func(t *testing.T) {
		var r Roster
		r.Put(one)
		moved := one
		moved.Service = "another"
		r.Put(moved)
		assert.Empty(t, r.ByService(one.Service))
		assert.Len(t, r.ByService("another"), 1)
		r.Remove(start, one.ID, time.Time{})
		assert.Empty(t, r.ByService("another"))
	})
}

func TestRunner(t *testing.T) {
	one := func() *Runner {
		var r Roster
		r.Put(info("a"))
		return r.Find("a")
	}
	t.Run("consecutive failures eject a runner for longer and longer, up to a bound", func(t *testing.T) {
		r, now, last := one(), start, time.Duration(0)
		for range 8 {
			pause := r.Eject(now)
			assert.GreaterOrEqual(t, pause, last)
			assert.LessOrEqual(t, pause, maxEjection)
			assert.True(t, r.View(now).Ejected)
			now, last = now.Add(pause), pause
			assert.False(t, r.View(now).Ejected)
		}
	})
	t.Run("failures of concurrent requests count once", func(t *testing.T) {
		r := one()
		first := r.Eject(start)
		assert.Less(t, r.Eject(start.Add(time.Millisecond)), first)
	})
	t.Run("a success ends the ejection", func(t *testing.T) {
		r := one()
		r.Eject(start)
		r.RecordSuccess(start)
		assert.False(t, r.View(start).Ejected)
	})
	t.Run("the failure rate follows the outcomes", func(t *testing.T) {
		r := one()
		for range 20 {
			r.RecordFailure(start)
		}
		assert.Greater(t, r.View(start).FailureRate, 0.9)
		for range 20 {
			r.RecordSuccess(start)
		}
		assert.Less(t, r.View(start).FailureRate, 0.1)
	})
	t.Run("the newest weights from any source apply, and the record is not changed", func(t *testing.T) {
		r := one()
		r.SetWeights("m", 3)
		r.SetReport(Report{ReceivedAt: start, Load: deployment.Load{Weights: map[rillreach.ModelID]deployment.WeightVersion{"m": 2}}})
		assert.Equal(t, deployment.WeightVersion(3), r.View(start).Weights["m"])
		assert.Equal(t, deployment.WeightVersion(1), r.Info().Weights["m"])
	})
	t.Run("an old report is not used", func(t *testing.T) {
		r := one()
		r.SetReport(Report{ReceivedAt: start, Load: deployment.Load{Leaving: true}})
		assert.True(t, r.View(start).Leaving)
		assert.False(t, r.View(start.Add(maxReportAge)).Leaving)
	})
	t.Run("the time to a scheduled load of weights falls to zero and stays there until the load ends", func(t *testing.T) {
		r := one()
		assert.False(t, r.View(start).WeightLoadScheduled)
		r.SetReport(Report{ReceivedAt: start, WeightLoadAt: start.Add(time.Second)})
		assert.True(t, r.View(start).WeightLoadScheduled)
		assert.Equal(t, time.Second, r.View(start).TimeToWeightLoad)
		assert.Equal(t, 400*time.Millisecond, r.View(start.Add(600*time.Millisecond)).TimeToWeightLoad)
		assert.True(t, r.View(start.Add(1200*time.Millisecond)).WeightLoadScheduled)
		assert.Zero(t, r.View(start.Add(1200*time.Millisecond)).TimeToWeightLoad)
		r.SetReport(Report{ReceivedAt: start})
		assert.False(t, r.View(start).WeightLoadScheduled)
	})
	t.Run("a load of weights in an old report does not count as scheduled", func(t *testing.T) {
		r := one()
		r.SetReport(Report{ReceivedAt: start, WeightLoadAt: start.Add(time.Hour)})
		assert.False(t, r.View(start.Add(maxReportAge)).WeightLoadScheduled)
	})
	t.Run("requests that have ended leave the counts at zero", func(t *testing.T) {
		r := one()
		r.BeginRequest(start, 100, 200)
		r.RecordFirstToken(start, start, 100)
		r.EndRequest(200)
		r.BeginRequest(start, 100, 200)
		r.AbandonWait(start, 100)
		r.EndRequest(200)
		v := r.View(start)
		assert.Zero(t, v.RunningRequests+v.QueuedPrefillTokens+v.UsedTokens)
	})
}
