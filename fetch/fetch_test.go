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
	engine  = Engine{TokenBytes: 18432, BitsPerSecond: 130e9}
)

func holder(place netip.AddrPort, tokens int, rate float64) Holder {
	return Holder{Place: place, Tokens: tokens, BitsPerSecond: rate}
}

func TestMake(t *testing.T) {
	const budget = 200 * time.Millisecond
	t.Run("what the runner holds is not moved, but somebody stands by", func(t *testing.T) {
		p := Make(engine, []Part{{Tokens: 2500, Local: 2500, Holders: []Holder{holder(fast, 2500, 100e9)}}}, budget)
		assert.Zero(t, p.Fetched)
		assert.Zero(t, p.Missing)
		assert.Equal(t, fast, p.From[0])
	})
	t.Run("the holder from which it comes soonest is asked", func(t *testing.T) {
		p := Make(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(large, 5000, 29e9), holder(runnerB, 5000, 0)}}}, budget)
		assert.Equal(t, []netip.AddrPort{runnerB}, p.From)
		assert.Equal(t, 5000, p.Fetched)
	})
	t.Run("a holder whose link is taken is passed over", func(t *testing.T) {
		busy := holder(runnerB, 5000, 0)
		busy.Busy = 100 * time.Millisecond
		p := Make(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(large, 5000, 29e9), busy}}}, budget)
		assert.Equal(t, large, p.From[0])
	})
	t.Run("a holder of half a part is not asked", func(t *testing.T) {
		p := Make(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(runnerB, 2500, 0)}}}, budget)
		assert.False(t, p.From[0].IsValid())
		assert.Equal(t, 5000, p.Missing)
		assert.Equal(t, 5000, p.Again)
	})
	t.Run("after a part that nobody holds the rest has to be read", func(t *testing.T) {
		p := Make(engine, []Part{{Tokens: 2500}, {Tokens: 5000, Local: 5000}}, budget)
		assert.Equal(t, 7500, p.Missing)
		assert.Equal(t, 5000, p.Again, "a first reading is not reading again")
	})
	t.Run("a move that would take too long is not begun", func(t *testing.T) {
		p := Make(engine, []Part{{Tokens: 5000, Holders: []Holder{holder(large, 5000, 1e9)}}}, budget)
		assert.Zero(t, p.Fetched)
		assert.Equal(t, 5000, p.Missing)
	})
	t.Run("between zones a move takes twice as long", func(t *testing.T) {
		near, far := holder(large, 5000, 29e9), holder(large, 5000, 29e9)
		far.OtherZone = true
		a, b := Make(engine, []Part{{Tokens: 5000, Holders: []Holder{near}}}, budget), Make(engine, []Part{{Tokens: 5000, Holders: []Holder{far}}}, budget)
		assert.Equal(t, 2*a.Time, b.Time)
		assert.Equal(t, 5000, b.Afar)
	})
}

func TestSaveTo(t *testing.T) {
	stores := func(change func(fast, large *Store)) []Store {
		s := []Store{
			{Place: fast, Capacity: 158919, BitsPerSecond: 100e9},
			{Place: large, Capacity: 1887172, BitsPerSecond: 29e9},
		}
		change(&s[0], &s[1])
		return s
	}
	same := func(_, _ *Store) {}
	t.Run("an opening goes to the fast store", func(t *testing.T) { assert.Equal(t, fast, SaveTo(engine, 2600, true, stores(same))) })
	t.Run("a small part goes to the fast store", func(t *testing.T) { assert.Equal(t, fast, SaveTo(engine, 500, false, stores(same))) })
	t.Run("a large part goes to the large store", func(t *testing.T) { assert.Equal(t, large, SaveTo(engine, 5000, false, stores(same))) })
	t.Run("a part that a store holds is not saved again", func(t *testing.T) {
		assert.False(t, SaveTo(engine, 5000, false, stores(func(_, l *Store) { l.Holds = true })).IsValid())
	})
	t.Run("an opening that only another zone holds is saved here, too", func(t *testing.T) {
		got := SaveTo(engine, 2600, true, stores(func(_, l *Store) { l.Holds, l.OtherZone = true, true }))
		assert.Equal(t, fast, got)
	})
	t.Run("a full store takes nothing", func(t *testing.T) {
		assert.False(t, SaveTo(engine, 5000, false, stores(func(_, l *Store) { l.Total = 1860000 })).IsValid())
	})
	t.Run("where every store is small, size does not decide", func(t *testing.T) {
		got := SaveTo(engine, 5000, false, stores(func(_, l *Store) { l.Capacity = 100000 }))
		assert.True(t, got.IsValid())
	})
}
