package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach/internal/hash"
)

var start = time.Unix(1000, 0)

func TestPhases(t *testing.T) {
	p := Plan{StartedAt: start, Duration: 12 * time.Second}
	assert.Equal(t, PhaseCanary, p.PhaseAt(start))
	assert.Equal(t, PhaseCanary, p.PhaseAt(start.Add(10*time.Second)))
	assert.Equal(t, PhaseCutover, p.PhaseAt(p.CompleteAt()))
	assert.True(t, p.CompleteAt().Before(start.Add(p.Duration)), "a good version is completed before the deadline")
	short := Plan{StartedAt: start, Duration: time.Second}
	assert.Equal(t, PhaseCanary, short.PhaseAt(start), "also a short rollout begins with a canary")
}

// TestBadVersionExposed guards against entries that together send more requests to an unproven version than is
// permitted, for any number of entries and any duration.
func TestBadVersionExposed(t *testing.T) {
	const exposure = 0.1
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 900).Draw(t, "entries")
		p := Plan{StartedAt: start, Duration: time.Duration(rapid.IntRange(10_000, 120_000).Draw(t, "ms")) * time.Millisecond}
		target := fmt.Sprint("v", rapid.IntRange(2, 1000).Draw(t, "version"))
		canary := 0.0
		for i := range entries {
			canary += CanaryShare(exposure, entries, hash.String(fmt.Sprint("entry-", i, target)))
		}
		canary /= float64(entries)
		completed := p.Duration - p.CompleteAt().Sub(p.StartedAt)
		atFullShare := float64(p.cutover()+completed) / float64(p.Duration)
		// A binomial draw of participants may exceed its mean; four deviations of sixteen participants double it.
		assert.LessOrEqual(t, canary, 2*exposure*canaryFraction)
		assert.LessOrEqual(t, atFullShare, 0.11)
	})
}

func TestCanaryShare(t *testing.T) {
	t.Run("each of few entries takes part", func(t *testing.T) {
		assert.InDelta(t, 0.04, CanaryShare(0.1, 8, 0), 1e-9)
		assert.InDelta(t, 0.04, CanaryShare(0.1, 8, ^uint64(0)), 1e-9)
	})
	t.Run("of many entries some take part with a larger share", func(t *testing.T) {
		taking, sum := 0, 0.0
		for i := range 356 {
			share := CanaryShare(0.1, 356, hash.String(fmt.Sprint("entry-", i)))
			assert.LessOrEqual(t, share, maxEntryShare)
			sum += share
			if share > 0 {
				taking++
			}
		}
		assert.InDelta(t, 29, taking, 15)
		assert.InDelta(t, 0.04, sum/356, 0.02)
	})
	t.Run("conversations stay in the canary as the share grows", func(t *testing.T) {
		in := 0
		for i := range 1000 {
			c := fmt.Sprint("conversation-", i)
			if InCanary(c, "v2", 0.04) {
				in++
				assert.True(t, InCanary(c, "v2", 0.5))
			}
		}
		assert.InDelta(t, 40, in, 25)
	})
}

// replay records requests at both versions: n at the current one, and a twentieth of that at the target version.
func replay(n int, answer func(r *rand.Rand, target bool) Answer) *Evidence {
	r := rand.New(rand.NewPCG(1, 2))
	e := &Evidence{}
	for i := range n {
		e.Record(answer(r, false))
		if i%20 == 0 {
			e.Record(answer(r, true))
		}
	}
	return e
}

// TestBadVersionNotRecognized guards against bad versions that go on receiving requests, and TestGoodVersionRolledBack
// against good ones that are rolled back.
func TestBadVersionNotRecognized(t *testing.T) {
	for name, answer := range map[string]func(r *rand.Rand, target bool) Answer{
		"a third of its answers fail": func(r *rand.Rand, target bool) Answer {
			return Answer{Route: "a", Target: target, Failed: target && r.Float64() < 0.33, Latency: 20 * time.Millisecond}
		},
		"it fails on one of four routes": func(r *rand.Rand, target bool) Answer {
			route := []string{"a", "b", "c", "d"}[r.IntN(4)]
			return Answer{Route: route, Target: target, Failed: target && route == "c", Latency: 20 * time.Millisecond}
		},
		"it is five times as slow": func(r *rand.Rand, target bool) Answer {
			latency := time.Duration(20+r.IntN(20)) * time.Millisecond
			if target {
				latency *= 5
			}
			return Answer{Route: "a", Target: target, Latency: latency}
		},
	} {
		t.Run(name, func(t *testing.T) { assert.True(t, replay(1000, answer).TargetIsBad()) })
	}
}

func TestGoodVersionRolledBack(t *testing.T) {
	for name, answer := range map[string]func(r *rand.Rand, target bool) Answer{
		"both versions fail one of seven requests": func(r *rand.Rand, target bool) Answer {
			return Answer{Route: "a", Target: target, Failed: r.Float64() < 0.14, Latency: 20 * time.Millisecond}
		},
		"its caches are cold, as predicted": func(_ *rand.Rand, target bool) Answer {
			if target {
				return Answer{Route: "a", Target: true, Latency: 190 * time.Millisecond, Predicted: 170 * time.Millisecond}
			}
			return Answer{Route: "a", Latency: 25 * time.Millisecond, Predicted: 20 * time.Millisecond}
		},
		"a few of its answers are slow as are others": func(r *rand.Rand, target bool) Answer {
			latency := 30 * time.Millisecond
			if r.Float64() < 0.05 {
				latency = 400 * time.Millisecond
			}
			return Answer{Route: "a", Target: target, Latency: latency}
		},
		"it has no answers yet": func(_ *rand.Rand, target bool) Answer {
			return Answer{Route: "a", Latency: 20 * time.Millisecond, Target: false && target}
		},
	} {
		t.Run(name, func(t *testing.T) { assert.False(t, replay(1000, answer).TargetIsBad()) })
	}
}
