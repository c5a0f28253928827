package holdings

import (
	"net/netip"
	"sync"

	"github.com/rillreach/rillreach"
)

// Index is what an entry knows of all holders; its zero value is empty.
type Index struct {
	mu      sync.RWMutex
	byKey   map[Key]map[netip.AddrPort]int
	byPlace map[netip.AddrPort]map[Key]int
	total   map[netip.AddrPort]int
	// runs are the latest runs of runners that are known by address.
	runs map[netip.AddrPort]rillreach.InstanceRun
}

// Replace sets everything that the holder at the address holds.
func (x *Index) Replace(place netip.AddrPort, all []Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(place)
	x.apply(place, all)
}

// Apply takes changes of one holder over.
func (x *Index) Apply(place netip.AddrPort, changes []Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.apply(place, changes)
}

// Forget drops all that is known of a holder.
func (x *Index) Forget(place netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(place)
}

// Update is what one run of a runner tells that it holds.
type Update struct {
	Address netip.AddrPort
	Run     rillreach.InstanceRun
	// Snapshot says that the changes are everything that is held.
	Snapshot bool
	Changes  []Change
}

// Update takes over what a run holds. What an earlier run than the latest one tells is late and changes nothing.
func (x *Index) Update(u Update) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.renew(u.Address, u.Run) {
		return
	}
	if u.Snapshot {
		x.forget(u.Address)
	}
	x.apply(u.Address, u.Changes)
}

// ObserveRun drops what runs before this one held at the address.
func (x *Index) ObserveRun(place netip.AddrPort, run rillreach.InstanceRun) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.renew(place, run)
}

// renew notes which run is at the address, and forgets what another one held there; it reports whether the run is the latest.
func (x *Index) renew(place netip.AddrPort, run rillreach.InstanceRun) bool {
	known, ok := x.runs[place]
	if known.Supersedes(run) {
		return false
	}
	if run.Supersedes(known) || ok && run.ID != known.ID {
		x.forget(place)
	}
	if x.runs == nil {
		x.runs = map[netip.AddrPort]rillreach.InstanceRun{}
	}
	if run.ID != known.ID || run.Generation != 0 {
		x.runs[place] = run
	}
	return true
}

// Holders returns how many tokens of a part each holder has.
func (x *Index) Holders(key Key) map[netip.AddrPort]int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	holders := make(map[netip.AddrPort]int, len(x.byKey[key]))
	for place, tokens := range x.byKey[key] {
		holders[place] = tokens
	}
	return holders
}

// TotalTokens is how many tokens a holder has altogether.
func (x *Index) TotalTokens(place netip.AddrPort) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.total[place]
}

func (x *Index) apply(place netip.AddrPort, changes []Change) {
	if x.byKey == nil {
		x.byKey, x.byPlace, x.total = map[Key]map[netip.AddrPort]int{}, map[netip.AddrPort]map[Key]int{}, map[netip.AddrPort]int{}
	}
	held := x.byPlace[place]
	if held == nil {
		held = map[Key]int{}
		x.byPlace[place] = held
	}
	for _, c := range changes {
		x.total[place] += c.Tokens - held[c.Key]
		if c.Tokens == 0 {
			delete(held, c.Key)
			x.drop(place, c.Key)
			continue
		}
		held[c.Key] = c.Tokens
		if x.byKey[c.Key] == nil {
			x.byKey[c.Key] = map[netip.AddrPort]int{}
		}
		x.byKey[c.Key][place] = c.Tokens
	}
}

func (x *Index) forget(place netip.AddrPort) {
	for key := range x.byPlace[place] {
		x.drop(place, key)
	}
	delete(x.byPlace, place)
	delete(x.total, place)
}

func (x *Index) drop(place netip.AddrPort, key Key) {
	delete(x.byKey[key], place)
	if len(x.byKey[key]) == 0 {
		delete(x.byKey, key)
	}
}
