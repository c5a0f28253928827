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
	// fetchShare is the part of the target that a fetch may take, leastFetch and mostFetch bound it.
	fetchShare = 0.4
	leastFetch = 60 * time.Millisecond
	mostFetch  = 400 * time.Millisecond
	// fetchWithin bounds a fetch once it is decided: a late one still spares the runner the reading, and the stores' agents
	// wait for longer than that before they free anything.
	fetchWithin = 1200 * time.Millisecond
)

// promptState is what is known of the kept parts of one prompt, under the salt of one version of weights.
type promptState struct {
	salt   string
	shared []deployment.Part
	// holders are how many tokens of each part each holder has, near those that may be asked for a part, by the zone of who asks.
	holders []map[netip.AddrPort]int
	near    map[rillreach.ZoneID][][]fetch.Holder
	engine  fetch.Engine
	budget  time.Duration
	// until bounds the fetch on the runners' clock; zero means that nothing may be fetched from a store.
	until time.Time
	// places are the zones and rates of the holders.
	places map[netip.AddrPort]placeInfo
}

type placeInfo struct {
	zone          rillreach.ZoneID
	store         bool
	bitsPerSecond float64
	first         time.Duration
	busy          time.Duration
}

// promptStateOf looks up who holds the shared parts of the request's prompt.
func (g *Gateway) promptStateOf(x *exchange, weights deployment.WeightVersion, views []*roster.View, now time.Time) *promptState {
	p := &promptState{
		salt: cacheSalt(x, weights), shared: x.wire.Prompt.SharedParts(), places: map[netip.AddrPort]placeInfo{}, near: map[rillreach.ZoneID][][]fetch.Holder{},
	}
	if p.salt == "" {
		return p
	}
	engine := x.service.Engine
	p.engine = fetch.Engine{BytesPerToken: engine.CacheBytesPerToken, BitsPerSecond: engine.LinkBitsPerSecond}
	p.budget = min(max(time.Duration(fetchShare*float64(x.route.TargetLatency)), leastFetch), mostFetch)
	for _, v := range views {
		if !v.Ejected {
			p.places[v.Address] = placeInfo{zone: v.Zone}
		}
	}
	g.addStores(x, p, now)
	for _, part := range p.shared {
		holders := g.stores.index.Holders(holdings.Key{Salt: p.salt, Part: part.ID})
		p.holders = append(p.holders, holders)
	}
	return p
}

// addStores adds the stores that may be asked, and bounds the fetch.
func (g *Gateway) addStores(x *exchange, p *promptState, now time.Time) {
	clock, known := g.stores.clock.read(now)
	if !known {
		return
	}
	p.until = clock.Add(fetchWithin)
	for _, s := range x.config.CacheStores() {
		if !g.allowsZone(x, s.Zone) {
			continue
		}
		until, busy, ok := g.stores.usable(s.Address, p.salt, now)
		if !ok || until.Before(clock.Add(leastFetch)) {
			continue
		}
		if until.Before(p.until) {
			p.until = until
		}
		p.places[s.Address] = placeInfo{zone: s.Zone, store: true, bitsPerSecond: s.LinkBitsPerSecond, first: s.TransferStartDelay, busy: busy}
	}
}

// mostNear is how many holders of a part are looked at for one runner: the nearest, and another where the runner is that itself.
const mostNear = 2

// plan says how the runner would come to the shared parts.
func (p *promptState) plan(v *roster.View) fetch.Plan {
	parts := make([]fetch.Part, len(p.holders))
	near := p.nearTo(v.Zone)
	for i, holders := range p.holders {
		parts[i] = fetch.Part{Tokens: p.shared[i].Tokens, LocalTokens: holders[v.Address], Holders: except(near[i], v.Address)}
	}
	plan := fetch.NewPlan(p.engine, parts, p.budget)
	if len(p.holders) == 0 {
		for _, part := range p.shared {
			plan.PrefillTokens += part.Tokens
		}
	}
	return plan
}

// nearTo are the holders of each part that are nearest to a zone.
func (p *promptState) nearTo(zone rillreach.ZoneID) [][]fetch.Holder {
	if near, known := p.near[zone]; known {
		return near
	}
	near := make([][]fetch.Holder, len(p.holders))
	for i := range p.holders {
		near[i] = fetch.FastestHolders(p.engine, p.shared[i].Tokens, p.askable(i, zone), mostNear)
	}
	p.near[zone] = near
	return near
}

// askable are the holders of a part that a runner in the zone may ask.
func (p *promptState) askable(part int, zone rillreach.ZoneID) []fetch.Holder {
	all := make([]fetch.Holder, 0, len(p.holders[part]))
	for place, tokens := range p.holders[part] {
		info, ok := p.places[place]
		if !ok {
			continue
		}
		all = append(all, fetch.Holder{
			Address: place, IsStore: info.store, Tokens: tokens, BitsPerSecond: info.bitsPerSecond, StartDelay: info.first, LinkBusy: info.busy,
			OtherZone: info.zone != zone,
		})
	}
	return all
}

// except are the holders but for the one at the address.
func except(holders []fetch.Holder, address netip.AddrPort) []fetch.Holder {
	i := slices.IndexFunc(holders, func(h fetch.Holder) bool { return h.Address == address })
	if i < 0 {
		return holders
	}
	return slices.Concat(holders[:i], holders[i+1:])
}

// saves says where the shared parts go once the runner has them.
func (g *Gateway) saves(x *exchange, p *promptState, v *roster.View, now time.Time) []netip.AddrPort {
	if p.until.IsZero() {
		return nil
	}
	to := make([]netip.AddrPort, len(x.wire.Prompt.Parts))
	for i, part := range p.shared {
		key := holdings.Key{Salt: p.salt, Part: part.ID}
		stores := g.saveStores(x, p, v, key, p.holders[i], now)
		to[i] = fetch.ChooseStore(p.engine, part.Tokens, i == 0, stores)
		if to[i].IsValid() {
			g.stores.save(key, to[i], now)
		}
	}
	return to
}

// saveStores are the stores that may take a part.
func (g *Gateway) saveStores(x *exchange, p *promptState, v *roster.View, key holdings.Key, holders map[netip.AddrPort]int, now time.Time) []fetch.Store {
	var stores []fetch.Store
	for _, s := range x.config.CacheStores() {
		info, ok := p.places[s.Address]
		if !ok || !info.store {
			continue
		}
		_, holds := holders[s.Address]
		stores = append(stores, fetch.Store{
			Address: s.Address, Capacity: s.CapacityTokens, UsedTokens: g.stores.index.TotalTokens(s.Address), BitsPerSecond: s.LinkBitsPerSecond,
			StartDelay: s.TransferStartDelay, LinkBusy: info.busy, OtherZone: s.Zone != v.Zone, Holds: holds || g.stores.isSaving(key, s.Address, now),
		})
	}
	return stores
}
