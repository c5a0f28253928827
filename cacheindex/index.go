package cacheindex

import (
	"iter"
	"net/netip"
	"sync"

	"github.com/rillreach/rillreach"
)

// Index records which parts each holder has, by part and by holder. A holder is identified by its address. The zero
// value is empty and ready to use.
type Index struct {
	mu       sync.RWMutex
	byKey    map[Key]map[netip.AddrPort]int
	byHolder map[netip.AddrPort]map[Key]int
	totals   map[netip.AddrPort]int
	// runs holds the latest known run of the runner at each address.
	runs map[netip.AddrPort]rillreach.InstanceRun
}

// Replace sets all parts that a holder has.
func (x *Index) Replace(holder netip.AddrPort, all []Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(holder)
	x.apply(holder, all)
}

// Apply applies changes at one holder.
func (x *Index) Apply(holder netip.AddrPort, changes []Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.apply(holder, changes)
}

// Forget removes a holder with all its parts.
func (x *Index) Forget(holder netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(holder)
}

// Update reports what one run of a runner holds.
type Update struct {
	Address netip.AddrPort
	Run     rillreach.InstanceRun
	// Snapshot means that Changes lists every part the run holds.
	Snapshot bool
	Changes  []Change
}

// Update applies a report of what a run holds. A report of an earlier run than the latest known one is ignored.
func (x *Index) Update(u Update) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.observeRun(u.Address, u.Run) {
		return
	}
	if u.Snapshot {
		x.forget(u.Address)
	}
	x.apply(u.Address, u.Changes)
}

// ObserveRun records the run that is at an address and removes the parts that another run held there, unless a later
// run is already known. A run of the same instance without a generation counts as the known run.
func (x *Index) ObserveRun(holder netip.AddrPort, run rillreach.InstanceRun) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.observeRun(holder, run)
}

// observeRun records which run is at the address and removes the parts of any other run there. It returns false if a
// later run is already known.
func (x *Index) observeRun(holder netip.AddrPort, run rillreach.InstanceRun) bool {
	known, ok := x.runs[holder]
	if known.Supersedes(run) {
		return false
	}
	if run.Supersedes(known) || ok && run.ID != known.ID {
		x.forget(holder)
	}
	if x.runs == nil {
		x.runs = map[netip.AddrPort]rillreach.InstanceRun{}
	}
	if run.ID != known.ID || run.Generation != 0 {
		x.runs[holder] = run
	}
	return true
}

// Holders returns the number of tokens of a part that each holder has.
func (x *Index) Holders(key Key) map[netip.AddrPort]int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	holders := make(map[netip.AddrPort]int, len(x.byKey[key]))
	for holder, tokens := range x.byKey[key] {
		holders[holder] = tokens
	}
	return holders
}

// HoldersAmong returns the number of tokens of a part that each of the given holders has. Those that have none are left
// out.
func (x *Index) HoldersAmong(key Key, among iter.Seq[netip.AddrPort]) map[netip.AddrPort]int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	all, holders := x.byKey[key], map[netip.AddrPort]int{}
	for holder := range among {
		if tokens := all[holder]; tokens > 0 {
			holders[holder] = tokens
		}
	}
	return holders
}

// TotalTokens returns the number of tokens that a holder has across all parts.
func (x *Index) TotalTokens(holder netip.AddrPort) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.totals[holder]
}

func (x *Index) apply(holder netip.AddrPort, changes []Change) {
	if x.byKey == nil {
		x.byKey, x.byHolder, x.totals = map[Key]map[netip.AddrPort]int{}, map[netip.AddrPort]map[Key]int{}, map[netip.AddrPort]int{}
	}
	held := x.byHolder[holder]
	if held == nil {
		held = map[Key]int{}
		x.byHolder[holder] = held
	}
	for _, c := range changes {
		x.totals[holder] += c.Tokens - held[c.Key]
		if c.Tokens == 0 {
			delete(held, c.Key)
			x.removeHolder(holder, c.Key)
			continue
		}
		held[c.Key] = c.Tokens
		if x.byKey[c.Key] == nil {
			x.byKey[c.Key] = map[netip.AddrPort]int{}
		}
		x.byKey[c.Key][holder] = c.Tokens
	}
}

func (x *Index) forget(holder netip.AddrPort) {
	for key := range x.byHolder[holder] {
		x.removeHolder(holder, key)
	}
	delete(x.byHolder, holder)
	delete(x.totals, holder)
}

// removeHolder removes a holder of one part.
func (x *Index) removeHolder(holder netip.AddrPort, key Key) {
	delete(x.byKey[key], holder)
	if len(x.byKey[key]) == 0 {
		delete(x.byKey, key)
	}
}
