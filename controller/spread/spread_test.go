package spread

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	standin "github.com/rillreach/rillreach/internal/standin/platform"
	"github.com/rillreach/rillreach/replicate"
)

func TestChangeGetsAround(t *testing.T) {
	for _, count := range []int{8, 32} {
		t.Run(fmt.Sprintf("among %d processes", count), func(t *testing.T) {
			f := newFleet(t, count)
			f.settled()
			before := f.cost()
			const changes = 5
			for i := range changes {
				f.awaitAll(f.write("row-1", fmt.Sprint(i)), count)
			}
			after := f.cost()
			assert.LessOrEqual(t, after.pushes-before.pushes, int64(changes*count*2*replicate.WatchersPerZone), "pushes")
		})
	}
}

func TestChangeGetsAroundWithAThirdInTrouble(t *testing.T) {
	const count = 32
	t.Run("cut off and joined again", func(t *testing.T) {
		f := newFleet(t, count)
		f.settled()
		for i := 0; i < count; i += 3 {
			f.network.cutOff(f.nodes[i].address.String())
			f.nodes[i].gate.shut.Store(true)
		}
		version := f.write("row-1", "while cut")
		f.awaitAll(version, count-(count+2)/3)
		for i := 0; i < count; i += 3 {
			f.network.join(f.nodes[i].address.String())
			f.nodes[i].gate.shut.Store(false)
		}
		f.awaitAll(version, count)
	})
	t.Run("frozen and thawed", func(t *testing.T) {
		f := newFleet(t, count)
		f.settled()
		for i := 0; i < count; i += 3 {
			f.network.freeze(f.nodes[i].address.String())
		}
		version := f.write("row-1", "while frozen")
		f.awaitAll(version, count-(count+2)/3)
		for i := 0; i < count; i += 3 {
			f.network.thaw(f.nodes[i].address.String())
		}
		f.awaitAll(version, count)
	})
	t.Run("restarted", func(t *testing.T) {
		f := newFleet(t, count)
		f.settled()
		for i := 0; i < count; i += 3 {
			f.restart(i)
		}
		f.awaitAll(f.write("row-1", "after restart"), count)
	})
}

func TestPlatformOutage(t *testing.T) {
	const count = 16
	t.Run("a process that restarts learns the table from its peers", func(t *testing.T) {
		f := newFleet(t, count)
		f.settled()
		version := f.write("row-1", "before the outage")
		f.awaitAll(version, count)
		f.platform.SetFaults(standin.Faults{Down: true})
		f.restart(5)
		f.restart(6)
		f.awaitAll(version, count)
	})
	t.Run("a change after the outage gets around", func(t *testing.T) {
		f := newFleet(t, count)
		f.settled()
		f.platform.SetFaults(standin.Faults{Down: true})
		f.callsFail(3)
		f.platform.SetFaults(standin.Faults{})
		f.awaitAll(f.write("row-1", "after the outage"), count)
	})
	t.Run("a slow platform delays a change and loses none", func(t *testing.T) {
		f := newFleet(t, count)
		f.settled()
		f.platform.SetFaults(standin.Faults{Delay: 300 * time.Millisecond})
		f.awaitAll(f.write("row-1", "slowly"), count)
	})
}

func TestBurstIsSparingOnThePlatform(t *testing.T) {
	const count, changes = 8, 100
	f := newFleet(t, count)
	f.settled()
	before, start := f.cost(), time.Now()
	var version uint64
	for i := range changes {
		version = f.write("row-1", fmt.Sprint(i))
	}
	f.awaitAll(version, count)
	gaps := int64(time.Since(start)/watchGap) + 2
	const kinds = 2
	assert.LessOrEqual(t, f.cost().calls-before.calls, gaps*zoneCount*replicate.WatchersPerZone*kinds, "calls of the platform")
}

func TestCountAll(t *testing.T) {
	const count = 24
	f := newFleet(t, count)
	f.settled()
	version := f.write("row-1", "counted")
	f.awaitAll(version, count)
	t.Run("every process is counted once", func(t *testing.T) {
		counted := f.nodes[3].CountReplicas(context.Background(), rillreach.KindRow, version)
		assert.Equal(t, fleet.VersionCounts{InForce: count}, counted)
	})
	t.Run("a later version is in force nowhere", func(t *testing.T) {
		counted := f.nodes[3].CountReplicas(context.Background(), rillreach.KindRow, version+1000)
		assert.Equal(t, fleet.VersionCounts{Behind: count}, counted)
	})
}

// BenchmarkChange measures one change of a row among several sizes of fleet: the time until it is in force everywhere,
// and what that costs each process and the platform.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			f.settled()
			before, start := f.cost(), time.Now()
			var total, worst time.Duration
			changes := 0
			for b.Loop() {
				took := f.awaitAll(f.write("row-1", fmt.Sprint(changes)), count)
				total += took
				worst = max(worst, took)
				changes++
			}
			report(b, f, before, changes, time.Since(start))
			b.ReportMetric(float64(total.Microseconds())/1000/float64(changes), "ms-mean/change")
			b.ReportMetric(float64(worst.Microseconds())/1000, "ms-worst/change")
		})
	}
}

func report(b *testing.B, f *testFleet, before cost, changes int, took time.Duration) {
	b.Helper()
	after := f.cost()
	per := func(count int64) float64 { return float64(count) / float64(len(f.nodes)) / float64(changes) }
	b.ReportMetric(per(after.pushes-before.pushes), "pushes/node/change")
	b.ReportMetric(per(after.bytes-before.bytes), "bytes/node/change")
	b.ReportMetric(float64(after.calls-before.calls)/float64(changes), "platform-calls/change")
	b.ReportMetric(float64(after.digests-before.digests)/float64(len(f.nodes))/took.Seconds(), "digests/node/s")
}

// BenchmarkRest measures what the fleet spends each second when nothing changes.
func BenchmarkRest(b *testing.B) {
	for _, count := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			f.settled()
			before, start := f.cost(), time.Now()
			for b.Loop() {
				time.Sleep(100 * time.Millisecond)
			}
			after, took := f.cost(), time.Since(start).Seconds()
			digests := float64(after.digests - before.digests)
			b.ReportMetric(float64(after.bytes-before.bytes)/digests, "bytes/digest")
			b.ReportMetric(digests/float64(count)/took, "digests/node/s")
			b.ReportMetric(float64(after.calls-before.calls)/took, "platform-calls/s")
		})
	}
}

// TestDeadWatchersAreReplaced cuts off both watchers of the only zone, while the platform goes on listing them: another
// process takes their place, and a change gets around.
func TestDeadWatchersAreReplaced(t *testing.T) {
	const count = 12
	f := newFleetInZones(t, count, 1)
	f.settled()
	cut := 0
	for _, n := range f.nodes {
		if n.currentPlan().IsWatcher {
			f.network.cutOff(n.address.String())
			n.gate.shut.Store(true)
			cut++
		}
	}
	assert.Equal(t, replicate.WatchersPerZone, cut)
	f.awaitAll(f.write("row-1", "after the watchers' death"), count-cut)
}
