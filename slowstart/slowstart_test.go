package slowstart

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach/permit"
)

var start = time.Unix(1000, 0)

// simulation runs the agent of one cold runner, and the entries that follow it, in virtual time.
type simulation struct {
	limits    Limits
	now       time.Time
	allocator *permit.Allocator
	shares    map[int]*permit.Share
	// allocations holds the time of allocation of each permit.
	allocations []time.Time
}

func newSimulation(l Limits) *simulation {
	return &simulation{limits: l, now: start, allocator: &permit.Allocator{}, shares: map[int]*permit.Share{}}
}

// restart replaces the agent by a new process, which all entries follow anew.
func (s *simulation) restart() {
	s.allocator, s.shares = &permit.Allocator{}, map[int]*permit.Share{}
	s.allocator.Start(s.now)
}

// allocateTo allocates permits to an entry, which starts to follow the agent if it does not do so yet.
func (s *simulation) allocateTo(entry int) {
	if s.shares[entry] == nil {
		s.shares[entry] = &permit.Share{}
	}
	for range s.allocator.Allocate(s.now, s.shares[entry], len(s.shares), s.limits.Rate()) {
		s.allocations = append(s.allocations, s.now)
	}
}

// maxRequestsInOneSecond returns the highest possible number of requests in any one second, with each permit used at
// the worst possible time.
func (s *simulation) maxRequestsInOneSecond() int {
	highest := 0
	for i, first := range s.allocations {
		// The first permit is used as late as its validity allows, and the second starts at that time.
		end := first.Add(permit.Validity + time.Second)
		n, _ := slices.BinarySearchFunc(s.allocations, end, func(a, b time.Time) int { return a.Compare(b) })
		highest = max(highest, n-i)
	}
	return highest
}

func drawLimits(t *rapid.T) Limits {
	return Limits{
		PerSecond: rapid.Float64Range(1, 100).Draw(t, "per second"), Factor: rapid.Float64Range(1, 3).Draw(t, "factor"), Slack: rapid.Float64Range(1, 20).Draw(t, "slack"),
	}
}

// TestRequestsStayWithinBound guards against permits that allow more requests in one second than the bound, while
// entries join, leave, freeze or are updated late, and while the agent restarts.
func TestRequestsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(drawLimits(t))
		entries := rapid.IntRange(1, 830).Draw(t, "entries")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				s.restart()
			case 1:
				delete(s.shares, rapid.IntRange(0, entries-1).Draw(t, "leaves"))
			default:
				for range rapid.IntRange(1, 40).Draw(t, "updates") {
					s.allocateTo(rapid.IntRange(0, entries-1).Draw(t, "entry"))
				}
			}
		}
		assert.LessOrEqual(t, float64(s.maxRequestsInOneSecond()), s.limits.maxPerSecond())
	})
}

// TestRateIsNotUnderused guards against an allocation far below the rate that the runner can handle while all entries
// are updated regularly.
func TestRateIsNotUnderused(t *testing.T) {
	const (
		seconds  = 30
		interval = 80 * time.Millisecond
	)
	limits := Limits{PerSecond: 11, Factor: 1.5, Slack: 5}
	for _, entries := range []int{1, 3, 25, 103, 830} {
		s := newSimulation(limits)
		for s.now.Before(start.Add(seconds * time.Second)) {
			for entry := range entries {
				s.allocateTo(entry)
			}
			s.now = s.now.Add(interval)
		}
		assert.GreaterOrEqual(t, float64(len(s.allocations)), 0.8*limits.PerSecond*seconds, "%d entries", entries)
	}
}
