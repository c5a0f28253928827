package roster

import (
	"net/netip"
)

// resettle settles a runner's address once it has left.
func (r *Roster) resettle(runner *Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(runner.Info().Address)
}

// settle decides which run has the address: of several records the one that was written last and whose runner hasn't left. The others'
// runs are over, and their records are left over or another writer's copies, until that one goes, leaves or names another address.
func (r *Roster) settle(address netip.AddrPort) {
	occupant := r.occupant(address)
	for _, runner := range r.byAddress[address] {
		runner.setDisplaced(runner != occupant)
	}
}

// occupant is the runner that has the address, or nil.
func (r *Roster) occupant(address netip.AddrPort) *Runner {
	var occupant *Runner
	for _, runner := range r.byAddress[address] {
		if occupant == nil || before(runner, occupant) {
			occupant = runner
		}
	}
	return occupant
}

// before reports that one runner goes before the other at an address, whichever was heard of first.
func before(one, other *Runner) bool {
	if left := one.left(); left != other.left() {
		return !left
	}
	a, b := one.Info(), other.Info()
	if a.Revision != b.Revision {
		return a.Revision.After(b.Revision)
	}
	return a.ID > b.ID
}
