package fetch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// drawnHolders are up to nine holders of a part, at addresses of their own.
func drawnHolders(t *rapid.T, tokens int) []Holder {
	holders := make([]Holder, rapid.IntRange(0, 9).Draw(t, "holders"))
	for i := range holders {
		holders[i] = Holder{
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
			Tokens:        rapid.SampledFrom([]int{tokens, tokens / 2}).Draw(t, "tokens held"),
			BitsPerSecond: rapid.SampledFrom([]float64{0, 1e9, 29e9, 100e9}).Draw(t, "rate"),
			StartDelay:    time.Duration(rapid.IntRange(0, 5).Draw(t, "first")) * time.Millisecond,
			LinkBusy:      time.Duration(rapid.IntRange(0, 50).Draw(t, "busy")) * time.Millisecond,
			OtherZone:     rapid.Bool().Draw(t, "other zone"),
		}
	}
	return holders
}

func TestNearest(t *testing.T) {
	const tokens = 5000
	t.Run("those of the whole part come before others, and the soonest first", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			near := FastestHolders(engine, tokens, drawnHolders(t, tokens), 3)
			for i := 1; i < len(near); i++ {
				assert.False(t, engine.sooner(tokens, &near[i], &near[i-1]))
			}
		})
	})
	t.Run("a plan by two of them is as good as one by all", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			holders := drawnHolders(t, tokens)
			plan := func(holders []Holder) Plan {
				return NewPlan(engine, []Part{{Tokens: tokens, Holders: holders}}, 200*time.Millisecond)
			}
			all, near := plan(holders), plan(FastestHolders(engine, tokens, holders, 2))
			assert.Equal(t, []any{all.FetchedTokens, all.PrefillTokens, all.RecomputedTokens, all.TransferTime}, []any{near.FetchedTokens, near.PrefillTokens, near.RecomputedTokens, near.TransferTime})
		})
	})
	t.Run("no more than asked for are kept", func(t *testing.T) {
		holders := []Holder{holder(fast, tokens, 1e9), holder(large, tokens, 2e9), holder(runnerB, tokens, 3e9)}
		assert.Equal(t, []Holder{holders[2], holders[1]}, FastestHolders(engine, tokens, holders, 2))
	})
}
