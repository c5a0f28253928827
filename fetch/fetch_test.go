package fetch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	otherRunner = netip.MustParseAddrPort("10.0.0.2:1")
	fastStore   = netip.MustParseAddrPort("10.1.0.1:1")
	largeStore  = netip.MustParseAddrPort("10.1.0.2:1")
	engine      = Engine{BytesPerToken: 18432, BitsPerSecond: 130e9}
)

func holder(address netip.AddrPort, tokens int, rate float64) Holder {
	return Holder{Address: address, Tokens: tokens, BitsPerSecond: rate}
}

func TestNewPlan(t *testing.T) {
	const budget = 200 * time.Millisecond
	t.Run("a part that the runner holds is not fetched but has a fallback holder", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 2500, LocalTokens: 2500, Holders: []Holder{holder(fastStore, 2500, 100e9)}}}, budget)
		assert.Zero(t, p.FetchedTokens)
		assert.Zero(t, p.PrefillTokens)
		assert.Equal(t, fastStore, p.Sources[0])
	})
	t.Run("the fastest holder is chosen", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(largeStore, 5000, 29e9), holder(otherRunner, 5000, 0)}}}, budget)
		assert.Equal(t, []netip.AddrPort{otherRunner}, p.Sources)
		assert.Equal(t, 5000, p.FetchedTokens)
	})
	t.Run("a holder with a busy link is not chosen", func(t *testing.T) {
		busyHolder := holder(otherRunner, 5000, 0)
		busyHolder.LinkBusy = 100 * time.Millisecond
		p := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(largeStore, 5000, 29e9), busyHolder}}}, budget)
		assert.Equal(t, largeStore, p.Sources[0])
	})
	t.Run("a holder of half a part is not chosen", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(otherRunner, 2500, 0)}}}, budget)
		assert.False(t, p.Sources[0].IsValid())
		assert.Equal(t, 5000, p.PrefillTokens)
		assert.Equal(t, 5000, p.RecomputedTokens)
	})
	t.Run("all parts after one that nobody holds are computed", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 2500}, {Tokens: 5000, LocalTokens: 5000}}, budget)
		assert.Equal(t, 7500, p.PrefillTokens)
		assert.Equal(t, 5000, p.RecomputedTokens, "the first computation of a part does not count as recomputed")
	})
	t.Run("a transfer over the budget is not planned", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(largeStore, 5000, 1e9)}}}, budget)
		assert.Zero(t, p.FetchedTokens)
		assert.Equal(t, 5000, p.PrefillTokens)
	})
	t.Run("a transfer between zones takes twice as long", func(t *testing.T) {
		sameZone, crossZone := holder(largeStore, 5000, 29e9), holder(largeStore, 5000, 29e9)
		crossZone.OtherZone = true
		a, b := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{sameZone}}}, budget), NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{crossZone}}}, budget)
		assert.Equal(t, 2*a.TransferTime, b.TransferTime)
		assert.Equal(t, 5000, b.CrossZoneTokens)
	})
}

func TestChooseStore(t *testing.T) {
	stores := func(change func(fast, large *Store)) []Store {
		s := []Store{
			{Address: fastStore, Capacity: 158919, BitsPerSecond: 100e9},
			{Address: largeStore, Capacity: 1887172, BitsPerSecond: 29e9},
		}
		change(&s[0], &s[1])
		return s
	}
	unchanged := func(_, _ *Store) {}
	t.Run("the first part goes to the fast store", func(t *testing.T) { assert.Equal(t, fastStore, ChooseStore(engine, 2600, true, stores(unchanged))) })
	t.Run("a small part goes to the fast store", func(t *testing.T) { assert.Equal(t, fastStore, ChooseStore(engine, 500, false, stores(unchanged))) })
	t.Run("a large part goes to the large store", func(t *testing.T) { assert.Equal(t, largeStore, ChooseStore(engine, 5000, false, stores(unchanged))) })
	t.Run("a part that a store holds is not saved again", func(t *testing.T) {
		assert.False(t, ChooseStore(engine, 5000, false, stores(func(_, l *Store) { l.Holds = true })).IsValid())
	})
	t.Run("a first part that only another zone holds is also saved in this zone", func(t *testing.T) {
		got := ChooseStore(engine, 2600, true, stores(func(_, l *Store) { l.Holds, l.OtherZone = true, true }))
		assert.Equal(t, fastStore, got)
	})
	t.Run("a full store accepts nothing", func(t *testing.T) {
		assert.False(t, ChooseStore(engine, 5000, false, stores(func(_, l *Store) { l.UsedTokens = 1860000 })).IsValid())
	})
	t.Run("size does not matter if the part is large for every store", func(t *testing.T) {
		got := ChooseStore(engine, 5000, false, stores(func(_, l *Store) { l.Capacity = 100000 }))
		assert.True(t, got.IsValid())
	})
}
