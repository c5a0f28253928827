package fetch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	runnerB = netip.MustParseAddrPort("10.0.0.2:1")
	fast    = netip.MustParseAddrPort("10.1.0.1:1")
	large   = netip.MustParseAddrPort("10.1.0.2:1")
	engine  = Engine{BytesPerToken: 18432, BitsPerSecond: 130e9}
)

func holder(place netip.AddrPort, tokens int, rate float64) Holder {
	return Holder{Address: place, Tokens: tokens, BitsPerSecond: rate}
}

func TestMake(t *testing.T) {
	const budget = 200 * time.Millisecond
	t.Run("what the runner holds is not moved, but somebody stands by", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 2500, LocalTokens: 2500, Holders: []Holder{holder(fast, 2500, 100e9)}}}, budget)
		assert.Zero(t, p.FetchedTokens)
		assert.Zero(t, p.PrefillTokens)
		assert.Equal(t, fast, p.Sources[0])
	})
	t.Run("the holder from which it comes soonest is asked", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(large, 5000, 29e9), holder(runnerB, 5000, 0)}}}, budget)
		assert.Equal(t, []netip.AddrPort{runnerB}, p.Sources)
		assert.Equal(t, 5000, p.FetchedTokens)
	})
	t.Run("a holder whose link is taken is passed over", func(t *testing.T) {
		busy := holder(runnerB, 5000, 0)
		busy.LinkBusy = 100 * time.Millisecond
		p := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(large, 5000, 29e9), busy}}}, budget)
		assert.Equal(t, large, p.Sources[0])
	})
	t.Run("a holder of half a part is not asked", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(runnerB, 2500, 0)}}}, budget)
		assert.False(t, p.Sources[0].IsValid())
		assert.Equal(t, 5000, p.PrefillTokens)
		assert.Equal(t, 5000, p.RecomputedTokens)
	})
	t.Run("after a part that nobody holds the rest has to be read", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 2500}, {Tokens: 5000, LocalTokens: 5000}}, budget)
		assert.Equal(t, 7500, p.PrefillTokens)
		assert.Equal(t, 5000, p.RecomputedTokens, "a first reading is not reading again")
	})
	t.Run("a move that would take too long is not begun", func(t *testing.T) {
		p := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(large, 5000, 1e9)}}}, budget)
		assert.Zero(t, p.FetchedTokens)
		assert.Equal(t, 5000, p.PrefillTokens)
	})
	t.Run("between zones a move takes twice as long", func(t *testing.T) {
		near, far := holder(large, 5000, 29e9), holder(large, 5000, 29e9)
		far.OtherZone = true
		a, b := NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{near}}}, budget), NewPlan(engine, []Part{{Tokens: 5000, Holders: []Holder{far}}}, budget)
		assert.Equal(t, 2*a.TransferTime, b.TransferTime)
		assert.Equal(t, 5000, b.CrossZoneTokens)
	})
}

func TestSaveTo(t *testing.T) {
	stores := func(change func(fast, large *Store)) []Store {
		s := []Store{
			{Address: fast, Capacity: 158919, BitsPerSecond: 100e9},
			{Address: large, Capacity: 1887172, BitsPerSecond: 29e9},
		}
		change(&s[0], &s[1])
		return s
	}
	same := func(_, _ *Store) {}
	t.Run("an opening goes to the fast store", func(t *testing.T) { assert.Equal(t, fast, ChooseStore(engine, 2600, true, stores(same))) })
	t.Run("a small part goes to the fast store", func(t *testing.T) { assert.Equal(t, fast, ChooseStore(engine, 500, false, stores(same))) })
	t.Run("a large part goes to the large store", func(t *testing.T) { assert.Equal(t, large, ChooseStore(engine, 5000, false, stores(same))) })
	t.Run("a part that a store holds is not saved again", func(t *testing.T) {
		assert.False(t, ChooseStore(engine, 5000, false, stores(func(_, l *Store) { l.Holds = true })).IsValid())
	})
	t.Run("an opening that only another zone holds is saved here, too", func(t *testing.T) {
		got := ChooseStore(engine, 2600, true, stores(func(_, l *Store) { l.Holds, l.OtherZone = true, true }))
		assert.Equal(t, fast, got)
	})
	t.Run("a full store takes nothing", func(t *testing.T) {
		assert.False(t, ChooseStore(engine, 5000, false, stores(func(_, l *Store) { l.UsedTokens = 1860000 })).IsValid())
	})
	t.Run("where every store is small, size does not decide", func(t *testing.T) {
		got := ChooseStore(engine, 5000, false, stores(func(_, l *Store) { l.Capacity = 100000 }))
		assert.True(t, got.IsValid())
	})
}
