package fetch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// drawHolders draws up to nine holders of a part with distinct addresses.
func drawHolders(t *rapid.T, tokens int) []Holder {
	holders := make([]Holder, rapid.IntRange(0, 9).Draw(t, "holders"))
	for i := range holders {
		holders[i] = Holder{
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
			Tokens:        rapid.SampledFrom([]int{tokens, tokens / 2}).Draw(t, "tokens held"),
			BitsPerSecond: rapid.SampledFrom([]float64{0, 1e9, 29e9, 100e9}).Draw(t, "rate"),
			StartDelay:    time.Duration(rapid.IntRange(0, 5).Draw(t, "start delay")) * time.Millisecond,
			LinkBusy:      time.Duration(rapid.IntRange(0, 50).Draw(t, "link busy")) * time.Millisecond,
			OtherZone:     rapid.Bool().Draw(t, "other zone"),
		}
	}
	return holders
}

func TestFastestHolders(t *testing.T) {
	const tokens = 5000
	t.Run("holders of the whole part come first and are sorted by transfer time", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			fastest := FastestHolders(engine, tokens, drawHolders(t, tokens), 3)
			for i := 1; i < len(fastest); i++ {
				assert.False(t, engine.faster(tokens, &fastest[i], &fastest[i-1]))
			}
		})
	})
	t.Run("a plan from the two fastest holders is as good as one from all", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			holders := drawHolders(t, tokens)
			plan := func(holders []Holder) Plan {
				return NewPlan(engine, []Part{{Tokens: tokens, Holders: holders}}, 200*time.Millisecond)
			}
			fromAll, fromFastest := plan(holders), plan(FastestHolders(engine, tokens, holders, 2))
			assert.Equal(t, []any{fromAll.FetchedTokens, fromAll.PrefillTokens, fromAll.RecomputedTokens, fromAll.TransferTime}, []any{fromFastest.FetchedTokens, fromFastest.PrefillTokens, fromFastest.RecomputedTokens, fromFastest.TransferTime})
		})
	})
	t.Run("at most the requested number is returned", func(t *testing.T) {
		holders := []Holder{holder(fastStore, tokens, 1e9), holder(largeStore, tokens, 2e9), holder(otherRunner, tokens, 3e9)}
		assert.Equal(t, []Holder{holders[2], holders[1]}, FastestHolders(engine, tokens, holders, 2))
	})
}
