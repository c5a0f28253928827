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
	// storeReportTTL is how old the last word of a store's agent may be while the store is used.
	storeReportTTL = 1200 * time.Millisecond
	// saveTimeout is how long a part that was sent to a store counts as on its way there.
	saveTimeout = 3 * time.Second
	// linkUseFactor is by how much this entry's own moves are multiplied to guess those of all entries on a link.
	linkUseFactor = 2
	// saveSweepSize is how many parts on their way are remembered before old ones are looked for.
	saveSweepSize = 512
)

// cacheState is what the entry knows of the holders of KV cache.
type cacheState struct {
	index holdings.Index
	clock runnerClock

	mu     sync.Mutex
	stores map[netip.AddrPort]*storeState
	saving map[saveKey]time.Time
}

type saveKey struct {
	key   holdings.Key
	store netip.AddrPort
}

// storeState is what is known of one store.
type storeState struct {
	// agent looks after the store, and saidAt is its last word on the runners' clock, heardAt on ours.
	agent       rillreach.InstanceID
	reportedAt  int64
	receivedAt  time.Time
	unreachable bool
	// expiredSalts are the salts that any agent has called so: of two that believe they look after the store, one may already free
	// what the other, whose list of runners is older, still tells of. Weights that were replaced never come back.
	expiredSalts map[string]bool
	// linkBusyUntil is until when the link is taken by moves that this entry knows of or guesses.
	linkBusyUntil time.Time
}

// applyRunnerUpdate takes over what a run holds, as its agent says.
func (b *cacheState) applyRunnerUpdate(run rillreach.InstanceRun, h *bulletin.CacheUpdate) {
	b.index.Update(holdings.Update{Address: h.Address, Run: run, Snapshot: h.Snapshot, Changes: h.Changes})
}

// applyStoreUpdate takes over what an agent says of a store.
func (b *cacheState) applyStoreUpdate(agent rillreach.InstanceID, clock int64, h *bulletin.CacheUpdate, now time.Time) {
	if !b.updateStore(agent, clock, h, now) {
		return
	}
	if h.Snapshot {
		b.index.Replace(h.Address, h.Changes)
		return
	}
	b.index.Apply(h.Address, h.Changes)
}

// updateStore takes over the state of a store; it reports whether the agent is the one that looks after it: the last that
// told everything anew.
func (b *cacheState) updateStore(agent rillreach.InstanceID, clock int64, h *bulletin.CacheUpdate, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stores == nil {
		b.stores = map[netip.AddrPort]*storeState{}
	}
	s := b.stores[h.Address]
	if s == nil {
		s = &storeState{expiredSalts: map[string]bool{}}
		b.stores[h.Address] = s
	}
	for _, salt := range h.ExpiringSalts {
		s.expiredSalts[salt] = true
	}
	if h.Snapshot {
		s.agent = agent
	}
	if s.agent != agent {
		return false
	}
	s.reportedAt, s.receivedAt, s.unreachable = clock, now, h.Unreachable
	return true
}

// usable reports whether parts under the salt may be fetched from the store, until when on the runners' clock that must
// have ended, and how long its link is taken.
func (b *cacheState) usable(place netip.AddrPort, salt string, now time.Time) (until time.Time, busy time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stores[place]
	if s == nil || s.unreachable || s.reportedAt == 0 || now.Sub(s.receivedAt) > storeReportTTL || s.expiredSalts[salt] {
		return time.Time{}, 0, false
	}
	return time.UnixMilli(s.reportedAt).Add(bulletin.FetchLease), max(0, s.linkBusyUntil.Sub(now)), true
}

// usableStores is how many stores may be asked now.
func (b *cacheState) usableStores(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.stores {
		if !s.unreachable && now.Sub(s.receivedAt) <= storeReportTTL {
			n++
		}
	}
	return n
}

// reserveLink records that a move takes the link of a store.
func (b *cacheState) reserveLink(place netip.AddrPort, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stores[place]
	if s == nil {
		return
	}
	if s.linkBusyUntil.Before(now) {
		s.linkBusyUntil = now
	}
	s.linkBusyUntil = s.linkBusyUntil.Add(linkUseFactor * took)
}

// isSaving reports whether a part is on its way to a store.
func (b *cacheState) isSaving(key holdings.Key, place netip.AddrPort, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.saving[saveKey{key, place}])
}

// recordSave records that a part is on its way to a store.
func (b *cacheState) recordSave(key holdings.Key, place netip.AddrPort, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saving == nil {
		b.saving = map[saveKey]time.Time{}
	}
	if len(b.saving) > saveSweepSize {
		for k, until := range b.saving {
			if now.After(until) {
				delete(b.saving, k)
			}
		}
	}
	b.saving[saveKey{key, place}] = now.Add(saveTimeout)
}
