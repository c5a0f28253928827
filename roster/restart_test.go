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

// runOf returns the record of a run of the runner "a".
func runOf(generation rillreach.Generation) deployment.Runner {
	i := info("a")
	i.Generation = generation
	return i
}

// runSource is one way in which a process learns of a run.
type runSource func(r *Roster, generation rillreach.Generation) []Change

var runSources = map[string]runSource{
	"a watch of the store": func(r *Roster, g rillreach.Generation) []Change { return r.Put(runOf(g)) },
	"a list of the store": func(r *Roster, g rillreach.Generation) []Change {
		return r.Replace(start, []deployment.Runner{runOf(g)}, time.Time{})
	},
	"the runner itself": func(r *Roster, g rillreach.Generation) []Change {
		_, changes := r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: g})
		return changes
	},
}

// usedRunner returns a roster with an earlier run about which much has been recorded.
func usedRunner() (*Roster, *Runner) {
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

func hasEnded(r *Runner) bool {
	select {
	case <-r.Ended():
		return true
	default:
		return false
	}
}

// assertNoStaleState asserts that nothing recorded about an earlier run is applied to the listed one.
func assertNoStaleState(t *testing.T, r *Roster, generation rillreach.Generation) {
	t.Helper()
	one := r.Find("a")
	require.NotNil(t, one)
	v := one.View(start)
	assert.Equal(t, generation, v.Generation)
	assert.Zero(t, v.RunningRequests+v.QueuedPrefillTokens+v.UsedTokens+v.UnreportedUsedTokens+v.UnreportedPrefillTokens)
	assert.Zero(t, v.Load)
	assert.Zero(t, v.FailureRate)
	assert.Zero(t, v.ExpectedWait)
	assert.False(t, v.ReportFresh)
	assert.False(t, v.Ejected)
	assert.False(t, v.Leaving)
	assert.Equal(t, deployment.WeightVersion(1), v.Weights["m"], "the weights are those of the record, not those that responses of an earlier run named")
	assert.Equal(t, []*Runner{one}, r.ByService("s"))
	assert.Same(t, one, r.ByAddress(info("a").Address))
}

func TestLaterRunReplacesEarlier(t *testing.T) {
	for name, report := range runSources {
		t.Run("a later run replaces the earlier one, reported by "+name, func(t *testing.T) {
			r, old := usedRunner()
			changes := report(r, later)
			require.Len(t, changes, 1)
			assert.Equal(t, EventRestarted, changes[0].Event)
			assert.True(t, hasEnded(old))
			assert.True(t, old.View(start).Leaving)
			assertNoStaleState(t, r, later)
			assert.False(t, hasEnded(r.Find("a")))
		})
		t.Run("reporting the same run again has no effect, first reported by "+name, func(t *testing.T) {
			r, _ := usedRunner()
			report(r, later)
			one := r.Find("a")
			one.BeginRequest(start, 1, 2)
			for _, reportAgain := range runSources {
				for _, c := range reportAgain(r, later) {
					assert.Equal(t, EventChanged, c.Event)
				}
			}
			assert.Same(t, one, r.Find("a"))
			assert.Equal(t, 1, one.View(start).RunningRequests)
		})
		t.Run("an earlier run changes nothing, reported by "+name, func(t *testing.T) {
			r, _ := usedRunner()
			r.Put(runOf(later))
			one := r.Find("a")
			assert.Empty(t, report(r, earlier))
			assert.Same(t, one, r.Find("a"))
			assertNoStaleState(t, r, later)
		})
		t.Run("an unknown generation is not a restart, reported by "+name, func(t *testing.T) {
			r, old := usedRunner()
			report(r, 0)
			assert.Same(t, old, r.Find("a"))
			assert.Equal(t, earlier, old.Info().Generation)
			assert.False(t, hasEnded(old))
		})
		t.Run("a generation that becomes known is not a restart, reported by "+name, func(t *testing.T) {
			r := &Roster{}
			r.Put(runOf(0))
			one := r.Find("a")
			report(r, earlier)
			assert.Same(t, one, r.Find("a"))
			assert.Equal(t, earlier, one.Info().Generation)
			assert.False(t, hasEnded(one))
		})
	}
}

func TestRestartOfUnlistedRunner(t *testing.T) {
	t.Run("a later run that is listed after the earlier one was removed is a restart", func(t *testing.T) {
		r, _ := usedRunner()
		r.Remove(start, "a", time.Time{})
		changes := r.Put(runOf(later))
		assert.Equal(t, EventRestarted, changes[0].Event)
		assertNoStaleState(t, r, later)
	})
	t.Run("the same run that is listed again is not a restart", func(t *testing.T) {
		r, _ := usedRunner()
		r.Remove(start, "a", time.Time{})
		assert.Equal(t, EventAdded, r.Put(runOf(earlier))[0].Event)
	})
	t.Run("an earlier run than the known one is not listed", func(t *testing.T) {
		r, _ := usedRunner()
		r.Put(runOf(later))
		r.Remove(start, "a", time.Time{})
		assert.Empty(t, r.Put(runOf(earlier)))
		assert.Nil(t, r.Find("a"))
	})
	t.Run("a run of an unlisted runner is ignored", func(t *testing.T) {
		var r Roster
		one, changes := r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: later})
		assert.Nil(t, one)
		assert.Empty(t, changes)
	})
	t.Run("a restart keeps the scheduled removal of a runner that is no longer listed", func(t *testing.T) {
		r, _ := usedRunner()
		removeAt := start.Add(time.Second)
		r.Remove(start, "a", removeAt)
		r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: later})
		assert.Len(t, r.Expire(removeAt.Add(time.Millisecond)), 1)
	})
	t.Run("a record of an earlier run cancels the scheduled removal", func(t *testing.T) {
		r, _ := usedRunner()
		removeAt := start.Add(time.Second)
		r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: later})
		r.Remove(start, "a", removeAt)
		r.Put(runOf(earlier))
		assert.Empty(t, r.Expire(removeAt.Add(time.Millisecond)))
	})
}

func TestObserveRunReturnsLatest(t *testing.T) {
	r, old := usedRunner()
	one, _ := r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: earlier})
	assert.Same(t, old, one)
	one, _ = r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: later})
	assert.Same(t, r.Find("a"), one)
	one, _ = r.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: earlier})
	assert.Nil(t, one, "the observation of an earlier run is outdated")
}

func TestRunEndedOnlyByLaterRun(t *testing.T) {
	t.Run("a run whose address another record names gets no new requests, but has not ended", func(t *testing.T) {
		r := &Roster{}
		r.Put(runOf(earlier))
		other := info("b")
		other.Revision = rillreach.Revision{Number: 9}
		r.Put(other)
		assert.True(t, r.Find("a").View(start).Leaving)
		assert.False(t, hasEnded(r.Find("a")))
	})
	t.Run("a run that is no longer listed has not ended, since it may still drain", func(t *testing.T) {
		r, old := usedRunner()
		r.Remove(start, "a", time.Time{})
		assert.False(t, hasEnded(old))
	})
	t.Run("a later run at another address frees the earlier address", func(t *testing.T) {
		r, _ := usedRunner()
		moved := runOf(later)
		moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
		r.Put(moved)
		assert.Nil(t, r.ByAddress(info("a").Address))
		assert.Equal(t, later, r.ByAddress(moved.Address).Info().Generation)
	})
}
