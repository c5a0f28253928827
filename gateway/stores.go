package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/cacheindex"
)

const (
	// storeReportTTL is how old the last report of a store's agent may be while the store is used.
	storeReportTTL = 1200 * time.Millisecond
	// saveTimeout is how long the save of a part to a store is taken to be in progress.
	saveTimeout = 3 * time.Second
	// linkUseFactor multiplies this entry's own transfers on a link to estimate those of all entries.
	linkUseFactor = 2
	// saveSweepSize is the number of saves above which expired ones are removed.
	saveSweepSize = 512
)

// cacheState is what the entry knows of the holders of KV cache.
type cacheState struct {
	index cacheindex.Index
	clock runnerClock

	mu     sync.Mutex
	stores map[netip.AddrPort]*storeState
	saving map[saveKey]time.Time
}

type saveKey struct {
	key   cacheindex.Key
	store netip.AddrPort
}

// storeState is what the entry knows of one store.
type storeState struct {
	// agent is the agent that is responsible for the store. reportedAt is when it sent its last report on the runners'
	// clock, in milliseconds, and receivedAt when the report arrived on this entry's clock.
	agent       rillreach.InstanceID
	reportedAt  int64
	receivedAt  time.Time
	unreachable bool
	// expiredSalts are the salts that any agent has reported as expiring. If two agents both believe that they are
	// responsible for the store, one may already free parts that the other, whose list of runners is older, still
	// reports. Replaced weights never come back, so salts are never removed.
	expiredSalts map[string]bool
	// linkBusyUntil is the estimated end of the transfers on the store's link.
	linkBusyUntil time.Time
}

// applyRunnerUpdate applies an agent's report of what a run holds.
func (c *cacheState) applyRunnerUpdate(run rillreach.InstanceRun, update *bulletin.CacheUpdate) {
	c.index.Update(cacheindex.Update{Address: update.Address, Run: run, Snapshot: update.Snapshot, Changes: update.Changes})
}

// applyStoreUpdate applies an agent's report of a store. Changes count only from the agent that is responsible for it.
func (c *cacheState) applyStoreUpdate(agent rillreach.InstanceID, clock int64, update *bulletin.CacheUpdate, now time.Time) {
	if !c.updateStore(agent, clock, update, now) {
		return
	}
	if update.Snapshot {
		c.index.Replace(update.Address, update.Changes)
		return
	}
	c.index.Apply(update.Address, update.Changes)
}

// updateStore updates the state of a store, and reports whether the agent is the responsible one: the last that sent a
// snapshot.
func (c *cacheState) updateStore(agent rillreach.InstanceID, clock int64, update *bulletin.CacheUpdate, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stores == nil {
		c.stores = map[netip.AddrPort]*storeState{}
	}
	s := c.stores[update.Address]
	if s == nil {
		s = &storeState{expiredSalts: map[string]bool{}}
		c.stores[update.Address] = s
	}
	for _, salt := range update.ExpiringSalts {
		s.expiredSalts[salt] = true
	}
	if update.Snapshot {
		s.agent = agent
	}
	if s.agent != agent {
		return false
	}
	s.reportedAt, s.receivedAt, s.unreachable = clock, now, update.Unreachable
	return true
}

// usable reports whether parts under the salt may be fetched from the store. It also returns the time on the runners'
// clock by which such a fetch must have ended, and how long the store's link is busy.
func (c *cacheState) usable(store netip.AddrPort, salt string, now time.Time) (deadline time.Time, busy time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stores[store]
	if s == nil || s.unreachable || s.reportedAt == 0 || now.Sub(s.receivedAt) > storeReportTTL || s.expiredSalts[salt] {
		return time.Time{}, 0, false
	}
	return time.UnixMilli(s.reportedAt).Add(bulletin.FetchLease), max(0, s.linkBusyUntil.Sub(now)), true
}

// usableStores returns the number of stores that may be used now.
func (c *cacheState) usableStores(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.stores {
		if !s.unreachable && now.Sub(s.receivedAt) <= storeReportTTL {
			n++
		}
	}
	return n
}

// reserveLink records that a transfer takes the link of a store for the given time.
func (c *cacheState) reserveLink(store netip.AddrPort, duration time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stores[store]
	if s == nil {
		return
	}
	if s.linkBusyUntil.Before(now) {
		s.linkBusyUntil = now
	}
	s.linkBusyUntil = s.linkBusyUntil.Add(linkUseFactor * duration)
}

// isSaving reports whether a part is being saved to a store.
func (c *cacheState) isSaving(key cacheindex.Key, store netip.AddrPort, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.saving[saveKey{key, store}])
}

// recordSave records that a part is being saved to a store.
func (c *cacheState) recordSave(key cacheindex.Key, store netip.AddrPort, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.saving == nil {
		c.saving = map[saveKey]time.Time{}
	}
	if len(c.saving) > saveSweepSize {
		for k, until := range c.saving {
			if now.After(until) {
				delete(c.saving, k)
			}
		}
	}
	c.saving[saveKey{key, store}] = now.Add(saveTimeout)
}
