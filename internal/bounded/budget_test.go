package bounded

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestBudget(t *testing.T) {
	t.Run("reservations share the limit", func(t *testing.T) {
		b := NewBudget(10)
		first, second := &Reservation{Budget: b}, &Reservation{Budget: b}
		assert.True(t, first.Grow(6))
		assert.False(t, second.Grow(5))
		assert.True(t, second.Grow(4))
		first.Release()
		assert.True(t, second.Grow(6))
		second.Release()
		assert.Zero(t, b.Used())
	})
	t.Run("without a budget there is no limit", func(t *testing.T) {
		var r Reservation
		assert.True(t, r.Grow(1<<40))
		r.Release()
		assert.Zero(t, r.Budget.Used())
	})
	t.Run("the zero value has nothing", func(t *testing.T) {
		assert.False(t, (&Reservation{Budget: &Budget{}}).Grow(1))
	})
}

// TestBudgetIsKept checks that no order of calls exceeds the limit or loses part of it.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		b := NewBudget(limit)
		reservations := make([]Reservation, 4)
		held := make([]int64, len(reservations))
		sum := func() (all int64) {
			for _, n := range held {
				all += n
			}
			return all
		}
		for range rapid.IntRange(1, 50).Draw(t, "calls") {
			i := rapid.IntRange(0, len(reservations)-1).Draw(t, "reservation")
			reservations[i].Budget = b
			n := rapid.Int64Range(0, limit/2).Draw(t, "bytes")
			if n == 0 {
				reservations[i].Release()
				held[i] = 0
				continue
			}
			fits := sum()+n <= limit
			if fits {
				held[i] += n
			}
			if got := reservations[i].Grow(n); got != fits {
				t.Fatalf("growth by %d beside %d: %t", n, sum(), got)
			}
		}
		if b.Used() != sum() {
			t.Fatalf("%d bytes are reserved, and %d in use", b.Used(), sum())
		}
	})
}

func TestReader(t *testing.T) {
	memory := &Reservation{Budget: NewBudget(8)}
	var kept bytes.Buffer
	_, err := kept.ReadFrom(&Reader{From: strings.NewReader("12345678"), Memory: memory})
	require.NoError(t, err)
	_, err = kept.ReadFrom(&Reader{From: strings.NewReader("9"), Memory: memory})
	require.ErrorIs(t, err, ErrNoMemory)
	assert.Equal(t, "123456789", kept.String(), "data that was read is lost")
}
