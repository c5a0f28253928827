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
	for _, runner := range r.Group("s") {
		all = append(all, string(runner.Info().ID))
	}
	return all
}

func TestRoster(t *testing.T) {
	t.Run("a group is in the order of its identifiers", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{info("c"), info("a"), info("b")}, time.Time{})
		assert.Equal(t, []string{"a", "b", "c"}, ids(&r))
	})
	t.Run("one that is no longer listed goes at once", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{info("a"), info("b")}, time.Time{})
		changes := r.Replace(start, []deployment.Runner{info("a")}, time.Time{})
		assert.Equal(t, []string{"a"}, ids(&r))
		assert.Equal(t, EventRemoved, changes[len(changes)-1].Event)
	})
	t.Run("one that lapsed while the store was away stays until it is to be back", func(t *testing.T) {
		var r Roster
		back := start.Add(2 * time.Second)
		r.Replace(start, []deployment.Runner{info("a"), info("b")}, time.Time{})
		r.Remove(start, "a", back)
		r.Replace(start, []deployment.Runner{info("b")}, back)
		assert.Empty(t, r.Expire(back))
		assert.Equal(t, []string{"a", "b"}, ids(&r))
		r.Put(info("a"))
		assert.Empty(t, r.Expire(back.Add(time.Second)), "it came back")
		r.Remove(start, "a", back)
		r.Expire(back.Add(time.Millisecond))
		assert.Equal(t, []string{"b"}, ids(&r))
	})
}

func TestLeftOverRecords(t *testing.T) {
	old, fresh := info("old"), info("fresh")
	old.Revision, fresh.Revision = rillreach.Revision{Number: 5}, rillreach.Revision{Number: 9}
	for name, order := range map[string][]deployment.Runner{"the old one first": {old, fresh}, "the fresh one first": {fresh, old}} {
		t.Run("of two records with one address the one written last counts, "+name, func(t *testing.T) {
			var r Roster
			r.Replace(start, order, time.Time{})
			assert.Equal(t, fresh.ID, r.At(fresh.Address).Info().ID)
			assert.True(t, r.Find("old").View(start).Leaving)
			assert.False(t, r.Find("fresh").View(start).Leaving)
			r.Remove(start, "old", time.Time{})
			assert.Equal(t, fresh.ID, r.At(fresh.Address).Info().ID)
		})
	}
}

func TestRecordsThatChangePlaces(t *testing.T) {
	one, other := info("one"), info("other")
	one.Revision, other.Revision = rillreach.Revision{Number: 5}, rillreach.Revision{Number: 9}
	t.Run("a runner has its address again once the later record goes", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{one, other}, time.Time{})
		r.Remove(start, other.ID, time.Time{})
		assert.Equal(t, one.ID, r.At(one.Address).Info().ID)
		assert.False(t, r.Find(one.ID).View(start).Leaving)
	})
	t.Run("a runner has its address again once the later record names another", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{one, other}, time.Time{})
		moved := other
		moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
		r.Put(moved)
		assert.Equal(t, one.ID, r.At(one.Address).Info().ID)
		assert.Equal(t, other.ID, r.At(moved.Address).Info().ID)
		assert.False(t, r.Find(one.ID).View(start).Leaving)
		assert.False(t, r.Find(other.ID).View(start).Leaving)
	})
	t.Run("a runner that says itself that it ends leaves, whoever has the address", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{one, other}, time.Time{})
		r.Find(one.ID).Leaves()
		r.Remove(start, other.ID, time.Time{})
		assert.True(t, r.Find(one.ID).View(start).Leaving)
	})
	t.Run("a runner has its address again once the other turns out not to be there", func(t *testing.T) {
		var r Roster
		r.Replace(start, []deployment.Runner{one, other}, time.Time{})
		r.Find(other.ID).Leaves()
		assert.Equal(t, one.ID, r.At(one.Address).Info().ID)
		assert.False(t, r.Find(one.ID).View(start).Leaving)
		assert.True(t, r.Find(other.ID).View(start).Leaving)
	})
	t.Run("a runner that changes its service is in that group alone", func(t *testing.T) {
		var r Roster
		r.Put(one)
		moved := one
		moved.Service = "another"
		r.Put(moved)
		assert.Empty(t, r.Group(one.Service))
		assert.Len(t, r.Group("another"), 1)
		r.Remove(start, one.ID, time.Time{})
		assert.Empty(t, r.Group("another"))
	})
}

func TestRunner(t *testing.T) {
	one := func() *Runner {
		var r Roster
		r.Put(info("a"))
		return r.Find("a")
	}
	t.Run("failures in a row keep it away for longer and longer, up to a bound", func(t *testing.T) {
		r, now, last := one(), start, time.Duration(0)
		for range 8 {
			pause := r.Eject(now)
			assert.GreaterOrEqual(t, pause, last)
			assert.LessOrEqual(t, pause, avoidMost)
			assert.True(t, r.View(now).Avoid)
			now, last = now.Add(pause), pause
			assert.False(t, r.View(now).Avoid)
		}
	})
	t.Run("failures of requests that were under way together count once", func(t *testing.T) {
		r := one()
		first := r.Eject(start)
		assert.Less(t, r.Eject(start.Add(time.Millisecond)), first)
	})
	t.Run("a good answer ends that", func(t *testing.T) {
		r := one()
		r.Eject(start)
		r.Well(start)
		assert.False(t, r.View(start).Avoid)
	})
	t.Run("the share of failures follows the answers", func(t *testing.T) {
		r := one()
		for range 20 {
			r.Failed(start)
		}
		assert.Greater(t, r.View(start).Failures, 0.9)
		for range 20 {
			r.Well(start)
		}
		assert.Less(t, r.View(start).Failures, 0.1)
	})
	t.Run("the newest weights that anybody tells of count, and the list is left as it is", func(t *testing.T) {
		r := one()
		r.SetWeights("m", 3)
		r.SetReport(Report{At: start, Load: deployment.Load{Weights: map[rillreach.ModelID]deployment.WeightVersion{"m": 2}}})
		assert.Equal(t, deployment.WeightVersion(3), r.View(start).Weights["m"])
		assert.Equal(t, deployment.WeightVersion(1), r.Info().Weights["m"])
	})
	t.Run("an old report counts no more", func(t *testing.T) {
		r := one()
		r.SetReport(Report{At: start, Load: deployment.Load{Leaving: true}})
		assert.True(t, r.View(start).Leaving)
		assert.False(t, r.View(start.Add(reportAge)).Leaving)
	})
	t.Run("the time until a scheduled load falls to zero, where it stays until the load ends", func(t *testing.T) {
		r := one()
		assert.False(t, r.View(start).LoadScheduled)
		r.SetReport(Report{At: start, LoadsAt: start.Add(time.Second)})
		assert.True(t, r.View(start).LoadScheduled)
		assert.Equal(t, time.Second, r.View(start).LoadIn)
		assert.Equal(t, 400*time.Millisecond, r.View(start.Add(600*time.Millisecond)).LoadIn)
		assert.True(t, r.View(start.Add(1200*time.Millisecond)).LoadScheduled)
		assert.Zero(t, r.View(start.Add(1200*time.Millisecond)).LoadIn)
		r.SetReport(Report{At: start})
		assert.False(t, r.View(start).LoadScheduled)
	})
	t.Run("a load that an old report tells of is not scheduled", func(t *testing.T) {
		r := one()
		r.SetReport(Report{At: start, LoadsAt: start.Add(time.Hour)})
		assert.False(t, r.View(start.Add(reportAge)).LoadScheduled)
	})
	t.Run("what begins and ends leaves nothing behind", func(t *testing.T) {
		r := one()
		r.Begin(start, 100, 200)
		r.First(start, start, 100)
		r.End(200)
		r.Begin(start, 100, 200)
		r.Drop(start, 100)
		r.End(200)
		v := r.View(start)
		assert.Zero(t, v.Running+v.Reading+v.Held)
	})
}
