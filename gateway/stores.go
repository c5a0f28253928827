package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/holdings"
)

const (
	// aliveFor is how old the last word of a store's agent may be while the store is used.
	aliveFor = 1200 * time.Millisecond
	// savingFor is how long a part that was sent to a store counts as on its way there.
	savingFor = 3 * time.Second
	// linkShare is by how much this entry's own moves are multiplied to guess those of all entries on a link.
	linkShare = 2
	// sweepSaves is how many parts on their way are remembered before old ones are looked for.
	sweepSaves = 512
)

// storeBook is what the entry knows of the holders of KV cache.
type storeBook struct {
	index holdings.Index
	clock runnersClock

	mu     sync.Mutex
	stores map[netip.AddrPort]*storeState
	saving map[saveKey]time.Time
}

type saveKey struct {
	key   holdings.Key
	place netip.AddrPort
}

// storeState is what is known of one store.
type storeState struct {
	// agent looks after the store, and saidAt is its last word on the runners' clock, heardAt on ours.
	agent   rillreach.InstanceID
	saidAt  int64
	heardAt time.Time
	down    bool
	// expired are the salts that any agent has called so: of two that believe they look after the store, one may already free
	// what the other, whose list of runners is older, still tells of. Weights that were replaced never come back.
	expired map[string]bool
	// busyUntil is until when the link is taken by moves that this entry knows of or guesses.
	busyUntil time.Time
}

// applyRunner takes over what a run holds, as its agent says.
func (b *storeBook) applyRunner(run rillreach.InstanceRun, h *bulletin.CacheUpdate) {
	b.index.Update(holdings.Update{Address: h.Address, Run: run, Snapshot: h.Snapshot, Changes: h.Changes})
}

// apply takes over what an agent says of a store.
func (b *storeBook) apply(agent rillreach.InstanceID, clock int64, h *bulletin.CacheUpdate, now time.Time) {
	if !b.applyStore(agent, clock, h, now) {
		return
	}
	if h.Snapshot {
		b.index.Replace(h.Address, h.Changes)
		return
	}
	b.index.Apply(h.Address, h.Changes)
}

// applyStore takes over the state of a store; it reports whether the agent is the one that looks after it: the last that
// told everything anew.
func (b *storeBook) applyStore(agent rillreach.InstanceID, clock int64, h *bulletin.CacheUpdate, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stores == nil {
		b.stores = map[netip.AddrPort]*storeState{}
	}
	s := b.stores[h.Address]
	if s == nil {
		s = &storeState{expired: map[string]bool{}}
		b.stores[h.Address] = s
	}
	for _, salt := range h.ExpiringSalts {
		s.expired[salt] = true
	}
	if h.Snapshot {
		s.agent = agent
	}
	if s.agent != agent {
		return false
	}
	s.saidAt, s.heardAt, s.down = clock, now, h.Unreachable
	return true
}

// usable reports whether parts under the salt may be fetched from the store, until when on the runners' clock that must
// have ended, and how long its link is taken.
func (b *storeBook) usable(place netip.AddrPort, salt string, now time.Time) (until time.Time, busy time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stores[place]
	if s == nil || s.down || s.saidAt == 0 || now.Sub(s.heardAt) > aliveFor || s.expired[salt] {
		return time.Time{}, 0, false
	}
	return time.UnixMilli(s.saidAt).Add(bulletin.FetchLease), max(0, s.busyUntil.Sub(now)), true
}

// count is how many stores may be asked now.
func (b *storeBook) count(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.stores {
		if !s.down && now.Sub(s.heardAt) <= aliveFor {
			n++
		}
	}
	return n
}

// book records that a move takes the link of a store.
func (b *storeBook) book(place netip.AddrPort, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stores[place]
	if s == nil {
		return
	}
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(linkShare * took)
}

// isSaving reports whether a part is on its way to a store.
func (b *storeBook) isSaving(key holdings.Key, place netip.AddrPort, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.saving[saveKey{key, place}])
}

// save records that a part is on its way to a store.
func (b *storeBook) save(key holdings.Key, place netip.AddrPort, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saving == nil {
		b.saving = map[saveKey]time.Time{}
	}
	if len(b.saving) > sweepSaves {
		for k, until := range b.saving {
			if now.After(until) {
				delete(b.saving, k)
			}
		}
	}
	b.saving[saveKey{key, place}] = now.Add(savingFor)
}
