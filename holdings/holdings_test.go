package holdings

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

var (
	placeA = netip.MustParseAddrPort("10.0.0.1:1")
	placeB = netip.MustParseAddrPort("10.0.0.2:1")
)

func key(part string) Key { return Key{Salt: "1/m", Part: part} }

func change(part string, tokens int) Change { return Change{Key: key(part), Tokens: tokens} }

// TestReaderSeesWhatIsHeld has readers of a tracker fall behind by any amount, with replacements in between.
func TestReaderSeesWhatIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		var index Index
		position := ^uint64(0)
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(t, "steps")
		for i, step := range steps {
			switch {
			case step == 0:
				tracker.Replace([]Change{change("new", i+1)})
			case step < 7:
				tracker.Apply([]Change{change(string(rune('a'+step)), i%3)})
			default:
				changes, next, whole := tracker.Since(position)
				position = next
				if whole {
					index.Replace(placeA, changes)
				} else {
					index.Apply(placeA, changes)
				}
				assertSame(t, &tracker, &index)
			}
		}
	})
}

func assertSame(t *rapid.T, tracker *Tracker, index *Index) {
	held, _, _ := tracker.Since(^uint64(0))
	total := 0
	for _, c := range held {
		total += c.Tokens
		assert.Equal(t, c.Tokens, index.Holders(c.Key)[placeA])
	}
	assert.Equal(t, total, index.TotalTokens(placeA))
}

func TestReaderFarBehindGetsEverything(t *testing.T) {
	var tracker Tracker
	tracker.Apply([]Change{change("first", 7)})
	_, position, _ := tracker.Since(0)
	for range maxLog + 5 {
		tracker.Apply([]Change{change("again", 1)})
	}
	changes, _, whole := tracker.Since(position)
	assert.True(t, whole)
	assert.Len(t, changes, 2)
}

func TestIndex(t *testing.T) {
	var x Index
	x.Apply(placeA, []Change{change("p", 10)})
	x.Apply(placeB, []Change{change("p", 20), change("q", 5)})
	t.Run("a part has several holders", func(t *testing.T) {
		assert.Equal(t, map[netip.AddrPort]int{placeA: 10, placeB: 20}, x.Holders(key("p")))
	})
	t.Run("the same part under another salt is another part", func(t *testing.T) {
		assert.Empty(t, x.Holders(Key{Salt: "2/m", Part: "p"}))
	})
	t.Run("a holder that is forgotten holds nothing", func(t *testing.T) {
		x.Forget(placeB)
		assert.Equal(t, map[netip.AddrPort]int{placeA: 10}, x.Holders(key("p")))
		assert.Zero(t, x.TotalTokens(placeB))
	})
}

func TestNothingIsFreedWhileAFetchMayRun(t *testing.T) {
	var d ExpiredSalts
	start := time.Unix(0, 0)
	assert.False(t, d.MayFree("1/m", start, time.Second), "the first question only begins to tell")
	assert.Equal(t, []string{"1/m"}, d.Salts())
	assert.False(t, d.MayFree("1/m", start.Add(999*time.Millisecond), time.Second))
	assert.True(t, d.MayFree("1/m", start.Add(time.Second), time.Second))
	assert.False(t, d.MayFree("2/m", start.Add(time.Second), time.Second), "each salt is told of by itself")
}

func TestChangesOnTheirWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent Changes
		for range rapid.IntRange(0, 9).Draw(t, "changes") {
			salt := rapid.SampledFrom([]string{"1/m", "2/m", "1/m/account"}).Draw(t, "salt")
			part := rapid.StringMatching("[0-9a-f]{1,8}").Draw(t, "part")
			sent = append(sent, Change{Key: Key{Salt: salt, Part: part}, Tokens: rapid.IntRange(0, 9000).Draw(t, "tokens")})
		}
		data, err := cbor.Marshal(sent)
		require.NoError(t, err)
		var got Changes
		require.NoError(t, cbor.Unmarshal(data, &got))
		var before, after Index
		before.Apply(placeA, sent)
		after.Apply(placeA, got)
		for _, c := range sent {
			assert.Equal(t, before.Holders(c.Key), after.Holders(c.Key))
		}
		assert.Equal(t, before.TotalTokens(placeA), after.TotalTokens(placeA))
	})
}

func TestIndexOfRuns(t *testing.T) {
	first, second := rillreach.InstanceRun{ID: "a", Generation: 1}, rillreach.InstanceRun{ID: "a", Generation: 2}
	of := func(run rillreach.InstanceRun, whole bool, changes ...Change) Update {
		return Update{Address: placeA, Run: run, Snapshot: whole, Changes: changes}
	}
	held := func(updates ...Update) map[string]int {
		var x Index
		for _, u := range updates {
			x.Update(u)
		}
		held := map[string]int{}
		for _, part := range []string{"p", "q"} {
			if tokens := x.Holders(key(part))[placeA]; tokens != 0 {
				held[part] = tokens
			}
		}
		return held
	}
	t.Run("changes of one run add up", func(t *testing.T) {
		assert.Equal(t, map[string]int{"p": 10, "q": 5}, held(of(first, true, change("p", 10)), of(first, false, change("q", 5))))
	})
	t.Run("a later run holds nothing of an earlier one", func(t *testing.T) {
		assert.Equal(t, map[string]int{"q": 5}, held(of(first, true, change("p", 10)), of(second, false, change("q", 5))))
	})
	t.Run("what an earlier run tells is late", func(t *testing.T) {
		assert.Equal(t, map[string]int{"q": 5}, held(of(second, true, change("q", 5)), of(first, true, change("p", 10)), of(first, false, change("p", 7))))
	})
	t.Run("an unknown run is taken for the one that is known", func(t *testing.T) {
		unknown := rillreach.InstanceRun{ID: "a"}
		assert.Equal(t, map[string]int{"p": 10, "q": 5}, held(of(second, true, change("p", 10)), of(unknown, false, change("q", 5))))
		assert.Equal(t, map[string]int{"q": 5}, held(of(second, true, change("q", 5)), of(unknown, false), of(first, false, change("p", 10))))
	})
	t.Run("another runner at the address holds nothing of the one before, whichever of their starts is greater", func(t *testing.T) {
		other := rillreach.InstanceRun{ID: "b", Generation: 1}
		assert.Equal(t, map[string]int{"q": 5}, held(of(second, true, change("p", 10)), of(other, false, change("q", 5))))
	})
	t.Run("a run that is renewed twice keeps what it holds", func(t *testing.T) {
		var x Index
		x.Update(of(first, true, change("p", 10)))
		x.ObserveRun(placeA, second)
		assert.Zero(t, x.TotalTokens(placeA))
		x.Update(of(second, true, change("q", 5)))
		x.ObserveRun(placeA, second)
		x.ObserveRun(placeA, first)
		assert.Equal(t, 5, x.TotalTokens(placeA))
	})
}
