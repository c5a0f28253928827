package digest

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/cacheindex"
)

// maxStoreTicks is the number of ticks whose changes of a store are kept. A subscriber that is further behind gets all of
// the store's contents.
const maxStoreTicks = 25

// storeEntry is what a relay knows of one store.
type storeEntry struct {
	// agent is the agent that manages the store: the last one that sent a snapshot.
	agent       rillreach.InstanceID
	zone        rillreach.ZoneID
	clock       int64
	unreachable bool
	// expiringSalts are the salts that any agent has reported as expiring.
	expiringSalts map[string]bool
	held          map[cacheindex.Key]int
	// open are the changes since the last tick, and ended those of the last ticks, oldest first.
	open  []cacheindex.Change
	ended []tickChanges
	// snapshotTick is the tick at which the contents were last replaced, and reportedTick that of the last report of the
	// agent.
	snapshotTick uint64
	reported     bool
	replaced     bool
	reportedTick uint64
}

// tickChanges are the changes of one tick.
type tickChanges struct {
	tick    uint64
	changes []cacheindex.Change
}

// applyStore records an agent's report of a store. Expiring salts count from any agent, all else from the one that manages
// the store.
func (t *Table) applyStore(r StoreReport) {
	if t.stores == nil {
		t.stores = map[netip.AddrPort]*storeEntry{}
	}
	s := t.stores[r.Update.Address]
	if s == nil {
		s = &storeEntry{expiringSalts: map[string]bool{}, held: map[cacheindex.Key]int{}}
		t.stores[r.Update.Address] = s
	}
	for _, salt := range r.Update.ExpiringSalts {
		s.expiringSalts[salt] = true
	}
	if r.Update.Snapshot {
		s.agent, s.zone, s.replaced = r.Agent, r.Zone, true
		clear(s.held)
		s.open, s.ended = nil, nil
	}
	if s.agent != r.Agent {
		return
	}
	s.clock, s.unreachable, s.reported = r.Clock, r.Update.Unreachable, true
	for _, c := range r.Update.Changes {
		if c.Tokens == 0 {
			delete(s.held, c.Key)
		} else {
			s.held[c.Key] = c.Tokens
		}
	}
	s.open = append(s.open, r.Update.Changes...)
}

// endTick assigns the changes since the previous tick to a tick.
func (s *storeEntry) endTick(tick uint64) {
	if s.replaced {
		s.snapshotTick, s.replaced, s.open = tick, false, nil
	}
	if len(s.open) > 0 {
		s.ended = append(s.ended, tickChanges{tick: tick, changes: s.open})
		s.open = nil
	}
	if s.reported {
		s.reportedTick, s.reported = tick, false
	}
	if over := len(s.ended) - maxStoreTicks; over > 0 {
		s.ended = slices.Clone(s.ended[over:])
	}
}

// since returns the report of a store for a subscriber that knows it up to a tick, and whether one is due.
func (s *storeEntry) since(address netip.AddrPort, after, tick uint64) (StoreReport, bool) {
	if s.agent == "" || s.reportedTick <= after {
		return StoreReport{}, false
	}
	r := StoreReport{Agent: s.agent, Zone: s.zone, Clock: s.clock, Update: bulletin.CacheUpdate{
		Address: address, Store: true, Unreachable: s.unreachable, ExpiringSalts: slices.Sorted(maps.Keys(s.expiringSalts)),
	}}
	if r.Update.Snapshot = after < s.snapshotTick || s.lacks(after, tick); r.Update.Snapshot {
		for key, tokens := range s.held {
			r.Update.Changes = append(r.Update.Changes, cacheindex.Change{Key: key, Tokens: tokens})
		}
		return r, true
	}
	for _, t := range s.ended {
		if t.tick > after {
			r.Update.Changes = append(r.Update.Changes, t.changes...)
		}
	}
	return r, len(r.Update.Changes) > 0 || tick%storeTicks == 0 || tick-after > 1
}

// lacks reports whether changes after a tick are no longer kept.
func (s *storeEntry) lacks(after, tick uint64) bool {
	return tick-after > maxStoreTicks && len(s.ended) == maxStoreTicks && s.ended[0].tick > after+1
}
