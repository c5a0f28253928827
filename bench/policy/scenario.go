package policy

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/route"
)

// Scenario is what happens to the site during a run.
type Scenario struct {
	// Name names it in tables.
	Name     string
	schedule func(*simulation)
}

// Calm is a run in which nothing goes wrong.
func Calm() Scenario {
	return Scenario{Name: "calm", schedule: func(*simulation) {}}
}

// StoreFailure loses one of the stores, and all it held, halfway.
func StoreFailure() Scenario {
	return Scenario{Name: "store dead", schedule: func(s *simulation) {
		s.schedule(s.deployment.Span/2, func() { s.failStore(s.stores[rillreach.SideOld]) })
	}}
}

// failStore loses the first of a side's stores, and with it all state that was spread over it and others.
func (s *simulation) failStore(stores []*store) {
	stores[0].failed = true
	if s.policy.stripeCount() == 1 {
		return
	}
	for _, st := range stores[1:] {
		st.memory, st.disk = newLRU(st.memory.capacity), newLRU(st.disk.capacity)
	}
}

// SlowLinks has the links to the stores carry a tenth from halfway on.
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

// RunnerFailures loses a third of the runners halfway.
func RunnerFailures() Scenario {
	return Scenario{Name: "a hall gone", schedule: func(s *simulation) {
		s.schedule(s.deployment.Span/2, func() {
			for i, r := range s.runners[rillreach.SideOld] {
				r.failed = r.failed || i%3 == 0
			}
		})
	}}
}

const shiftSteps = 10

// Shift moves all weight from the old side to the new in ten steps, with or without copying state ahead.
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

// copyAhead copies a conversation's state to the other side, behind everything that callers wait for; it counts as
// there once the link between the sides has carried it.
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

// Scenarios are all of them.
func Scenarios() []Scenario {
	return []Scenario{Calm(), StoreFailure(), SlowLinks(), RunnerFailures(), Shift(false), Shift(true)}
}
