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

var errUnreadable = errors.New("unreadable")

// validUpdate returns a record that can be used if the configuration names its service.
func validUpdate(id string, revision uint64, service rillreach.ServiceID) runnerUpdate {
	var port uint16
	for _, c := range id {
		port = 31*port + uint16(c)
	}
	return runnerUpdate{Name: id, Revision: rillreach.Revision{Number: revision}, Value: &deployment.Runner{
		ID: rillreach.InstanceID(id), Revision: rillreach.Revision{Number: revision}, Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port),
	}}
}

func unreadableUpdate(id string, revision uint64) runnerUpdate {
	return runnerUpdate{Name: id, Revision: rillreach.Revision{Number: revision}, Err: errUnreadable}
}

func goneUpdate(id string, revision uint64) runnerUpdate {
	return runnerUpdate{Name: id, Revision: rillreach.Revision{Number: revision}, Deleted: true}
}

func configNaming(revision uint64, services ...rillreach.ServiceID) *deployment.Config {
	c := &deployment.Config{Revision: rillreach.Revision{Number: revision}, Services: map[rillreach.ServiceID]*deployment.Service{}}
	for _, name := range services {
		c.Services[name] = &deployment.Service{Name: name}
	}
	return c
}

// usable returns the runners that may be sent requests.
func usable(s *State) map[string]bool {
	all := map[string]bool{}
	for _, r := range s.Roster.All() {
		if !r.View(time.Now()).Leaving {
			all[string(r.Info().ID)] = true
		}
	}
	return all
}

// countLines returns a state and the number of its log lines that contain a text.
func countLines(text string) (*State, *int) {
	lines := 0
	return &State{Log: funcr.New(func(_, args string) {
		if strings.Contains(args, text) {
			lines++
		}
	}, funcr.Options{})}, &lines
}

func TestUnreadableRecordDisablesRunner(t *testing.T) {
	t.Run("a runner is not used while its record is unreadable", func(t *testing.T) {
		s := newState()
		s.applyRunnerUpdate(validUpdate("a", 1, "s"), time.Time{})
		s.applyRunnerUpdate(validUpdate("b", 2, "s"), time.Time{})
		s.applyRunnerUpdate(unreadableUpdate("a", 3), time.Time{})
		assert.Equal(t, map[string]bool{"b": true}, usable(s))
		s.applyRunnerUpdate(validUpdate("a", 4, "s"), time.Time{})
		assert.Equal(t, map[string]bool{"a": true, "b": true}, usable(s))
	})
	t.Run("an unreadable record in a list disables the runner at once, also right after an outage of the store", func(t *testing.T) {
		s := newState()
		s.replaceRunners([]runnerUpdate{validUpdate("a", 1, "s"), validUpdate("b", 2, "s")}, time.Time{})
		s.replaceRunners([]runnerUpdate{unreadableUpdate("a", 3), validUpdate("b", 2, "s")}, time.Now())
		assert.Equal(t, map[string]bool{"b": true}, usable(s))
	})
	t.Run("an unreadable record without a name disables no runner", func(t *testing.T) {
		s := newState()
		s.applyRunnerUpdate(validUpdate("a", 1, "s"), time.Time{})
		s.applyRunnerUpdate(unreadableUpdate("", 2), time.Time{})
		assert.Equal(t, map[string]bool{"a": true}, usable(s))
	})
}

func TestRunnersOfUnknownServices(t *testing.T) {
	const known, unknown = "known", "unknown"
	t.Run("they are not used until a configuration names the service", func(t *testing.T) {
		s := newState()
		s.SetConfig(configNaming(1, known))
		s.applyRunnerUpdate(validUpdate("a", 2, unknown), time.Time{})
		assert.Empty(t, usable(s))
		s.SetConfig(configNaming(3, known, unknown))
		assert.Equal(t, map[string]bool{"a": true}, usable(s))
	})
	t.Run("the first configuration sets aside those listed before it", func(t *testing.T) {
		s := newState()
		s.replaceRunners([]runnerUpdate{validUpdate("a", 2, unknown), validUpdate("b", 3, known)}, time.Time{})
		s.SetConfig(configNaming(1, known))
		assert.Equal(t, map[string]bool{"b": true}, usable(s))
	})
	t.Run("they do not take over the address of another runner", func(t *testing.T) {
		s := newState()
		s.SetConfig(configNaming(1, known))
		one, other := validUpdate("a", 2, known), validUpdate("b", 3, unknown)
		other.Value.Address = one.Value.Address
		s.replaceRunners([]runnerUpdate{one, other}, time.Time{})
		assert.Equal(t, map[string]bool{"a": true}, usable(s))
		assert.Equal(t, rillreach.InstanceID("a"), s.Roster.ByAddress(one.Value.Address).Info().ID)
	})
	t.Run("a removed one is not listed when a configuration names the service", func(t *testing.T) {
		s := newState()
		s.SetConfig(configNaming(1, known))
		s.applyRunnerUpdate(validUpdate("a", 2, unknown), time.Time{})
		s.applyRunnerUpdate(goneUpdate("a", 3), time.Time{})
		s.applyRunnerUpdate(validUpdate("b", 4, unknown), time.Time{})
		s.replaceRunners(nil, time.Time{})
		s.SetConfig(configNaming(5, known, unknown))
		assert.Empty(t, usable(s))
	})
	t.Run("a listed runner stays when a newer configuration drops its service", func(t *testing.T) {
		s := newState()
		s.SetConfig(configNaming(1, known))
		s.applyRunnerUpdate(validUpdate("a", 2, known), time.Time{})
		s.SetConfig(configNaming(3))
		s.applyRunnerUpdate(validUpdate("a", 4, known), time.Time{})
		assert.Equal(t, map[string]bool{"a": true}, usable(s))
	})
	t.Run("a runner that moves to an unknown service is not used", func(t *testing.T) {
		s := newState()
		s.SetConfig(configNaming(1, known))
		s.applyRunnerUpdate(validUpdate("a", 2, known), time.Time{})
		s.applyRunnerUpdate(validUpdate("a", 3, unknown), time.Time{})
		assert.Empty(t, usable(s))
	})
	t.Run("each revision is logged once", func(t *testing.T) {
		s, lines := countLines("set-aside")
		s.SetConfig(configNaming(1, known))
		for range 3 {
			s.replaceRunners([]runnerUpdate{validUpdate("a", 2, unknown)}, time.Time{})
		}
		assert.Equal(t, 1, *lines)
	})
}

// drawUpdate draws a record, valid or not, of one of a few runners.
func drawUpdate(t *rapid.T, revision uint64) runnerUpdate {
	id := fmt.Sprintf("i-%d", rapid.IntRange(0, 3).Draw(t, "runner"))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return unreadableUpdate(id, revision)
	case 1:
		return unreadableUpdate("", revision)
	case 2:
		return goneUpdate(id, revision)
	case 3:
		return validUpdate(id, revision, "unknown")
	default:
		return validUpdate(id, revision, rapid.SampledFrom([]rillreach.ServiceID{"s", "u"}).Draw(t, "service"))
	}
}

// validRunners returns the runners whose newest record is valid.
func validRunners(newest map[string]runnerUpdate) map[string]bool {
	good := map[string]bool{}
	for name, u := range newest {
		if u.Err == nil && !u.Deleted && u.Value.Service != "unknown" {
			good[name] = true
		}
	}
	return good
}

// Whatever the order of updates, and whenever the configuration arrives, the runners in use must be those whose
// newest record is valid.
func TestUsableRunnersMatchNewestRecords(t *testing.T) {
	config := configNaming(1, "s", "u")
	t.Run("in a watch", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			s, newest := newState(), map[string]runnerUpdate{}
			events := rapid.IntRange(1, 20).Draw(t, "events")
			configAt := rapid.IntRange(0, events).Draw(t, "config")
			for i := range events {
				if i == configAt {
					s.SetConfig(config)
				}
				u := drawUpdate(t, uint64(i+2))
				s.applyRunnerUpdate(u, time.Time{})
				newest[u.Name] = u
			}
			s.SetConfig(config)
			assert.Equal(t, validRunners(newest), usable(s))
		})
	})
	t.Run("in lists", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			s := newState()
			var newest map[string]runnerUpdate
			for range rapid.IntRange(1, 4).Draw(t, "lists") {
				newest = drawList(t)
				names := rapid.Permutation(slices.Sorted(maps.Keys(newest))).Draw(t, "order")
				var list []runnerUpdate
				for _, name := range names {
					list = append(list, newest[name])
				}
				s.replaceRunners(list, time.Time{})
				if rapid.Bool().Draw(t, "config") {
					s.SetConfig(config)
				}
			}
			s.SetConfig(config)
			assert.Equal(t, validRunners(newest), usable(s))
		})
	})
}

// drawList draws the content of the store at one moment, by name.
func drawList(t *rapid.T) map[string]runnerUpdate {
	list := map[string]runnerUpdate{}
	for i := range rapid.IntRange(0, 6).Draw(t, "objects") {
		if u := drawUpdate(t, uint64(i+2)); !u.Deleted {
			list[u.Name] = u
		}
	}
	return list
}

// gauge returns the value of the gauge with the name.
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
		s, lines := countLines("object refused")
		for range 3 {
			s.replaceRunners([]runnerUpdate{unreadableUpdate("a", 1), unreadableUpdate("", 0)}, time.Time{})
		}
		assert.Equal(t, 2, *lines)
		s.applyRunnerUpdate(unreadableUpdate("a", 2), time.Time{})
		assert.Equal(t, 3, *lines)
	})
	t.Run("a gauge counts the unreadable objects", func(t *testing.T) {
		s := newState()
		s.replaceRunners([]runnerUpdate{unreadableUpdate("a", 1), unreadableUpdate("b", 2), validUpdate("c", 3, "s")}, time.Time{})
		assert.InDelta(t, 2, gauge(t, s, "rillreach.objects.unreadable"), 0)
		s.applyRunnerUpdate(validUpdate("a", 4, "s"), time.Time{})
		s.applyRunnerUpdate(goneUpdate("b", 5), time.Time{})
		assert.InDelta(t, 0, gauge(t, s, "rillreach.objects.unreadable"), 0)
		s.applyRunnerUpdate(unreadableUpdate("c", 6), time.Time{})
		assert.InDelta(t, 1, gauge(t, s, "rillreach.objects.unreadable.runners"), 0)
		s.replaceRunners(nil, time.Time{})
		assert.InDelta(t, 0, gauge(t, s, "rillreach.objects.unreadable"), 0)
	})
	t.Run("a gauge counts the runners of unknown services", func(t *testing.T) {
		s := newState()
		s.SetConfig(configNaming(1))
		s.applyRunnerUpdate(validUpdate("a", 2, "s"), time.Time{})
		assert.InDelta(t, 1, gauge(t, s, "rillreach.runners.unknown_service"), 0)
	})
	t.Run("an unreadable configuration leaves the one in force, and is logged once", func(t *testing.T) {
		s, lines := countLines("object refused")
		c, ok := s.ConfigFollower(nil, time.Second).(*follow.Controller[*deployment.Config])
		require.True(t, ok)
		inForce := configNaming(1, "s")
		broken := rillreach.Update[*deployment.Config]{Name: "main", Revision: rillreach.Revision{Number: 2}, Err: errUnreadable}
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
	t.Run("an unreadable weights object leaves the desired version, and is logged once", func(t *testing.T) {
		s, lines := countLines("object refused")
		c, ok := s.WeightsFollower(nil, time.Second).(*follow.Controller[deployment.DesiredWeights])
		require.True(t, ok)
		desired := func(revision uint64) rillreach.Update[deployment.DesiredWeights] {
			return rillreach.Update[deployment.DesiredWeights]{
				Name: "m", Revision: rillreach.Revision{Number: revision}, Value: deployment.DesiredWeights{Model: "m", Version: deployment.WeightVersion(revision), Revision: rillreach.Revision{Number: revision}},
			}
		}
		broken := rillreach.Update[deployment.DesiredWeights]{Name: "m", Revision: rillreach.Revision{Number: 2}, Err: errUnreadable}
		c.OnListed([]rillreach.Update[deployment.DesiredWeights]{desired(1)}, time.Time{})
		c.OnChanged(broken, time.Time{})
		c.OnListed([]rillreach.Update[deployment.DesiredWeights]{broken}, time.Time{})
		known, _ := s.DesiredWeights("m")
		assert.Equal(t, deployment.WeightVersion(1), known.Version)
		assert.Equal(t, 1, *lines)
		assert.InDelta(t, 1, gauge(t, s, "rillreach.objects.unreadable.weights"), 0)
		c.OnChanged(desired(3), time.Time{})
		known, _ = s.DesiredWeights("m")
		assert.Equal(t, deployment.WeightVersion(3), known.Version)
		assert.InDelta(t, 0, gauge(t, s, "rillreach.objects.unreadable.weights"), 0)
	})
}

// The first list of a large fleet must not cost a starting process one or two log lines for each runner.
func TestLongListLoggedAsSummary(t *testing.T) {
	for runners, lines := range map[int]int{maxLoggedChanges: 2 * maxLoggedChanges, maxLoggedChanges + 1: 2} {
		t.Run(fmt.Sprint(runners, " runners"), func(t *testing.T) {
			logged := 0
			s := &State{Log: funcr.New(func(_, _ string) { logged++ }, funcr.Options{})}
			var all []runnerUpdate
			for i := range runners {
				all = append(all, validUpdate(fmt.Sprint("r", i), uint64(i+1), "s"))
			}
			s.replaceRunners(all, time.Time{})
			assert.Equal(t, lines, logged)
			assert.Equal(t, runners, s.Roster.Len())
		})
	}
}
