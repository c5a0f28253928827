package gateway

import (
	"iter"
	"net/netip"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/cacheindex"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fetch"
	"github.com/rillreach/rillreach/roster"
)

const (
	// fetchBudgetShare is the part of the target latency that fetches may take, bounded by minFetchBudget and
	// maxFetchBudget.
	fetchBudgetShare = 0.4
	minFetchBudget   = 60 * time.Millisecond
	maxFetchBudget   = 400 * time.Millisecond
	// fetchTimeout bounds a fetch once it is decided. A late fetch still saves the runner the prefill, and the agents
	// of the stores wait for longer than this before they free anything.
	fetchTimeout = 1200 * time.Millisecond
)

// promptState is what is known of the cached parts of a prompt, under the salt of one version of the weights.
type promptState struct {
	salt        string
	sharedParts []deployment.Part
	// holders has for each part the number of tokens that each holder has of it. nearestByZone caches the fastest
	// holders of each part by the zone of the fetching runner.
	holders       []map[netip.AddrPort]int
	nearestByZone map[rillreach.ZoneID][][]fetch.Holder
	engine        fetch.Engine
	budget        time.Duration
	// fetchDeadline is when a fetch must have ended, on the runners' clock. Zero means that nothing may be fetched
	// from or saved in a store.
	fetchDeadline time.Time
	// locations has the zones and link properties of the holders.
	locations map[netip.AddrPort]location
}

type location struct {
	zone          rillreach.ZoneID
	isStore       bool
	bitsPerSecond float64
	startDelay    time.Duration
	linkBusy      time.Duration
}

// lookUpPrompt looks up the holders of the shared parts of the request's prompt.
func (g *Gateway) lookUpPrompt(x *exchange, weights deployment.WeightVersion, views []*roster.View, now time.Time) *promptState {
	p := &promptState{
		salt: cacheSalt(x, weights), sharedParts: x.wire.Prompt.SharedParts(), locations: map[netip.AddrPort]location{}, nearestByZone: map[rillreach.ZoneID][][]fetch.Holder{},
	}
	if p.salt == "" {
		return p
	}
	engine := x.service.Engine
	p.engine = fetch.Engine{BytesPerToken: engine.CacheBytesPerToken, BitsPerSecond: engine.LinkBitsPerSecond}
	p.budget = min(max(time.Duration(fetchBudgetShare*float64(x.route.TargetLatency)), minFetchBudget), maxFetchBudget)
	for _, v := range views {
		if !v.Ejected {
			p.locations[v.Address] = location{zone: v.Zone}
		}
	}
	g.addStores(x, p, now)
	for _, part := range p.sharedParts {
		holders := g.cache.index.HoldersAmong(cacheindex.Key{Salt: p.salt, Part: part.ID}, p.addresses(views))
		p.holders = append(p.holders, holders)
	}
	return p
}

// addresses returns the addresses of the given runners and of the usable stores.
func (p *promptState) addresses(views []*roster.View) iter.Seq[netip.AddrPort] {
	return func(yield func(netip.AddrPort) bool) {
		for _, v := range views {
			if !yield(v.Address) {
				return
			}
		}
		for address, loc := range p.locations {
			if loc.isStore && !yield(address) {
				return
			}
		}
	}
}

// addStores adds the locations of the usable stores, and sets the fetch deadline.
func (g *Gateway) addStores(x *exchange, p *promptState, now time.Time) {
	clock, known := g.cache.clock.estimate(now)
	if !known {
		return
	}
	p.fetchDeadline = clock.Add(fetchTimeout)
	for _, s := range x.config.CacheStores() {
		if !g.allowsZone(x, s.Zone) {
			continue
		}
		deadline, linkBusy, ok := g.cache.usable(s.Address, p.salt, now)
		if !ok || deadline.Before(clock.Add(minFetchBudget)) {
			continue
		}
		if deadline.Before(p.fetchDeadline) {
			p.fetchDeadline = deadline
		}
		p.locations[s.Address] = location{zone: s.Zone, isStore: true, bitsPerSecond: s.LinkBitsPerSecond, startDelay: s.TransferStartDelay, linkBusy: linkBusy}
	}
}

// maxNearestHolders is how many holders of a part are considered for one runner: the nearest one, and a second in case
// the runner itself is the nearest.
const maxNearestHolders = 2

// plan returns how the runner would obtain the shared parts. The first home of a conversation is taken to have the parts that
// a store has, since the requests that had them saved ran there; a store is named in case it has evicted them.
func (p *promptState) plan(v *roster.View, firstHome bool) fetch.Plan {
	parts := make([]fetch.Part, len(p.holders))
	nearest := p.nearestTo(v.Zone)
	for i, holders := range p.holders {
		parts[i] = fetch.Part{Tokens: p.sharedParts[i].Tokens, LocalTokens: holders[v.Address], Holders: withoutAddress(nearest[i], v.Address)}
		if firstHome && len(holders) > 0 {
			parts[i].LocalTokens = parts[i].Tokens
		}
	}
	plan := fetch.NewPlan(p.engine, parts, p.budget)
	if len(p.holders) == 0 {
		for _, part := range p.sharedParts {
			plan.PrefillTokens += part.Tokens
		}
	}
	return plan
}

// nearestTo returns the fastest holders of each part for runners in a zone.
func (p *promptState) nearestTo(zone rillreach.ZoneID) [][]fetch.Holder {
	if nearest, known := p.nearestByZone[zone]; known {
		return nearest
	}
	nearest := make([][]fetch.Holder, len(p.holders))
	for i := range p.holders {
		nearest[i] = fetch.FastestHolders(p.engine, p.sharedParts[i].Tokens, p.fetchableFrom(i, zone), maxNearestHolders)
	}
	p.nearestByZone[zone] = nearest
	return nearest
}

// fetchableFrom returns the holders from which a runner in the zone may fetch a part.
func (p *promptState) fetchableFrom(part int, zone rillreach.ZoneID) []fetch.Holder {
	fetchable := make([]fetch.Holder, 0, len(p.holders[part]))
	for address, tokens := range p.holders[part] {
		loc, ok := p.locations[address]
		if !ok {
			continue
		}
		fetchable = append(fetchable, fetch.Holder{
			Address: address, IsStore: loc.isStore, Tokens: tokens, BitsPerSecond: loc.bitsPerSecond, StartDelay: loc.startDelay, LinkBusy: loc.linkBusy,
			OtherZone: loc.zone != zone,
		})
	}
	return fetchable
}

// withoutAddress returns the holders except the one at the address.
func withoutAddress(holders []fetch.Holder, address netip.AddrPort) []fetch.Holder {
	i := slices.IndexFunc(holders, func(h fetch.Holder) bool { return h.Address == address })
	if i < 0 {
		return holders
	}
	return slices.Concat(holders[:i], holders[i+1:])
}

// chooseSaveStores chooses the store in which the runner saves each shared part.
func (g *Gateway) chooseSaveStores(x *exchange, p *promptState, v *roster.View, now time.Time) []netip.AddrPort {
	if p.fetchDeadline.IsZero() {
		return nil
	}
	targets := make([]netip.AddrPort, len(x.wire.Prompt.Parts))
	for i, part := range p.sharedParts {
		key := cacheindex.Key{Salt: p.salt, Part: part.ID}
		stores := g.candidateStores(x, p, v, key, p.holders[i], now)
		targets[i] = fetch.ChooseStore(p.engine, part.Tokens, i == 0, stores)
		if targets[i].IsValid() {
			g.cache.recordSave(key, targets[i], now)
		}
	}
	return targets
}

// candidateStores returns the stores in which the request's parts may be saved.
func (g *Gateway) candidateStores(x *exchange, p *promptState, v *roster.View, key cacheindex.Key, holders map[netip.AddrPort]int, now time.Time) []fetch.Store {
	var stores []fetch.Store
	for _, s := range x.config.CacheStores() {
		loc, ok := p.locations[s.Address]
		if !ok || !loc.isStore {
			continue
		}
		_, holds := holders[s.Address]
		stores = append(stores, fetch.Store{
			Address: s.Address, Capacity: s.CapacityTokens, UsedTokens: g.cache.index.TotalTokens(s.Address), BitsPerSecond: s.LinkBitsPerSecond,
			StartDelay: s.TransferStartDelay, LinkBusy: loc.linkBusy, OtherZone: s.Zone != v.Zone, Holds: holds || g.cache.isSaving(key, s.Address, now),
		})
	}
	return stores
}
