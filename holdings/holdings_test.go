package holdings

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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
	assert.Equal(t, total, index.Total(placeA))
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
		assert.Zero(t, x.Total(placeB))
	})
}

func TestNothingIsFreedWhileAFetchMayRun(t *testing.T) {
	var d Dying
	start := time.Unix(0, 0)
	assert.False(t, d.Free("1/m", start, time.Second), "the first question only begins to tell")
	assert.Equal(t, []string{"1/m"}, d.Salts())
	assert.False(t, d.Free("1/m", start.Add(999*time.Millisecond), time.Second))
	assert.True(t, d.Free("1/m", start.Add(time.Second), time.Second))
	assert.False(t, d.Free("2/m", start.Add(time.Second), time.Second), "each salt is told of by itself")
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
		assert.Equal(t, before.Total(placeA), after.Total(placeA))
	})
}
