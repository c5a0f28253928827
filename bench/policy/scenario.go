package policy

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/route"
)

// Scenario is a sequence of events that affect the site during a run.
type Scenario struct {
	// Name is the name used in tables.
	Name     string
	schedule func(*simulation)
}

// Calm is a run without faults.
func Calm() Scenario {
	return Scenario{Name: "calm", schedule: func(*simulation) {}}
}

// StoreFailure is the failure of one store, with everything in it, halfway through the run.
func StoreFailure() Scenario {
	return Scenario{Name: "store dead", schedule: func(s *simulation) {
		s.schedule(s.deployment.Span/2, func() { s.failStore(s.stores[rillreach.SideOld]) })
	}}
}

// failStore fails the first of the given stores. With striping, this also loses all state in the others, since state
// is unusable without all its stripes.
func (s *simulation) failStore(stores []*store) {
	stores[0].failed = true
	if s.policy.stripeCount() == 1 {
		return
	}
	for _, st := range stores[1:] {
		st.memory, st.disk = newLRU(st.memory.capacity), newLRU(st.disk.capacity)
	}
}

// SlowLinks reduces the rate of the stores' links to a tenth halfway through the run.
func SlowLinks() Scenario {
	return Scenario{Name: "links at a tenth", schedule: func(s *simulation) {
		s.schedule(s.deployment.Span/2, func() {
			for _, st := range s.stores[rillreach.SideOld] {
				st.link.advance(s.now)
				st.link.rate /= 10
			}
		})
	}}
}

// RunnerFailures is the failure of a third of the runners halfway through the run.
func RunnerFailures() Scenario {
	return Scenario{Name: "a hall gone", schedule: func(s *simulation) {
		s.schedule(s.deployment.Span/2, func() {
			for i, r := range s.runners[rillreach.SideOld] {
				r.failed = r.failed || i%3 == 0
			}
		})
	}}
}

// shiftSteps is the number of steps in which Shift moves the weight.
const shiftSteps = 10

// Shift moves all weight from the old side to the new one in ten steps, with or without copying state in advance.
func Shift(copyAhead bool) Scenario {
	name := "shift"
	if copyAhead {
		name = "shift, copied ahead"
	}
	return Scenario{Name: name, schedule: func(s *simulation) {
		for step := 1; step <= shiftSteps; step++ {
			at := s.deployment.Span * time.Duration(step) / (shiftSteps + 2)
			s.schedule(at, func() { s.shift(step*rillreach.TotalWeight/shiftSteps, copyAhead) })
		}
	}}
}

// shift sets the weight of the new side. With copyAhead, it copies the state of all conversations that change sides,
// the most recently seen first.
func (s *simulation) shift(newWeight int, copyAhead bool) {
	before := s.weights
	s.weights = rillreach.Weights{Old: rillreach.TotalWeight - newWeight, New: newWeight}
	if !copyAhead {
		return
	}
	var moved []prompt
	for _, p := range s.lastPrompts {
		if route.Side(before, p.hash) != route.Side(s.weights, p.hash) {
			moved = append(moved, p)
		}
	}
	slices.SortFunc(moved, func(a, b prompt) int {
		return int(s.lastSeen[b.conversation]-s.lastSeen[a.conversation]) + a.conversation - b.conversation
	})
	for _, p := range moved {
		s.copyAhead(p)
	}
}

// copyAhead copies a conversation's state to the other side as background traffic. The copy is available once the link
// between the sides has sent it.
func (s *simulation) copyAhead(p prompt) {
	stored, _ := s.storedOnSide(rillreach.SideOld, p)
	if stored == 0 {
		return
	}
	bytes := float64(stored) * bytesPerToken
	s.crossSideLink.sendBackground(s.now, bytes)
	done := s.now + seconds((s.crossSideLink.urgentBytes+s.crossSideLink.backgroundBytes)/s.crossSideLink.rate)
	s.schedule(done, func() {
		if existing, _ := s.storedOnSide(rillreach.SideNew, p); existing >= stored {
			return
		}
		targets := s.storesFor(rillreach.SideNew, p)
		for _, target := range targets {
			target.link.sendBackground(s.now, bytes/float64(len(targets)))
			target.put(p.conversation, stored/len(targets))
		}
	})
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Calm(), StoreFailure(), SlowLinks(), RunnerFailures(), Shift(false), Shift(true)}
}
