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
	at := func(change func(*Situation)) Action {
		s := Situation{Named: 2, Loaded: 1, Bound: bound, Rank: 4, Total: 18, Since: time.Hour}
		change(&s)
		return Decide(s)
	}
	cases := []struct {
		name   string
		change func(*Situation)
		want   Action
	}{
		{"it is the runner's turn", func(*Situation) {}, Order},
		{"nothing is named", func(s *Situation) { s.Named = 0 }, Nothing},
		{"the runner has the version", func(s *Situation) { s.Loaded = 2 }, Nothing},
		{"the runner has a newer one", func(s *Situation) { s.Loaded = 3 }, Nothing},
		{"the runner ends soon", func(s *Situation) { s.Leaving = true }, Nothing},
		{"an order is under way", func(s *Situation) { s.Busy = true }, Empty},
		{"an order was given just now", func(s *Situation) { s.Ordered = resend - 1 }, Empty},
		{"an order had no effect", func(s *Situation) { s.Ordered = resend }, Order},
		{"it is the turn of a name before", func(s *Situation) { s.Since, s.Earlier = 0, StartAfter(4, 18, bound) }, Order},
		{"the turn is far", func(s *Situation) { s.Since = 0 }, Wait},
		{"the turn is near", func(s *Situation) { s.Since = StartAfter(4, 18, bound) - emptyBefore }, Empty},
		{"the first batch's turn is announced at once", func(s *Situation) { s.Rank, s.Since = 0, 0 }, Empty},
		{"the first batch's turn comes after the announcement", func(s *Situation) { s.Rank, s.Since = 0, emptyBefore }, Order},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, at(c.change)) })
	}
}

// TestAllLoadInTime plays a whole service in virtual time: every runner has the version before old weights expire, and no
// more load at once than may.
func TestAllLoadInTime(t *testing.T) {
	const load = 760 * time.Millisecond
	const step = 40 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 200).Draw(t, "runners")
		bound := time.Duration(rapid.IntRange(10000, 14000).Draw(t, "bound")) * time.Millisecond
		ordered := make([]time.Duration, total)
		for now := step; now < bound; now += step {
			loading := 0
			for rank := range total {
				s := Situation{Named: 2, Loaded: 1, Bound: bound, Rank: rank, Total: total, Since: now}
				if ordered[rank] > 0 {
					s.Ordered = now - ordered[rank]
					s.Busy = s.Ordered < load
					if s.Ordered >= load {
						s.Loaded = 2
					}
				}
				if s.Loaded == 1 && (s.Busy || Decide(s) == Order) {
					loading++
				}
				if Decide(s) == Order {
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

// TestEveryLoadIsAnnounced plays a whole service in virtual time: whatever its batch, a runner takes nothing new for some time before
// its order is given, or entries that have not heard of the load yet go on sending to it and are refused.
func TestEveryLoadIsAnnounced(t *testing.T) {
	const step = 40 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 200).Draw(t, "runners")
		bound := time.Duration(rapid.IntRange(2000, 14000).Draw(t, "bound")) * time.Millisecond
		for rank := range total {
			announced := time.Duration(-1)
			now := time.Duration(0)
			for ; ; now += step {
				action := Decide(Situation{Named: 2, Loaded: 1, Bound: bound, Rank: rank, Total: total, Since: now})
				if action == Empty && announced < 0 {
					announced = now
				}
				if action == Order {
					break
				}
			}
			assert.GreaterOrEqual(t, announced, time.Duration(0), "rank %d", rank)
			assert.GreaterOrEqual(t, now-announced, emptyBefore-step, "rank %d", rank)
		}
	})
}

// TestAnnouncementsPutNoLastStartOff: the last batch starts when it would without announcements.
func TestAnnouncementsPutNoLastStartOff(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 5 * time.Second, bound, 14 * time.Second} {
		assert.LessOrEqual(t, StartAfter(17, 18, bound), max(bound-lastMargin, (Batches-1)*leastPace), "bound %v", bound)
	}
}

// TestNewNamesPutNoTurnOff names one version after another in virtual time, with an order of ranks that does not follow what
// the runners have: whatever the names, each runner's weights are gone before they expire.
func TestNewNamesPutNoTurnOff(t *testing.T) {
	const load = 760 * time.Millisecond
	const step = 40 * time.Millisecond
	start := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "runners")
		gaps := rapid.SliceOfN(rapid.IntRange(1, 250), 1, 12).Draw(t, "steps between names")
		named := []time.Duration{0, 0} // version 1 was named long before, version 2 at the start
		for _, gap := range gaps {
			named = append(named, named[len(named)-1]+time.Duration(gap)*step)
		}
		schedules := make([]Schedule, total)
		loaded, ordered := make([]int, total), make([]time.Duration, total)
		for rank := range loaded {
			loaded[rank] = 1
			ordered[rank] = -load
		}
		newest := 2
		for now := time.Duration(0); now < named[len(named)-1]+bound; now += step {
			for newest < len(named) && named[newest] <= now {
				newest++
			}
			for rank := range total {
				s := Situation{
					Named: deployment.WeightVersion(newest), Loaded: deployment.WeightVersion(loaded[rank]), Bound: bound,
					Rank: rank, Total: total, Since: now - named[newest-1], Busy: now < ordered[rank]+load,
				}
				turn := start.Add(named[newest-1] + StartAfter(rank, total, bound))
				s.Earlier = turn.Sub(schedules[rank].Keep(s.Loaded, s.Named, turn))
				if Decide(s) == Order {
					ordered[rank], loaded[rank] = now, newest
				}
				if loaded[rank] < newest {
					assert.Less(t, now, named[loaded[rank]]+bound-load-time.Second, "rank %d has version %d", rank, loaded[rank])
				}
			}
		}
	})
}
