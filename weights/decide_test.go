package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach/deployment"
)

const bound = 10 * time.Second

func TestDecide(t *testing.T) {
	decide := func(change func(*Input)) Action {
		s := Input{Desired: 2, Loaded: 1, Bound: bound, Rank: 4, Total: 18, KnownFor: time.Hour}
		change(&s)
		return Decide(s)
	}
	cases := []struct {
		name   string
		change func(*Input)
		want   Action
	}{
		{"the runner's load is due", func(*Input) {}, ActionLoad},
		{"no version is desired", func(s *Input) { s.Desired = 0 }, ActionNone},
		{"the runner has the version", func(s *Input) { s.Loaded = 2 }, ActionNone},
		{"the runner has a newer version", func(s *Input) { s.Loaded = 3 }, ActionNone},
		{"the runner is leaving", func(s *Input) { s.Leaving = true }, ActionNone},
		{"an order is in progress", func(s *Input) { s.Busy = true }, ActionDrain},
		{"an order was sent just now", func(s *Input) { s.SinceOrder = orderRetryInterval - 1 }, ActionDrain},
		{"an order had no effect", func(s *Input) { s.SinceOrder = orderRetryInterval }, ActionLoad},
		{"the scheduled start of an earlier version is due", func(s *Input) { s.KnownFor, s.EarlierBy = 0, StartDelay(4, 18, bound) }, ActionLoad},
		{"the load is not due yet", func(s *Input) { s.KnownFor = 0 }, ActionWait},
		{"the load is due soon", func(s *Input) { s.KnownFor = StartDelay(4, 18, bound) - drainLead }, ActionDrain},
		{"the first batch drains at once", func(s *Input) { s.Rank, s.KnownFor = 0, 0 }, ActionDrain},
		{"the first batch loads after draining", func(s *Input) { s.Rank, s.KnownFor = 0, drainLead }, ActionLoad},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, decide(c.change)) })
	}
}

// TestAllRunnersLoadBeforeBound simulates a service in virtual time: every runner has the new version before its old
// weights expire, and never more than one batch loads at the same time.
func TestAllRunnersLoadBeforeBound(t *testing.T) {
	const load = 760 * time.Millisecond
	const step = 40 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 200).Draw(t, "runners")
		bound := time.Duration(rapid.IntRange(10000, 14000).Draw(t, "bound")) * time.Millisecond
		ordered := make([]time.Duration, total)
		for now := step; now < bound; now += step {
			loading := 0
			for rank := range total {
				s := Input{Desired: 2, Loaded: 1, Bound: bound, Rank: rank, Total: total, KnownFor: now}
				if ordered[rank] > 0 {
					s.SinceOrder = now - ordered[rank]
					s.Busy = s.SinceOrder < load
					if s.SinceOrder >= load {
						s.Loaded = 2
					}
				}
				if s.Loaded == 1 && (s.Busy || Decide(s) == ActionLoad) {
					loading++
				}
				if Decide(s) == ActionLoad {
					ordered[rank] = now
				}
			}
			assert.LessOrEqual(t, loading, BatchSize(total))
		}
		for rank := range total {
			assert.Positive(t, ordered[rank], "rank %d", rank)
			assert.Less(t, ordered[rank]+load, bound-time.Second, "rank %d", rank)
		}
	})
}

// TestRunnerDrainsBeforeEveryLoad simulates a service in virtual time. A runner that is not announced as loading for
// some time before its order gets requests from entries that don't know of the load yet, and refuses them. This
// guards against it for every batch, the first one included.
func TestRunnerDrainsBeforeEveryLoad(t *testing.T) {
	const step = 40 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 200).Draw(t, "runners")
		bound := time.Duration(rapid.IntRange(2000, 14000).Draw(t, "bound")) * time.Millisecond
		for rank := range total {
			drainedAt := time.Duration(-1)
			now := time.Duration(0)
			for ; ; now += step {
				action := Decide(Input{Desired: 2, Loaded: 1, Bound: bound, Rank: rank, Total: total, KnownFor: now})
				if action == ActionDrain && drainedAt < 0 {
					drainedAt = now
				}
				if action == ActionLoad {
					break
				}
			}
			assert.GreaterOrEqual(t, drainedAt, time.Duration(0), "rank %d", rank)
			assert.GreaterOrEqual(t, now-drainedAt, drainLead-step, "rank %d", rank)
		}
	})
}

// TestDrainLeadDoesNotDelayLastBatch checks that the last batch starts no later than it would without drainLead.
func TestDrainLeadDoesNotDelayLastBatch(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 5 * time.Second, bound, 14 * time.Second} {
		assert.LessOrEqual(t, StartDelay(17, 18, bound), max(bound-lastBatchMargin, (Batches-1)*minBatchInterval), "bound %v", bound)
	}
}

// TestNewerVersionDoesNotDelayScheduledLoad guards against runners that keep expired weights because each newer
// version pushes their load back. It names versions in quick succession in virtual time, with ranks that don't follow
// the age of the runners' weights, and checks that every runner replaces its weights before they expire.
func TestNewerVersionDoesNotDelayScheduledLoad(t *testing.T) {
	const load = 760 * time.Millisecond
	const step = 40 * time.Millisecond
	start := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "runners")
		gaps := rapid.SliceOfN(rapid.IntRange(1, 250), 1, 12).Draw(t, "steps between names")
		desiredSince := []time.Duration{0, 0} // version 1 was requested long before, version 2 at the start
		for _, gap := range gaps {
			desiredSince = append(desiredSince, desiredSince[len(desiredSince)-1]+time.Duration(gap)*step)
		}
		schedules := make([]Schedule, total)
		loaded, ordered := make([]int, total), make([]time.Duration, total)
		for rank := range loaded {
			loaded[rank] = 1
			ordered[rank] = -load
		}
		desired := 2
		for now := time.Duration(0); now < desiredSince[len(desiredSince)-1]+bound; now += step {
			for desired < len(desiredSince) && desiredSince[desired] <= now {
				desired++
			}
			for rank := range total {
				s := Input{
					Desired: deployment.WeightVersion(desired), Loaded: deployment.WeightVersion(loaded[rank]), Bound: bound,
					Rank: rank, Total: total, KnownFor: now - desiredSince[desired-1], Busy: now < ordered[rank]+load,
				}
				byRank := start.Add(desiredSince[desired-1] + StartDelay(rank, total, bound))
				s.EarlierBy = byRank.Sub(schedules[rank].Update(s.Loaded, s.Desired, byRank))
				if Decide(s) == ActionLoad {
					ordered[rank], loaded[rank] = now, desired
				}
				if loaded[rank] < desired {
					assert.Less(t, now, desiredSince[loaded[rank]]+bound-load-time.Second, "rank %d has version %d", rank, loaded[rank])
				}
			}
		}
	})
}
