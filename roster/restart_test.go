package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

const (
	earlier = rillreach.Generation(100)
	later   = rillreach.Generation(200)
)

// runOf is the record of a run of the runner "a".
func runOf(generation rillreach.Generation) deployment.Runner {
	i := info("a")
	i.Generation = generation
	return i
}

// word is one way in which a process hears of a run.
type word func(r *Roster, generation rillreach.Generation) []Change

var words = map[string]word{
	"the store's watch": func(r *Roster, g rillreach.Generation) []Change { return r.Put(runOf(g)) },
	"the store's list": func(r *Roster, g rillreach.Generation) []Change {
		return r.Replace(start, []deployment.Runner{runOf(g)}, time.Time{})
	},
	"the runner itself": func(r *Roster, g rillreach.Generation) []Change {
		_, changes := r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: g})
		return changes
	},
}

// used has an earlier run listed, of which much is believed.
func used() (*Roster, *Runner) {
	r := &Roster{}
	r.Put(runOf(earlier))
	one := r.Find("a")
	one.BeginRequest(start, 100, 200)
	one.Eject(start)
	one.RecordFailure(start)
	one.MarkLeaving()
	one.SetWeights("m", 7)
	one.SetReport(Report{ReceivedAt: start, Load: deployment.Load{Waiting: 5, LoadingWeights: true}})
	return r, one
}

func isOver(r *Runner) bool {
	select {
	case <-r.Ended():
		return true
	default:
		return false
	}
}

// assertFresh asserts that nothing is believed of the listed run.
func assertFresh(t *testing.T, r *Roster, generation rillreach.Generation) {
	t.Helper()
	one := r.Find("a")
	require.NotNil(t, one)
	v := one.View(start)
	assert.Equal(t, generation, v.Generation)
	assert.Zero(t, v.RunningRequests+v.PrefillTokens+v.KVTokens+v.UnreportedKVTokens+v.UnreportedPrefillTokens)
	assert.Zero(t, v.Load)
	assert.Zero(t, v.FailureRate)
	assert.Zero(t, v.ExpectedWait)
	assert.False(t, v.ReportFresh)
	assert.False(t, v.Ejected)
	assert.False(t, v.Leaving)
	assert.Equal(t, deployment.WeightVersion(1), v.Weights["m"], "it has what its record says, not what an earlier run answered with")
	assert.Equal(t, []*Runner{one}, r.ByService("s"))
	assert.Same(t, one, r.ByAddress(info("a").Address))
}

func TestRestart(t *testing.T) {
	for name, hear := range words {
		t.Run("a later run takes the earlier one's place at the word of "+name, func(t *testing.T) {
			r, old := used()
			changes := hear(r, later)
			require.Len(t, changes, 1)
			assert.Equal(t, EventRestarted, changes[0].Event)
			assert.True(t, isOver(old))
			assert.True(t, old.View(start).Leaving)
			assertFresh(t, r, later)
			assert.False(t, isOver(r.Find("a")))
		})
		t.Run("one that is heard of twice does nothing the second time at the word of "+name, func(t *testing.T) {
			r, _ := used()
			hear(r, later)
			one := r.Find("a")
			one.BeginRequest(start, 1, 2)
			for _, again := range words {
				for _, c := range again(r, later) {
					assert.Equal(t, EventChanged, c.Event)
				}
			}
			assert.Same(t, one, r.Find("a"))
			assert.Equal(t, 1, one.View(start).RunningRequests)
		})
		t.Run("an earlier one is late and changes nothing at the word of "+name, func(t *testing.T) {
			r, _ := used()
			r.Put(runOf(later))
			one := r.Find("a")
			assert.Empty(t, hear(r, earlier))
			assert.Same(t, one, r.Find("a"))
			assertFresh(t, r, later)
		})
		t.Run("an unknown start is no new one at the word of "+name, func(t *testing.T) {
			r, old := used()
			hear(r, 0)
			assert.Same(t, old, r.Find("a"))
			assert.Equal(t, earlier, old.Info().Generation)
			assert.False(t, isOver(old))
		})
		t.Run("nor is one that becomes known at the word of "+name, func(t *testing.T) {
			r := &Roster{}
			r.Put(runOf(0))
			one := r.Find("a")
			hear(r, earlier)
			assert.Same(t, one, r.Find("a"))
			assert.Equal(t, earlier, one.Info().Generation)
			assert.False(t, isOver(one))
		})
	}
}

func TestRestartOfOneThatIsNotListed(t *testing.T) {
	t.Run("a later run that is listed after the earlier one was removed is a new start", func(t *testing.T) {
		r, _ := used()
		r.Remove(start, "a", time.Time{})
		changes := r.Put(runOf(later))
		assert.Equal(t, EventRestarted, changes[0].Event)
		assertFresh(t, r, later)
	})
	t.Run("the same run that is listed again is none", func(t *testing.T) {
		r, _ := used()
		r.Remove(start, "a", time.Time{})
		assert.Equal(t, EventAdded, r.Put(runOf(earlier))[0].Event)
	})
	t.Run("an earlier run than was known is not listed", func(t *testing.T) {
		r, _ := used()
		r.Put(runOf(later))
		r.Remove(start, "a", time.Time{})
		assert.Empty(t, r.Put(runOf(earlier)))
		assert.Nil(t, r.Find("a"))
	})
	t.Run("a run that nobody has listed is not known by its own word", func(t *testing.T) {
		var r Roster
		one, changes := r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: later})
		assert.Nil(t, one)
		assert.Empty(t, changes)
	})
	t.Run("a new start of a runner whose record has lapsed leaves it doubtful", func(t *testing.T) {
		r, _ := used()
		back := start.Add(time.Second)
		r.Remove(start, "a", back)
		r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: later})
		assert.Len(t, r.Expire(back.Add(time.Millisecond)), 1)
	})
	t.Run("a record of an earlier run still says that the runner is listed", func(t *testing.T) {
		r, _ := used()
		back := start.Add(time.Second)
		r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: later})
		r.Remove(start, "a", back)
		r.Put(runOf(earlier))
		assert.Empty(t, r.Expire(back.Add(time.Millisecond)))
	})
}

func TestObserve(t *testing.T) {
	r, old := used()
	one, _ := r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: earlier})
	assert.Same(t, old, one)
	one, _ = r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: later})
	assert.Same(t, r.Find("a"), one)
	one, _ = r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: earlier})
	assert.Nil(t, one, "what an earlier run says is late")
}

func TestOver(t *testing.T) {
	t.Run("a run whose address another record names gets nothing new, and may go on", func(t *testing.T) {
		r := &Roster{}
		r.Put(runOf(earlier))
		other := info("b")
		other.Revision = rillreach.Revision{Number: 9}
		r.Put(other)
		assert.True(t, r.Find("a").View(start).Leaving)
		assert.False(t, isOver(r.Find("a")))
	})
	t.Run("one that is no longer listed may go on until it has drained", func(t *testing.T) {
		r, old := used()
		r.Remove(start, "a", time.Time{})
		assert.False(t, isOver(old))
	})
	t.Run("a later run at another address leaves nothing at the earlier one's", func(t *testing.T) {
		r, _ := used()
		moved := runOf(later)
		moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
		r.Put(moved)
		assert.Nil(t, r.ByAddress(info("a").Address))
		assert.Equal(t, later, r.ByAddress(moved.Address).Info().Generation)
	})
}
