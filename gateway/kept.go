package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fetch"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/roster"
)

const (
	// fetchBudgetShare is the part of the target that a fetch may take, leastFetch and mostFetch bound it.
	fetchBudgetShare = 0.4
	minFetchBudget   = 60 * time.Millisecond
	maxFetchBudget   = 400 * time.Millisecond
	// fetchTimeout bounds a fetch once it is decided: a late one still spares the runner the reading, and the stores' agents
	// wait for longer than that before they free anything.
	fetchTimeout = 1200 * time.Millisecond
)

// promptState is what is known of the kept parts of one prompt, under the salt of one version of weights.
type promptState struct {
	salt        string
	sharedParts []deployment.Part
	// holders are how many tokens of each part each holder has, near those that may be asked for a part, by the zone of who asks.
	holders       []map[netip.AddrPort]int
	nearestByZone map[rillreach.ZoneID][][]fetch.Holder
	engine        fetch.Engine
	budget        time.Duration
	// fetchDeadline bounds the fetch on the runners' clock; zero means that nothing may be fetched from a store.
	fetchDeadline time.Time
	// locations are the zones and rates of the holders.
	locations map[netip.AddrPort]location
}

type location struct {
	zone          rillreach.ZoneID
	isStore       bool
	bitsPerSecond float64
	startDelay    time.Duration
	linkBusy      time.Duration
}

// lookUpPrompt looks up who holds the shared parts of the request's prompt.
func (g *Gateway) lookUpPrompt(x *exchange, weights deployment.WeightVersion, views []*roster.View, now time.Time) *promptState {
	p := &promptState{
		salt: salt(x, weights), sharedParts: x.wire.Prompt.SharedParts(), locations: map[netip.AddrPort]location{}, nearestByZone: map[rillreach.ZoneID][][]fetch.Holder{},
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
		holders := g.cache.index.Holders(holdings.Key{Salt: p.salt, Part: part.ID})
		p.holders = append(p.holders, holders)
	}
	return p
}

// addStores adds the stores that may be asked, and bounds the fetch.
func (g *Gateway) addStores(x *exchange, p *promptState, now time.Time) {
	clock, known := g.cache.clock.estimate(now)
	if !known {
		return
	}
	p.fetchDeadline = clock.Add(fetchTimeout)
	for _, s := range x.config.CacheStores() {
		if !g.allows(x, s.Zone) {
			continue
		}
		until, busy, ok := g.cache.usable(s.Address, p.salt, now)
		if !ok || until.Before(clock.Add(minFetchBudget)) {
			continue
		}
		if until.Before(p.fetchDeadline) {
			p.fetchDeadline = until
		}
		p.locations[s.Address] = location{zone: s.Zone, isStore: true, bitsPerSecond: s.LinkBitsPerSecond, startDelay: s.TransferStartDelay, linkBusy: busy}
	}
}

// maxNearestHolders is how many holders of a part are looked at for one runner: the nearest, and another where the runner is that itself.
const maxNearestHolders = 2

// plan says how the runner would come to the shared parts.
func (p *promptState) plan(v *roster.View) fetch.Plan {
	parts := make([]fetch.Part, len(p.holders))
	near := p.nearestTo(v.Zone)
	for i, holders := range p.holders {
		parts[i] = fetch.Part{Tokens: p.sharedParts[i].Tokens, LocalTokens: holders[v.Address], Holders: withoutAddress(near[i], v.Address)}
	}
	plan := fetch.NewPlan(p.engine, parts, p.budget)
	if len(p.holders) == 0 {
		for _, part := range p.sharedParts {
			plan.PrefillTokens += part.Tokens
		}
	}
	return plan
}

// nearestTo are the holders of each part that are nearest to a zone.
func (p *promptState) nearestTo(zone rillreach.ZoneID) [][]fetch.Holder {
	if near, known := p.nearestByZone[zone]; known {
		return near
	}
	near := make([][]fetch.Holder, len(p.holders))
	for i := range p.holders {
		near[i] = fetch.FastestHolders(p.engine, p.sharedParts[i].Tokens, p.fetchableFrom(i, zone), maxNearestHolders)
	}
	p.nearestByZone[zone] = near
	return near
}

// fetchableFrom are the holders of a part that a runner in the zone may ask.
func (p *promptState) fetchableFrom(part int, zone rillreach.ZoneID) []fetch.Holder {
	all := make([]fetch.Holder, 0, len(p.holders[part]))
	for place, tokens := range p.holders[part] {
		info, ok := p.locations[place]
		if !ok {
			continue
		}
		all = append(all, fetch.Holder{
			Address: place, IsStore: info.isStore, Tokens: tokens, BitsPerSecond: info.bitsPerSecond, StartDelay: info.startDelay, LinkBusy: info.linkBusy,
			OtherZone: info.zone != zone,
		})
	}
	return all
}

// withoutAddress are the holders but for the one at the address.
func withoutAddress(holders []fetch.Holder, address netip.AddrPort) []fetch.Holder {
	i := slices.IndexFunc(holders, func(h fetch.Holder) bool { return h.Address == address })
	if i < 0 {
		return holders
	}
	return slices.Concat(holders[:i], holders[i+1:])
}

// chooseSaveStores says where the shared parts go once the runner has them.
func (g *Gateway) chooseSaveStores(x *exchange, p *promptState, v *roster.View, now time.Time) []netip.AddrPort {
	if p.fetchDeadline.IsZero() {
		return nil
	}
	to := make([]netip.AddrPort, len(x.wire.Prompt.Parts))
	for i, part := range p.sharedParts {
		key := holdings.Key{Salt: p.salt, Part: part.ID}
		stores := g.candidateStores(x, p, v, key, p.holders[i], now)
		to[i] = fetch.ChooseStore(p.engine, part.Tokens, i == 0, stores)
		if to[i].IsValid() {
			g.cache.recordSave(key, to[i], now)
		}
	}
	return to
}

// candidateStores are the stores that may take a part.
func (g *Gateway) candidateStores(x *exchange, p *promptState, v *roster.View, key holdings.Key, holders map[netip.AddrPort]int, now time.Time) []fetch.Store {
	var stores []fetch.Store
	for _, s := range x.config.CacheStores() {
		info, ok := p.locations[s.Address]
		if !ok || !info.isStore {
			continue
		}
		_, holds := holders[s.Address]
		stores = append(stores, fetch.Store{
			Address: s.Address, Capacity: s.CapacityTokens, UsedTokens: g.cache.index.TotalTokens(s.Address), BitsPerSecond: s.LinkBitsPerSecond,
			StartDelay: s.TransferStartDelay, LinkBusy: info.linkBusy, OtherZone: s.Zone != v.Zone, Holds: holds || g.cache.isSaving(key, s.Address, now),
		})
	}
	return stores
}
