package sidecar

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/cacheindex"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/platform"
)

const (
	// collectInterval is how often the agent checks which stores it owns and what can be freed.
	collectInterval = 200 * time.Millisecond
	// freeMargin is a safety margin on top of the longest fetch before parts are freed.
	freeMargin = 300 * time.Millisecond
	// freeBatchSize is the number of parts that one call frees.
	freeBatchSize = 250
	// maxListAge is the greatest age of the list of runners at which an agent still reports on stores. A cycle of
	// watching the list takes up to runnersCoalesceDelay plus runnersWatchTimeout, that is, 11 s. While the object
	// store is unavailable for longer than the remaining 5 s, no agent reports on stores.
	maxListAge = 16 * time.Second
	// takeoverDelay is how long an agent frees nothing after it has taken over a store. The previous owner may not yet
	// have seen the change of the list that moved the store, and reports the parts as alive until its list is
	// maxListAge old. Fetches that it allowed may run for bulletin.FetchLease longer.
	takeoverDelay = maxListAge + bulletin.FetchLease + freeMargin
	// maxReplacedAge is the longest time that parts of replaced weights are kept. They are freed earlier once most
	// runners have loaded newer weights.
	maxReplacedAge = 6 * time.Second
)

// collector is the garbage collector of the cache stores that this agent owns. It follows their contents and frees the
// parts that were computed with replaced weights. Each store is owned by one agent, chosen by rendezvous hashing over
// the listed runners. An agent that takes over a store frees nothing until every fetch that the previous owner may have
// allowed has ended.
type collector struct {
	sidecar *Sidecar
	wg      conc.WaitGroup
	// engineRuns are the runs of engines that may read from stores. Only reconcile and its callees use the map, so it
	// needs no lock.
	engineRuns map[rillreach.InstanceID]*listedRun

	mu     sync.Mutex
	stores map[netip.AddrPort]*ownedStore
}

// ownedStore is a cache store that this agent owns.
type ownedStore struct {
	*holder
	stop         context.CancelFunc
	expiredSalts cacheindex.ExpiredSalts
	// readers are the engine runs that may still read parts under an expired salt, by salt.
	readers map[string]*pendingReaders
	// takenOverAt is when this agent became the owner.
	takenOverAt time.Time
}

// mayFree reports whether every fetch of parts under an expired salt has had time to end, both since the expiry was
// first announced and since the takeover. Lists of runners may be older than they seem by the given lag.
func (s *ownedStore) mayFree(salt string, now time.Time, listLag time.Duration) bool {
	announced := s.expiredSalts.MayFree(salt, now, bulletin.FetchLease+freeMargin)
	return announced && now.Sub(s.takenOverAt) >= takeoverDelay+listLag
}

// Name returns the controller's name.
func (c *collector) Name() string { return "look-after-stores" }

// Run collects garbage until the context is cancelled.
func (c *collector) Run(ctx context.Context) error {
	pause.Every(ctx, collectInterval, c.reconcile)
	c.wg.Wait()
	return nil
}

// reconcile takes over and gives up stores as their owners change, and then frees obsolete parts.
func (c *collector) reconcile(ctx context.Context) {
	owned := c.ownedAddresses()
	c.mu.Lock()
	if c.stores == nil {
		c.stores = map[netip.AddrPort]*ownedStore{}
	}
	for address, store := range c.stores {
		if !owned[address] {
			store.stop()
			delete(c.stores, address)
			c.sidecar.Log.Info("store left to another agent", "decision", "leave", "store", address)
		}
	}
	for address := range owned {
		if c.stores[address] == nil {
			c.stores[address] = c.takeStore(ctx, address)
		}
	}
	c.mu.Unlock()
	c.updateEngineRuns(time.Now())
	for _, store := range c.ownedStores() {
		c.freeObsolete(ctx, store)
	}
}

// takeStore starts to follow a store that this agent now owns.
func (c *collector) takeStore(ctx context.Context, address netip.AddrPort) *ownedStore {
	c.sidecar.Log.Info("store is this agent's", "decision", "follow", "store", address)
	ctx, stop := context.WithCancel(ctx)
	store := &ownedStore{
		holder:      &holder{address: address, store: true, client: platform.NewRunnerClient(address), log: c.sidecar.Log},
		stop:        stop,
		takenOverAt: time.Now(),
	}
	c.wg.Go(func() { store.run(ctx) })
	return store
}

// reportableStores returns the stores that this agent may report on.
func (c *collector) reportableStores(now time.Time) []*ownedStore {
	if now.Sub(c.sidecar.state.Roster.CompleteAt()) > maxListAge {
		return nil // another agent may own them by now
	}
	return c.ownedStores()
}

// ownedStores returns the stores that this agent owns.
func (c *collector) ownedStores() []*ownedStore {
	c.mu.Lock()
	defer c.mu.Unlock()
	stores := make([]*ownedStore, 0, len(c.stores))
	for _, store := range c.stores {
		stores = append(stores, store)
	}
	return stores
}

// ownedAddresses returns the addresses of the managed stores for which this agent's runner ranks highest.
func (c *collector) ownedAddresses() map[netip.AddrPort]bool {
	s := c.sidecar
	config, self := s.state.Config(), s.state.Roster.ByAddress(s.Settings.RunnerAddress)
	owned := map[netip.AddrPort]bool{}
	if config == nil || self == nil {
		return owned
	}
	info := self.Info()
	candidates := c.ownerCandidates(info.Service)
	for _, store := range config.CacheStores() {
		if store.Managed && ownerOf(store.Address, candidates) == info.Address {
			owned[store.Address] = true
		}
	}
	return owned
}

// ownerCandidate is a runner whose agent may own stores, with the hash of the runner's identifier.
type ownerCandidate struct {
	address netip.AddrPort
	hash    uint64
}

// ownerCandidates returns the runners of a service that are not leaving. Their hashes are computed once for all stores.
func (c *collector) ownerCandidates(service rillreach.ServiceID) []ownerCandidate {
	runners := c.sidecar.state.Roster.ByService(service)
	candidates := make([]ownerCandidate, 0, len(runners))
	for _, r := range runners {
		if info := r.Info(); !info.Leaving {
			candidates = append(candidates, ownerCandidate{address: info.Address, hash: hash.String(string(info.ID))})
		}
	}
	return candidates
}

// ownerOf returns the address of the runner whose agent owns the store, by rendezvous hashing.
func ownerOf(store netip.AddrPort, candidates []ownerCandidate) netip.AddrPort {
	storeHash := hash.String(store.String())
	var owner netip.AddrPort
	var maxRank uint64
	for _, c := range candidates {
		if rank := hash.Mix(storeHash, c.hash); !owner.IsValid() || rank > maxRank {
			owner, maxRank = c.address, rank
		}
	}
	return owner
}

// freeObsolete frees the parts under obsolete salts once no runner should be reading them any more.
func (c *collector) freeObsolete(ctx context.Context, store *ownedStore) {
	now := time.Now()
	for salt := range store.tracker.TokensBySalt() {
		if !c.obsolete(salt, now) || !c.readersDone(ctx, store, salt, now) {
			continue
		}
		if err := c.freeParts(ctx, store, store.tracker.KeysUnder(salt)); err != nil {
			c.sidecar.Log.Error(err, "failed to free parts", "decision", "retry", "store", store.address, "salt", salt)
			continue
		}
		c.sidecar.Log.Info("parts freed", "decision", "free", "store", store.address, "salt", salt)
	}
}

// readersDone reports whether no runner should be reading the parts under an expired salt any more: the expiry was
// announced long enough ago, and since then every runner that may have started a fetch before has responded, ended or
// exceeded readerTimeout. The first call announces the expiry.
func (c *collector) readersDone(ctx context.Context, store *ownedStore, salt string, now time.Time) bool {
	if store.readers == nil {
		store.readers = map[string]*pendingReaders{}
	}
	readers := store.readers[salt]
	if readers == nil {
		readers = &pendingReaders{}
		readers.add(c.engineRuns)
		store.readers[salt] = readers
	}
	if !store.mayFree(salt, now, c.listLag()) {
		readers.add(c.engineRuns)
		return false
	}
	return readers.poll(ctx, now, c.engineRuns)
}

// listLag returns by how much the list of runners may be older than it seems: an agent that follows a relay counts its
// age from the relay's confirmation.
func (c *collector) listLag() time.Duration {
	if !c.sidecar.relayed() {
		return 0
	}
	return c.sidecar.Replica.MaxAge
}

// freeParts frees parts of a store in batches.
func (c *collector) freeParts(ctx context.Context, store *ownedStore, parts []cacheindex.Key) error {
	for batch := range slices.Chunk(parts, freeBatchSize) {
		if err := store.free(ctx, batch); err != nil {
			return err
		}
		c.forgetParts(store, batch)
	}
	return nil
}

// forgetParts removes freed parts from the tracker at once, so that they are not freed again before the store's events
// report them as gone.
func (c *collector) forgetParts(store *ownedStore, parts []cacheindex.Key) {
	changes := make([]cacheindex.Change, len(parts))
	for i, p := range parts {
		changes[i] = cacheindex.Change{Key: p}
	}
	store.tracker.Apply(changes)
}

// obsolete reports whether the parts under a salt are no longer worth keeping: newer weights are desired, and either
// two thirds of the model's runners have loaded weights newer than the salt's, or the desired ones were requested more
// than maxReplacedAge ago.
func (c *collector) obsolete(saltText string, now time.Time) bool {
	salt, ok := deployment.ParseSalt(saltText)
	if !ok {
		return false
	}
	desired, since := c.sidecar.state.DesiredWeights(salt.Model)
	if salt.Weights >= desired.Version {
		return false
	}
	outdated, total := 0, 0
	for _, r := range c.sidecar.state.Roster.All() {
		loaded, ok := r.Info().Weights[salt.Model]
		if !ok {
			continue
		}
		total++
		if loaded <= salt.Weights {
			outdated++
		}
	}
	return 3*outdated <= total || now.Sub(since) > maxReplacedAge
}
