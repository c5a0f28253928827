package roster

import (
	"net/netip"
)

// resolveAddressOf resolves the address of a runner that has been marked as leaving.
func (r *Roster) resolveAddressOf(runner *Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resolveAddress(runner.Info().Address)
}

// resolveAddress decides which runner owns an address that several records name, and marks the others as
// displaced. Their records are leftovers of runs that have ended, or were copied by another writer. A displaced
// runner gets the address back once the owner's record is removed, leaves or names another address.
func (r *Roster) resolveAddress(address netip.AddrPort) {
	owner := r.addressOwner(address)
	for _, runner := range r.byAddress[address] {
		runner.setDisplaced(runner != owner)
	}
}

// addressOwner returns the runner that owns the address, or nil if no record names it. Runners that are not leaving
// precede leaving ones; among these, the one whose record was written last does.
func (r *Roster) addressOwner(address netip.AddrPort) *Runner {
	var owner *Runner
	for _, runner := range r.byAddress[address] {
		if owner == nil || precedes(runner, owner) {
			owner = runner
		}
	}
	return owner
}

// precedes reports whether one runner has priority over the other at an address. The result does not depend on the
// order in which their records arrived.
func precedes(one, other *Runner) bool {
	if leaving := one.markedLeaving(); leaving != other.markedLeaving() {
		return !leaving
	}
	a, b := one.Info(), other.Info()
	if a.Revision != b.Revision {
		return a.Revision.After(b.Revision)
	}
	return a.ID > b.ID
}
