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

func TestChangeReachesAllProcesses(t *testing.T) {
	for _, count := range []int{8, 32} {
		t.Run(fmt.Sprintf("among %d processes", count), func(t *testing.T) {
			f := newFleet(t, count)
			f.awaitSettled()
			before := f.cost()
			const changes = 5
			for i := range changes {
				f.awaitVersion(f.write("row-1", fmt.Sprint(i)), count)
			}
			after := f.cost()
			assert.LessOrEqual(t, after.pushes-before.pushes, int64(changes*count*2*replicate.WatchersPerZone), "pushes")
		})
	}
}

func TestChangeReachesAllAfterThirdIsUnavailable(t *testing.T) {
	const count = 32
	t.Run("disconnected and reconnected", func(t *testing.T) {
		f := newFleet(t, count)
		f.awaitSettled()
		for i := 0; i < count; i += 3 {
			f.network.disconnect(f.nodes[i].address.String())
			f.nodes[i].store.blocked.Store(true)
		}
		version := f.write("row-1", "while disconnected")
		f.awaitVersion(version, count-(count+2)/3)
		for i := 0; i < count; i += 3 {
			f.network.reconnect(f.nodes[i].address.String())
			f.nodes[i].store.blocked.Store(false)
		}
		f.awaitVersion(version, count)
	})
	t.Run("frozen and unfrozen", func(t *testing.T) {
		f := newFleet(t, count)
		f.awaitSettled()
		for i := 0; i < count; i += 3 {
			f.network.freeze(f.nodes[i].address.String())
		}
		version := f.write("row-1", "while frozen")
		f.awaitVersion(version, count-(count+2)/3)
		for i := 0; i < count; i += 3 {
			f.network.unfreeze(f.nodes[i].address.String())
		}
		f.awaitVersion(version, count)
	})
	t.Run("restarted", func(t *testing.T) {
		f := newFleet(t, count)
		f.awaitSettled()
		for i := 0; i < count; i += 3 {
			f.restart(i)
		}
		f.awaitVersion(f.write("row-1", "after restart"), count)
	})
}

func TestPlatformOutage(t *testing.T) {
	const count = 16
	t.Run("a restarted process gets the table from its peers", func(t *testing.T) {
		f := newFleet(t, count)
		f.awaitSettled()
		version := f.write("row-1", "before the outage")
		f.awaitVersion(version, count)
		f.platform.SetFaults(standin.Faults{Down: true})
		f.restart(5)
		f.restart(6)
		f.awaitVersion(version, count)
	})
	t.Run("a change after the outage reaches all processes", func(t *testing.T) {
		f := newFleet(t, count)
		f.awaitSettled()
		f.platform.SetFaults(standin.Faults{Down: true})
		f.awaitCalls(3)
		f.platform.SetFaults(standin.Faults{})
		f.awaitVersion(f.write("row-1", "after the outage"), count)
	})
	t.Run("a slow platform delays a change but does not lose it", func(t *testing.T) {
		f := newFleet(t, count)
		f.awaitSettled()
		f.platform.SetFaults(standin.Faults{Delay: 300 * time.Millisecond})
		f.awaitVersion(f.write("row-1", "while slow"), count)
	})
}

func TestBurstLimitsPlatformCalls(t *testing.T) {
	const count, changes = 8, 100
	f := newFleet(t, count)
	f.awaitSettled()
	before, start := f.cost(), time.Now()
	var version uint64
	for i := range changes {
		version = f.write("row-1", fmt.Sprint(i))
	}
	f.awaitVersion(version, count)
	maxWatches := int64(time.Since(start)/coalesceDelay) + 2
	const kinds = 2
	assert.LessOrEqual(t, f.cost().calls-before.calls, maxWatches*zoneCount*replicate.WatchersPerZone*kinds, "platform calls")
}

func TestCountReplicas(t *testing.T) {
	const count = 24
	f := newFleet(t, count)
	f.awaitSettled()
	version := f.write("row-1", "counted")
	f.awaitVersion(version, count)
	t.Run("every process is counted once", func(t *testing.T) {
		counted := f.nodes[3].CountReplicas(context.Background(), rillreach.KindRow, version)
		assert.Equal(t, fleet.VersionCounts{InForce: count}, counted)
	})
	t.Run("a later version is in force nowhere", func(t *testing.T) {
		counted := f.nodes[3].CountReplicas(context.Background(), rillreach.KindRow, version+1000)
		assert.Equal(t, fleet.VersionCounts{Behind: count}, counted)
	})
}

// BenchmarkChange measures one change of a row in fleets of several sizes: the time until it has reached all processes,
// and the load on each process and the platform.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			f.awaitSettled()
			before, start := f.cost(), time.Now()
			var total, worst time.Duration
			changes := 0
			for b.Loop() {
				took := f.awaitVersion(f.write("row-1", fmt.Sprint(changes)), count)
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
	b.ReportMetric(float64(after.syncs-before.syncs)/float64(len(f.nodes))/took.Seconds(), "digests/node/s")
}

// BenchmarkIdle measures the load of a fleet in which nothing changes.
func BenchmarkIdle(b *testing.B) {
	for _, count := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			f.awaitSettled()
			before, start := f.cost(), time.Now()
			for b.Loop() {
				time.Sleep(100 * time.Millisecond)
			}
			after, took := f.cost(), time.Since(start).Seconds()
			syncs := float64(after.syncs - before.syncs)
			b.ReportMetric(float64(after.bytes-before.bytes)/syncs, "bytes/digest")
			b.ReportMetric(syncs/float64(count)/took, "digests/node/s")
			b.ReportMetric(float64(after.calls-before.calls)/took, "platform-calls/s")
		})
	}
}

// TestDeadWatchersAreReplaced guards against changes that reach no process because all watchers of a zone are
// unreachable while the platform still lists them. Other processes have to replace them as watchers.
func TestDeadWatchersAreReplaced(t *testing.T) {
	const count = 12
	f := newFleetInZones(t, count, 1)
	f.awaitSettled()
	disconnected := 0
	for _, n := range f.nodes {
		if n.currentPlan().IsWatcher {
			f.network.disconnect(n.address.String())
			n.store.blocked.Store(true)
			disconnected++
		}
	}
	assert.Equal(t, replicate.WatchersPerZone, disconnected)
	f.awaitVersion(f.write("row-1", "after loss of the watchers"), count-disconnected)
}
