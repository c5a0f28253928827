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

// StoreDead loses one of the stores, and all it held, halfway.
func StoreDead() Scenario {
	return Scenario{Name: "store dead", schedule: func(s *simulation) {
		s.after(s.deployment.Span/2, func() { s.loseStore(s.stores[rillreach.SideOld]) })
	}}
}

// loseStore loses the first of a side's stores, and with it all state that was spread over it and others.
func (s *simulation) loseStore(stores []*store) {
	stores[0].dead = true
	if s.policy.stripes() == 1 {
		return
	}
	for _, st := range stores[1:] {
		st.memory, st.disk = newLRU(st.memory.capacity), newLRU(st.disk.capacity)
	}
}

// SlowLink has the links to the stores carry a tenth from halfway on.
func SlowLink() Scenario {
	return Scenario{Name: "links at a tenth", schedule: func(s *simulation) {
		s.after(s.deployment.Span/2, func() {
			for _, st := range s.stores[rillreach.SideOld] {
				st.link.advance(s.now)
				st.link.rate /= 10
			}
		})
	}}
}

// HallGone loses a third of the runners halfway.
func HallGone() Scenario {
	return Scenario{Name: "a hall gone", schedule: func(s *simulation) {
		s.after(s.deployment.Span/2, func() {
			for i, r := range s.runners[rillreach.SideOld] {
				r.gone = r.gone || i%3 == 0
			}
		})
	}}
}

const shiftSteps = 10

// Shift moves all weight from the old side to the new in ten steps, with or without copying state ahead.
func Shift(ahead bool) Scenario {
	name := "shift"
	if ahead {
		name = "shift, copied ahead"
	}
	return Scenario{Name: name, schedule: func(s *simulation) {
		for step := 1; step <= shiftSteps; step++ {
			at := s.deployment.Span * time.Duration(step) / (shiftSteps + 2)
			s.after(at, func() { s.shift(step*rillreach.TotalWeight/shiftSteps, ahead) })
		}
	}}
}

func (s *simulation) shift(toNew int, ahead bool) {
	before := s.weights
	s.weights = rillreach.Weights{Old: rillreach.TotalWeight - toNew, New: toNew}
	if !ahead {
		return
	}
	var moved []prompt
	for _, p := range s.seen {
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
	kept, _ := s.heldOn(rillreach.SideOld, p)
	if kept == 0 {
		return
	}
	bytes := float64(kept) * bytesPerToken
	s.cross.carryLater(s.now, bytes)
	done := s.now + seconds((s.cross.urgent+s.cross.later)/s.cross.rate)
	s.after(done, func() {
		if held, _ := s.heldOn(rillreach.SideNew, p); held >= kept {
			return
		}
		targets := s.storesOf(rillreach.SideNew, p)
		for _, target := range targets {
			target.link.carryLater(s.now, bytes/float64(len(targets)))
			target.put(p.conversation, kept/len(targets))
		}
	})
}

// Scenarios are all of them.
func Scenarios() []Scenario {
	return []Scenario{Calm(), StoreDead(), SlowLink(), HallGone(), Shift(false), Shift(true)}
}
