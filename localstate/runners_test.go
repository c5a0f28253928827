package localstate

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
)

type runnerUpdate = rillreach.Update[*deployment.Runner]

var errBad = errors.New("bad")

// whole is a record that can be used where the configuration names the service.
func whole(id string, revision uint64, service rillreach.ServiceID) runnerUpdate {
	var port uint16
	for _, c := range id {
		port = 31*port + uint16(c)
	}
	return runnerUpdate{Name: id, Revision: rillreach.Revision{Number: revision}, Value: &deployment.Runner{
		ID: rillreach.InstanceID(id), Revision: rillreach.Revision{Number: revision}, Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port),
	}}
}

func bad(id string, revision uint64) runnerUpdate {
	return runnerUpdate{Name: id, Revision: rillreach.Revision{Number: revision}, Err: errBad}
}

func gone(id string, revision uint64) runnerUpdate {
	return runnerUpdate{Name: id, Revision: rillreach.Revision{Number: revision}, Gone: true}
}

func configNaming(revision uint64, services ...rillreach.ServiceID) *deployment.Config {
	c := &deployment.Config{Revision: rillreach.Revision{Number: revision}, Services: map[rillreach.ServiceID]*deployment.Service{}}
	for _, name := range services {
		c.Services[name] = &deployment.Service{Name: name}
	}
	return c
}

// usable are the runners of the state that requests may go to.
func usable(s *State) map[string]bool {
	all := map[string]bool{}
	for _, r := range s.Roster.All() {
		if !r.View(time.Now()).Leaving {
			all[string(r.Info().ID)] = true
		}
	}
	return all
}

// recorded is a state that counts the lines of its log which hold a text.
func recorded(text string) (*State, *int) {
	lines := 0
	return &State{Log: funcr.New(func(_, args string) {
		if strings.Contains(args, text) {
			lines++
		}
	}, funcr.Options{})}, &lines
}

func TestRecordsThatTurnBad(t *testing.T) {
	t.Run("a runner isn't used while its record is bad, and is again once that is good", func(t *testing.T) {
		s := state()
		s.changeRunner(whole("a", 1, "s"), time.Time{})
		s.changeRunner(whole("b", 2, "s"), time.Time{})
		s.changeRunner(bad("a", 3), time.Time{})
		assert.Equal(t, map[string]bool{"b": true}, usable(s))
		s.changeRunner(whole("a", 4, "s"), time.Time{})
		assert.Equal(t, map[string]bool{"a": true, "b": true}, usable(s))
	})
	t.Run("a list that has it bad takes it out of use at once, also right after the store's return", func(t *testing.T) {
		s := state()
		s.listRunners([]runnerUpdate{whole("a", 1, "s"), whole("b", 2, "s")}, time.Time{})
		s.listRunners([]runnerUpdate{bad("a", 3), whole("b", 2, "s")}, time.Now())
		assert.Equal(t, map[string]bool{"b": true}, usable(s))
	})
	t.Run("one without a name takes no runner out of use", func(t *testing.T) {
		s := state()
		s.changeRunner(whole("a", 1, "s"), time.Time{})
		s.changeRunner(bad("", 2), time.Time{})
		assert.Equal(t, map[string]bool{"a": true}, usable(s))
	})
}

func TestRunnersOfUnknownServices(t *testing.T) {
	const known, unknown = "known", "unknown"
	t.Run("they aren't used until a configuration names the service", func(t *testing.T) {
		s := state()
		s.SetConfig(configNaming(1, known))
		s.changeRunner(whole("a", 2, unknown), time.Time{})
		assert.Empty(t, usable(s))
		s.SetConfig(configNaming(3, known, unknown))
		assert.Equal(t, map[string]bool{"a": true}, usable(s))
	})
	t.Run("those that came before the first configuration are set aside by it", func(t *testing.T) {
		s := state()
		s.listRunners([]runnerUpdate{whole("a", 2, unknown), whole("b", 3, known)}, time.Time{})
		s.SetConfig(configNaming(1, known))
		assert.Equal(t, map[string]bool{"b": true}, usable(s))
	})
	t.Run("they take no address from another", func(t *testing.T) {
		s := state()
		s.SetConfig(configNaming(1, known))
		one, other := whole("a", 2, known), whole("b", 3, unknown)
		other.Value.Address = one.Value.Address
		s.listRunners([]runnerUpdate{one, other}, time.Time{})
		assert.Equal(t, map[string]bool{"a": true}, usable(s))
		assert.Equal(t, rillreach.InstanceID("a"), s.Roster.ByAddress(one.Value.Address).Info().ID)
	})
	t.Run("one that is set aside and goes doesn't come with a configuration", func(t *testing.T) {
		s := state()
		s.SetConfig(configNaming(1, known))
		s.changeRunner(whole("a", 2, unknown), time.Time{})
		s.changeRunner(gone("a", 3), time.Time{})
		s.changeRunner(whole("b", 4, unknown), time.Time{})
		s.listRunners(nil, time.Time{})
		s.SetConfig(configNaming(5, known, unknown))
		assert.Empty(t, usable(s))
	})
	t.Run("what runs where a newer configuration drops the service is still known", func(t *testing.T) {
		s := state()
		s.SetConfig(configNaming(1, known))
		s.changeRunner(whole("a", 2, known), time.Time{})
		s.SetConfig(configNaming(3))
		s.changeRunner(whole("a", 4, known), time.Time{})
		assert.Equal(t, map[string]bool{"a": true}, usable(s))
	})
	t.Run("a runner that moves to an unknown service isn't used", func(t *testing.T) {
		s := state()
		s.SetConfig(configNaming(1, known))
		s.changeRunner(whole("a", 2, known), time.Time{})
		s.changeRunner(whole("a", 3, unknown), time.Time{})
		assert.Empty(t, usable(s))
	})
	t.Run("it's logged once per revision", func(t *testing.T) {
		s, lines := recorded("set-aside")
		s.SetConfig(configNaming(1, known))
		for range 3 {
			s.listRunners([]runnerUpdate{whole("a", 2, unknown)}, time.Time{})
		}
		assert.Equal(t, 1, *lines)
	})
}

// drawUpdate draws a record of one of a few runners, good or not.
func drawUpdate(t *rapid.T, revision uint64) runnerUpdate {
	id := fmt.Sprintf("i-%d", rapid.IntRange(0, 3).Draw(t, "runner"))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return bad(id, revision)
	case 1:
		return bad("", revision)
	case 2:
		return gone(id, revision)
	case 3:
		return whole(id, revision, "unknown")
	default:
		return whole(id, revision, rapid.SampledFrom([]rillreach.ServiceID{"s", "u"}).Draw(t, "service"))
	}
}

// goodOnes are the runners whose newest record is good.
func goodOnes(newest map[string]runnerUpdate) map[string]bool {
	good := map[string]bool{}
	for name, u := range newest {
		if u.Err == nil && !u.Gone && u.Value.Service != "unknown" {
			good[name] = true
		}
	}
	return good
}

// TestOtherWriters: whatever comes in between, and wherever the configuration comes, the runners that are used are those whose newest record
// is good.
func TestOtherWriters(t *testing.T) {
	config := configNaming(1, "s", "u")
	t.Run("in a watch", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			s, newest := state(), map[string]runnerUpdate{}
			events := rapid.IntRange(1, 20).Draw(t, "events")
			configAt := rapid.IntRange(0, events).Draw(t, "config")
			for i := range events {
				if i == configAt {
					s.SetConfig(config)
				}
				u := drawUpdate(t, uint64(i+2))
				s.changeRunner(u, time.Time{})
				newest[u.Name] = u
			}
			s.SetConfig(config)
			assert.Equal(t, goodOnes(newest), usable(s))
		})
	})
	t.Run("in lists", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			s := state()
			var newest map[string]runnerUpdate
			for range rapid.IntRange(1, 4).Draw(t, "lists") {
				newest = drawList(t)
				names := rapid.Permutation(slices.Sorted(maps.Keys(newest))).Draw(t, "order")
				var list []runnerUpdate
				for _, name := range names {
					list = append(list, newest[name])
				}
				s.listRunners(list, time.Time{})
				if rapid.Bool().Draw(t, "config") {
					s.SetConfig(config)
				}
			}
			s.SetConfig(config)
			assert.Equal(t, goodOnes(newest), usable(s))
		})
	})
}

// drawList draws what stands in the store at one moment, by name.
func drawList(t *rapid.T) map[string]runnerUpdate {
	list := map[string]runnerUpdate{}
	for i := range rapid.IntRange(0, 6).Draw(t, "objects") {
		if u := drawUpdate(t, uint64(i+2)); !u.Gone {
			list[u.Name] = u
		}
	}
	return list
}

// gauge is the value that the state gives under the name.
func gauge(t *testing.T, s *State, name string) float64 {
	t.Helper()
	for _, g := range s.Gauges() {
		if g.Name == name {
			return g.Read()
		}
	}
	require.Fail(t, "no such gauge", name)
	return 0
}

func TestUnreadableObjects(t *testing.T) {
	t.Run("each revision is logged once, however often it is listed", func(t *testing.T) {
		s, lines := recorded("object refused")
		for range 3 {
			s.listRunners([]runnerUpdate{bad("a", 1), bad("", 0)}, time.Time{})
		}
		assert.Equal(t, 2, *lines)
		s.changeRunner(bad("a", 2), time.Time{})
		assert.Equal(t, 3, *lines)
	})
	t.Run("a gauge counts those that there are", func(t *testing.T) {
		s := state()
		s.listRunners([]runnerUpdate{bad("a", 1), bad("b", 2), whole("c", 3, "s")}, time.Time{})
		assert.InDelta(t, 2, gauge(t, s, "rillreach.objects.unreadable"), 0)
		s.changeRunner(whole("a", 4, "s"), time.Time{})
		s.changeRunner(gone("b", 5), time.Time{})
		assert.InDelta(t, 0, gauge(t, s, "rillreach.objects.unreadable"), 0)
		s.changeRunner(bad("c", 6), time.Time{})
		assert.InDelta(t, 1, gauge(t, s, "rillreach.objects.unreadable.runners"), 0)
		s.listRunners(nil, time.Time{})
		assert.InDelta(t, 0, gauge(t, s, "rillreach.objects.unreadable"), 0)
	})
	t.Run("a gauge counts the runners of unknown services", func(t *testing.T) {
		s := state()
		s.SetConfig(configNaming(1))
		s.changeRunner(whole("a", 2, "s"), time.Time{})
		assert.InDelta(t, 1, gauge(t, s, "rillreach.runners.unknown_service"), 0)
	})
	t.Run("a bad configuration changes nothing of what is in force, and is logged once", func(t *testing.T) {
		s, lines := recorded("object refused")
		c, ok := s.ConfigFollower(nil, time.Second).(*follow.Controller[*deployment.Config])
		require.True(t, ok)
		inForce := configNaming(1, "s")
		broken := rillreach.Update[*deployment.Config]{Name: "main", Revision: rillreach.Revision{Number: 2}, Err: errBad}
		c.OnListed([]rillreach.Update[*deployment.Config]{{Name: "main", Revision: rillreach.Revision{Number: 1}, Value: inForce}}, time.Time{})
		c.OnChanged(broken, time.Time{})
		c.OnListed([]rillreach.Update[*deployment.Config]{broken}, time.Time{})
		assert.Same(t, inForce, s.Config())
		assert.Equal(t, 1, *lines)
		assert.InDelta(t, 1, gauge(t, s, "rillreach.objects.unreadable.config"), 0)
		c.OnChanged(rillreach.Update[*deployment.Config]{Name: "main", Revision: rillreach.Revision{Number: 3}, Value: configNaming(3, "s")}, time.Time{})
		assert.Equal(t, rillreach.Revision{Number: 3}, s.Config().Revision)
		assert.InDelta(t, 0, gauge(t, s, "rillreach.objects.unreadable.config"), 0)
	})
	t.Run("a bad name of weights changes nothing of what is in force, and is logged once", func(t *testing.T) {
		s, lines := recorded("object refused")
		c, ok := s.WeightsFollower(nil, time.Second).(*follow.Controller[deployment.DesiredWeights])
		require.True(t, ok)
		named := func(revision uint64) rillreach.Update[deployment.DesiredWeights] {
			return rillreach.Update[deployment.DesiredWeights]{
				Name: "m", Revision: rillreach.Revision{Number: revision}, Value: deployment.DesiredWeights{Model: "m", Version: deployment.WeightVersion(revision), Revision: rillreach.Revision{Number: revision}},
			}
		}
		broken := rillreach.Update[deployment.DesiredWeights]{Name: "m", Revision: rillreach.Revision{Number: 2}, Err: errBad}
		c.OnListed([]rillreach.Update[deployment.DesiredWeights]{named(1)}, time.Time{})
		c.OnChanged(broken, time.Time{})
		c.OnListed([]rillreach.Update[deployment.DesiredWeights]{broken}, time.Time{})
		known, _ := s.NamedWeights("m")
		assert.Equal(t, deployment.WeightVersion(1), known.Version)
		assert.Equal(t, 1, *lines)
		assert.InDelta(t, 1, gauge(t, s, "rillreach.objects.unreadable.weights"), 0)
		c.OnChanged(named(3), time.Time{})
		known, _ = s.NamedWeights("m")
		assert.Equal(t, deployment.WeightVersion(3), known.Version)
		assert.InDelta(t, 0, gauge(t, s, "rillreach.objects.unreadable.weights"), 0)
	})
}

// TestLongListIsLoggedShort: the first list of a large fleet costs a process that starts two lines, and not one or two for each runner.
func TestLongListIsLoggedShort(t *testing.T) {
	for runners, lines := range map[int]int{mostLogged: 2 * mostLogged, mostLogged + 1: 2} {
		t.Run(fmt.Sprint(runners, " runners"), func(t *testing.T) {
			logged := 0
			s := &State{Log: funcr.New(func(_, _ string) { logged++ }, funcr.Options{})}
			var all []runnerUpdate
			for i := range runners {
				all = append(all, whole(fmt.Sprint("r", i), uint64(i+1), "s"))
			}
			s.listRunners(all, time.Time{})
			assert.Equal(t, lines, logged)
			assert.Equal(t, runners, s.Roster.Len())
		})
	}
}
