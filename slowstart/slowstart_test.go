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

// fleet is one cold runner's agent with entries that follow it, in virtual time.
type fleet struct {
	limits   Limits
	now      time.Time
	allotter *permit.Allocator
	shares   map[int]*permit.Share
	// allotted are the moments at which permits were allotted.
	allotted []time.Time
}

func newFleet(l Limits) *fleet {
	return &fleet{limits: l, now: start, allotter: &permit.Allocator{}, shares: map[int]*permit.Share{}}
}

// restart is an agent's new process, which its followers come to anew.
func (f *fleet) restart() {
	f.allotter, f.shares = &permit.Allocator{}, map[int]*permit.Share{}
	f.allotter.Start(f.now)
}

// tell has an entry told, which may come for the first time.
func (f *fleet) tell(entry int) {
	if f.shares[entry] == nil {
		f.shares[entry] = &permit.Share{}
	}
	for range f.allotter.Allocate(f.now, f.shares[entry], len(f.shares), f.limits.Rate()) {
		f.allotted = append(f.allotted, f.now)
	}
}

// mostInOneSecond is how many requests may come in any one second where each permit is used at the worst moment.
func (f *fleet) mostInOneSecond() int {
	most := 0
	for i, first := range f.allotted {
		// A permit that was allotted then is used as late as it may be, and the second begins there.
		end := first.Add(permit.Validity + time.Second)
		n, _ := slices.BinarySearchFunc(f.allotted, end, func(a, b time.Time) int { return a.Compare(b) })
		most = max(most, n-i)
	}
	return most
}

func drawLimits(t *rapid.T) Limits {
	return Limits{
		PerSecond: rapid.Float64Range(1, 100).Draw(t, "per second"), Factor: rapid.Float64Range(1, 3).Draw(t, "over"), Slack: rapid.Float64Range(1, 20).Draw(t, "slack"),
	}
}

// TestBoundHolds draws entries that come, go, freeze and hear late, and agents that start again.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(drawLimits(t))
		entries := rapid.IntRange(1, 830).Draw(t, "entries")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				f.restart()
			case 1:
				delete(f.shares, rapid.IntRange(0, entries-1).Draw(t, "leaves"))
			default:
				for range rapid.IntRange(1, 40).Draw(t, "told") {
					f.tell(rapid.IntRange(0, entries-1).Draw(t, "entry"))
				}
			}
		}
		assert.LessOrEqual(t, float64(f.mostInOneSecond()), f.limits.most())
	})
}

// TestRateIsUsed: where all is well, the entries together are allotted nearly all that the runner bears, each about the same.
func TestRateIsUsed(t *testing.T) {
	const (
		seconds = 30
		every   = 80 * time.Millisecond
	)
	limits := Limits{PerSecond: 11, Factor: 1.5, Slack: 5}
	for _, entries := range []int{1, 3, 25, 103, 830} {
		f := newFleet(limits)
		for f.now.Before(start.Add(seconds * time.Second)) {
			for entry := range entries {
				f.tell(entry)
			}
			f.now = f.now.Add(every)
		}
		assert.GreaterOrEqual(t, float64(len(f.allotted)), 0.8*limits.PerSecond*seconds, "%d entries", entries)
	}
}
