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
	// careEvery is how often it is looked at who follows which store, and what can be freed.
	careEvery = 200 * time.Millisecond
	// freeMargin is added to the longest fetch before parts are freed.
	freeMargin = 300 * time.Millisecond
	// freeBatch is how many parts one call frees.
	freeBatch = 250
	// listMost is how old an agent's list of runners may be while it speaks for stores: a round of asking for it takes
	// gatherRunners and runnersWait, 11 s. Where the object store is away for longer than the rest, nobody speaks for them.
	listMost = 16 * time.Second
	// takeOver is how long an agent that takes a store over frees nothing: the one before, whose list is older than the
	// change that took the store from it, may speak for the parts until that list is listMost old, and fetches last on.
	takeOver = listMost + bulletin.FetchLease + freeMargin
	// oldMost is how long parts of replaced weights are kept, where runners do not change sooner.
	oldMost = 6 * time.Second
)

// collector is the garbage collector of the stores that are this agent's to look after: it follows them, and frees what was made by weights that are replaced.
// Each store has one such agent, by rank among the listed runners; an agent that takes a store over frees nothing before
// every fetch that another may have allowed has ended.
type collector struct {
	sidecar *Sidecar
	wg      conc.WaitGroup
	// runs are those that may read from stores; only look and what it calls use them.
	runs map[rillreach.InstanceID]*listedRun

	mu     sync.Mutex
	stores map[netip.AddrPort]*kept
}

// kept is one store that this agent looks after.
type kept struct {
	*holder
	stop    context.CancelFunc
	expired holdings.ExpiredSalts
	// readers are those who may still read parts under a expired salt.
	readers map[string]*readers
	// since is when this agent took the store over.
	since time.Time
}

// mayFree reports whether the parts under a salt of replaced weights may be freed now.
func (k *kept) mayFree(salt string, now time.Time) bool {
	told := k.expired.MayFree(salt, now, bulletin.FetchLease+freeMargin)
	return told && now.Sub(k.since) >= takeOver
}

// Name is the controller's name.
func (c *collector) Name() string { return "look-after-stores" }

// Run looks after stores until the context ends.
func (c *collector) Run(ctx context.Context) error {
	pause.Every(ctx, careEvery, c.look)
	c.wg.Wait()
	return nil
}

func (c *collector) look(ctx context.Context) {
	mine := c.mine()
	c.mu.Lock()
	if c.stores == nil {
		c.stores = map[netip.AddrPort]*kept{}
	}
	for place, k := range c.stores {
		if !mine[place] {
			k.stop()
			delete(c.stores, place)
			c.sidecar.Log.Info("store left to another agent", "decision", "leave", "store", place)
		}
	}
	for place := range mine {
		if c.stores[place] == nil {
			c.stores[place] = c.begin(ctx, place)
		}
	}
	c.mu.Unlock()
	c.noteRuns(time.Now())
	for _, k := range c.all() {
		c.free(ctx, k)
	}
}

func (c *collector) begin(ctx context.Context, place netip.AddrPort) *kept {
	c.sidecar.Log.Info("store is this agent's", "decision", "follow", "store", place)
	ctx, stop := context.WithCancel(ctx)
	k := &kept{
		holder: &holder{place: place, store: true, client: platform.NewRunnerClient(place), log: c.sidecar.Log},
		stop:   stop,
		since:  time.Now(),
	}
	c.wg.Go(func() { k.run(ctx) })
	return k
}

// owned are the stores that this agent may speak for.
func (c *collector) owned(now time.Time) []*kept {
	if now.Sub(c.sidecar.state.Roster.CompleteAt()) > listMost {
		return nil // another agent may have them by now
	}
	return c.all()
}

// all are the stores that this agent looks after.
func (c *collector) all() []*kept {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*kept, 0, len(c.stores))
	for _, k := range c.stores {
		all = append(all, k)
	}
	return all
}

// mine are the addresses of the stores whose first rank this agent's runner has.
func (c *collector) mine() map[netip.AddrPort]bool {
	s := c.sidecar
	config, self := s.state.Config(), s.state.Roster.ByAddress(s.Settings.RunnerAddress)
	mine := map[netip.AddrPort]bool{}
	if config == nil || self == nil {
		return mine
	}
	info := self.Info()
	candidates := c.candidates(info.Service)
	for _, store := range config.CacheStores() {
		if store.Managed && first(store.Address, candidates) == info.Address {
			mine[store.Address] = true
		}
	}
	return mine
}

// ownerCandidate is a runner whose agent may own stores.
type ownerCandidate struct {
	address netip.AddrPort
	hash    uint64
}

// candidates are the runners of a service that don't leave, hashed once for all stores.
func (c *collector) candidates(service rillreach.ServiceID) []ownerCandidate {
	group := c.sidecar.state.Roster.ByService(service)
	all := make([]ownerCandidate, 0, len(group))
	for _, r := range group {
		if info := r.Info(); !info.Leaving {
			all = append(all, ownerCandidate{address: info.Address, hash: hash.String(string(info.ID))})
		}
	}
	return all
}

// first is the runner whose agent looks after the store, by rank.
func first(store netip.AddrPort, candidates []ownerCandidate) netip.AddrPort {
	key := hash.String(store.String())
	var best netip.AddrPort
	var most uint64
	for _, c := range candidates {
		if rank := hash.Mix(key, c.hash); !best.IsValid() || rank > most {
			best, most = c.address, rank
		}
	}
	return best
}

// free frees the salts of replaced weights, once entries have been told long enough that they are expired.
func (c *collector) free(ctx context.Context, k *kept) {
	now := time.Now()
	for salt := range k.tracker.TokensBySalt() {
		if !c.replaced(salt, now) || !c.unread(ctx, k, salt, now) {
			continue
		}
		if err := c.freeAll(ctx, k, k.tracker.KeysUnder(salt)); err != nil {
			c.sidecar.Log.Error(err, "parts not freed", "decision", "retry", "store", k.place, "salt", salt)
			continue
		}
		c.sidecar.Log.Info("parts freed", "decision", "free", "store", k.place, "salt", salt)
	}
}

// unread reports that nobody may read the parts under a salt of replaced weights any more: all who fetch have been told for long enough, and
// all runners that may have begun a fetch before go on.
func (c *collector) unread(ctx context.Context, k *kept, text string, now time.Time) bool {
	if k.readers == nil {
		k.readers = map[string]*readers{}
	}
	r := k.readers[text]
	if r == nil {
		r = &readers{}
		r.add(c.runs)
		k.readers[text] = r
	}
	if !k.mayFree(text, now) {
		r.add(c.runs)
		return false
	}
	return r.done(ctx, now, c.runs)
}

func (c *collector) freeAll(ctx context.Context, k *kept, parts []holdings.Key) error {
	for batch := range slices.Chunk(parts, freeBatch) {
		if err := k.free(ctx, batch); err != nil {
			return err
		}
		c.forget(k, batch)
	}
	return nil
}

// forget takes freed parts off at once, so that they are not freed again before the store tells of them.
func (c *collector) forget(k *kept, parts []holdings.Key) {
	changes := make([]holdings.Change, len(parts))
	for i, p := range parts {
		changes[i] = holdings.Change{Key: p}
	}
	k.tracker.Apply(changes)
}

// replaced reports that the weights of a salt are no longer worth keeping parts for: newer ones are named, and two thirds of
// the runners have them, or enough time has passed.
func (c *collector) replaced(text string, now time.Time) bool {
	salt, ok := deployment.ParseSalt(text)
	if !ok {
		return false
	}
	named, since := c.sidecar.state.NamedWeights(salt.Model)
	if salt.Weights >= named.Version {
		return false
	}
	old, all := 0, 0
	for _, r := range c.sidecar.state.Roster.All() {
		loaded, runs := r.Info().Weights[salt.Model]
		if !runs {
			continue
		}
		all++
		if loaded <= salt.Weights {
			old++
		}
	}
	return 3*old <= all || now.Sub(since) > oldMost
}
