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
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/platform"
)

const (
	// collectInterval is how often it is looked at who follows which store, and what can be freed.
	collectInterval = 200 * time.Millisecond
	// freeMargin is added to the longest fetch before parts are freed.
	freeMargin = 300 * time.Millisecond
	// freeBatchSize is how many parts one call frees.
	freeBatchSize = 250
	// maxListAge is how old an agent's list of runners may be while it speaks for stores: a round of asking for it takes
	// gatherRunners and runnersWait, 11 s. Where the object store is away for longer than the rest, nobody speaks for them.
	maxListAge = 16 * time.Second
	// takeoverDelay is how long an agent that takes a store over frees nothing: the one before, whose list is older than the
	// change that took the store from it, may speak for the parts until that list is listMost old, and fetches last on.
	takeoverDelay = maxListAge + bulletin.FetchLease + freeMargin
	// maxReplacedAge is how long parts of replaced weights are kept, where runners do not change sooner.
	maxReplacedAge = 6 * time.Second
)

// collector is the garbage collector of the stores that are this agent's to look after: it follows them, and frees what was made by weights that are replaced.
// Each store has one such agent, by rank among the listed runners; an agent that takes a store over frees nothing before
// every fetch that another may have allowed has ended.
type collector struct {
	sidecar *Sidecar
	wg      conc.WaitGroup
	// engineRuns are those that may read from stores; only look and what it calls use them.
	engineRuns map[rillreach.InstanceID]*listedRun

	mu     sync.Mutex
	stores map[netip.AddrPort]*ownedStore
}

// ownedStore is one store that this agent looks after.
type ownedStore struct {
	*holder
	stop         context.CancelFunc
	expiredSalts holdings.ExpiredSalts
	// readers are those who may still read parts under a expired salt.
	readers map[string]*pendingReaders
	// takenOverAt is when this agent took the store over.
	takenOverAt time.Time
}

// mayFree reports whether the parts under a salt of replaced weights may be freed now.
func (s *ownedStore) mayFree(salt string, now time.Time) bool {
	announced := s.expiredSalts.MayFree(salt, now, bulletin.FetchLease+freeMargin)
	return announced && now.Sub(s.takenOverAt) >= takeoverDelay
}

// Name is the controller's name.
func (c *collector) Name() string { return "look-after-stores" }

// Run looks after stores until the context ends.
func (c *collector) Run(ctx context.Context) error {
	pause.Every(ctx, collectInterval, c.reconcile)
	c.wg.Wait()
	return nil
}

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

func (c *collector) takeStore(ctx context.Context, address netip.AddrPort) *ownedStore {
	c.sidecar.Log.Info("store is this agent's", "decision", "follow", "store", address)
	ctx, stop := context.WithCancel(ctx)
	store := &ownedStore{
		holder:      &holder{address: address, store: true, client: platform.NewRunner(address), log: c.sidecar.Log},
		stop:        stop,
		takenOverAt: time.Now(),
	}
	c.wg.Go(func() { store.run(ctx) })
	return store
}

// reportableStores are the stores that this agent may speak for.
func (c *collector) reportableStores(now time.Time) []*ownedStore {
	if now.Sub(c.sidecar.state.Roster.CompleteAt()) > maxListAge {
		return nil // another agent may have them by now
	}
	return c.ownedStores()
}

// ownedStores are the stores that this agent looks after.
func (c *collector) ownedStores() []*ownedStore {
	c.mu.Lock()
	defer c.mu.Unlock()
	stores := make([]*ownedStore, 0, len(c.stores))
	for _, store := range c.stores {
		stores = append(stores, store)
	}
	return stores
}

// ownedAddresses are the addresses of the stores whose first rank this agent's runner has.
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

// ownerCandidate is a runner whose agent may own stores.
type ownerCandidate struct {
	address netip.AddrPort
	hash    uint64
}

// ownerCandidates are the runners of a service that don't leave, hashed once for all stores.
func (c *collector) ownerCandidates(service rillreach.ServiceID) []ownerCandidate {
	group := c.sidecar.state.Roster.ByService(service)
	candidates := make([]ownerCandidate, 0, len(group))
	for _, r := range group {
		if info := r.Info(); !info.Leaving {
			candidates = append(candidates, ownerCandidate{address: info.Address, hash: hash.String(string(info.ID))})
		}
	}
	return candidates
}

// ownerOf is the runner whose agent looks after the store, by rank.
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

// freeObsolete frees the salts of replaced weights, once entries have been told long enough that they are expired.
func (c *collector) freeObsolete(ctx context.Context, store *ownedStore) {
	now := time.Now()
	for salt := range store.tracker.TokensBySalt() {
		if !c.obsolete(salt, now) || !c.readersDone(ctx, store, salt, now) {
			continue
		}
		if err := c.freeParts(ctx, store, store.tracker.KeysUnder(salt)); err != nil {
			c.sidecar.Log.Error(err, "parts not freed", "decision", "retry", "store", store.address, "salt", salt)
			continue
		}
		c.sidecar.Log.Info("parts freed", "decision", "free", "store", store.address, "salt", salt)
	}
}

// readersDone reports that nobody may read the parts under a salt of replaced weights any more: all who fetch have been told for long enough, and
// all runners that may have begun a fetch before go on.
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
	if !store.mayFree(salt, now) {
		readers.add(c.engineRuns)
		return false
	}
	return readers.poll(ctx, now, c.engineRuns)
}

func (c *collector) freeParts(ctx context.Context, store *ownedStore, parts []holdings.Key) error {
	for batch := range slices.Chunk(parts, freeBatchSize) {
		if err := store.free(ctx, batch); err != nil {
			return err
		}
		c.forgetParts(store, batch)
	}
	return nil
}

// forgetParts takes freed parts off at once, so that they are not freed again before the store tells of them.
func (c *collector) forgetParts(store *ownedStore, parts []holdings.Key) {
	changes := make([]holdings.Change, len(parts))
	for i, p := range parts {
		changes[i] = holdings.Change{Key: p}
	}
	store.tracker.Apply(changes)
}

// obsolete reports that the weights of a salt are no longer worth keeping parts for: newer ones are named, and two thirds of
// the runners have them, or enough time has passed.
func (c *collector) obsolete(saltText string, now time.Time) bool {
	salt, ok := deployment.ParseSalt(saltText)
	if !ok {
		return false
	}
	named, since := c.sidecar.state.NamedWeights(salt.Model)
	if salt.Weights >= named.Version {
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
