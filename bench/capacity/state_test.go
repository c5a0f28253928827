package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/limit"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/replicate"
	"github.com/rillreach/rillreach/table"
)

// heapInUse returns the size of the live heap after garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// benchmarkPerItem builds a state of each size and reports the memory and the time per item.
func benchmarkPerItem(b *testing.B, sizes []int, build func(count int) any) {
	b.Helper()
	for _, count := range sizes {
		b.Run(fmt.Sprintf("items=%d", count), func(b *testing.B) {
			var bytes int64
			for b.Loop() {
				before := heapInUse()
				state := build(count)
				bytes = heapInUse() - before
				runtime.KeepAlive(state)
			}
			b.ReportMetric(float64(bytes)/float64(count), "bytes/item")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/item")
		})
	}
}

func rowObject(i int) rillreach.Object {
	_, credential, err := rillreach.NewAPIKey(rillreach.AccountID(fmt.Sprint("account-", i/2)))
	if err != nil {
		panic(err)
	}
	row := rillreach.Row{
		Format: rillreach.RowFormat, Account: rillreach.AccountID(fmt.Sprint("account-", i/2)),
		Model: rillreach.ModelID(fmt.Sprint("model-", i%37)), Version: "v1",
		Weights: rillreach.Weights{Old: 40, New: 60}, Objective: rillreach.ObjectiveFirstToken,
		Limits:      rillreach.Limits{RequestsPerSecond: 10, TokensPerMinute: 100_000, ConcurrentRequests: 20},
		Credentials: []rillreach.Credential{credential}, Edit: "018f3c2e-7b5a-7cc1-8a1e-3c5d7f9b1a2b",
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return rillreach.Object{Kind: rillreach.KindRow, Name: row.Name(), Version: uint64(i + 1), Changed: time.Now(), Value: value}
}

func instanceObject(i int) rillreach.Object {
	instance := rillreach.Instance{
		ID: rillreach.InstanceID(fmt.Sprintf("agent-%05d", i)), Role: rillreach.RoleAgent, Side: rillreach.SideOld,
		Incarnation: "018f3c2e-7b5a-7cc1-8a1e-3c5d7f9b1a2b", Address: netip.MustParseAddrPort("10.11.12.13:7001"),
		Zone: rillreach.ZoneID(fmt.Sprint("zone-", i%17)), Model: rillreach.ModelID(fmt.Sprint("model-", i%37)),
		Versions: []rillreach.VersionID{"v1"},
	}
	value, err := json.Marshal(instance)
	if err != nil {
		panic(err)
	}
	return rillreach.Object{Kind: rillreach.KindInstance, Name: string(instance.ID), Version: uint64(i + 1), Changed: time.Now(), Value: value}
}

func snapshotOf(kind rillreach.ObjectKind, objects []rillreach.Object) replicate.Delta {
	return replicate.Delta{Snapshot: true, To: replicate.Watermark{Kind: kind, Version: uint64(len(objects) + 1)}, Objects: objects}
}

// BenchmarkRows measures the replica of the rows and the table built from it.
func BenchmarkRows(b *testing.B) {
	benchmarkPerItem(b, []int{1000, 4000, 16000}, func(count int) any {
		rowTable, replica := &table.Table{}, replicate.NewReplica()
		replica.AddKind(rillreach.KindRow, func(o rillreach.Object) { rowTable.Apply(o) }, nil)
		objects := make([]rillreach.Object, count)
		for i := range objects {
			objects[i] = rowObject(i)
		}
		replica.Merge(snapshotOf(rillreach.KindRow, objects))
		return []any{rowTable, replica}
	})
}

// BenchmarkInstances measures the replica of the instances and the membership built from it.
func BenchmarkInstances(b *testing.B) {
	benchmarkPerItem(b, []int{500, 1500, 5030}, func(count int) any {
		members, replica := membership.New(), replicate.NewReplica()
		replica.AddKind(rillreach.KindInstance, func(o rillreach.Object) { _ = members.Apply(o) }, nil)
		objects := make([]rillreach.Object, count)
		for i := range objects {
			objects[i] = instanceObject(i)
		}
		replica.Merge(snapshotOf(rillreach.KindInstance, objects))
		return []any{members, replica}
	})
}

// BenchmarkShares measures the limiters that hold an entry's shares of the limits of rows in use.
func BenchmarkShares(b *testing.B) {
	benchmarkPerItem(b, []int{100, 1000, 10000}, func(count int) any {
		limiters := make([]*limit.Limiter, count)
		for i := range limiters {
			limiters[i] = &limit.Limiter{}
			limiters[i].Admit(time.Now(), 1)
		}
		return limiters
	})
}

// BenchmarkOutcomes measures an agent's ledger of at-most-once requests, with response bodies of 200 bytes.
func BenchmarkOutcomes(b *testing.B) {
	benchmarkPerItem(b, []int{1000, 4000, 16000}, func(count int) any {
		ledger, now := &once.Ledger{}, time.Now()
		for i := range count {
			name := fmt.Sprintf("key/account/service/018f3c2e-7b5a-7cc1-8a1e-%012d", i)
			ledger.Claim(now, once.Claim{Name: name, Expires: now.Add(time.Hour)})
			ledger.Settle(name, once.Outcome{Status: 200, Body: make([]byte, 200)})
		}
		return ledger
	})
}

// BenchmarkResident measures an agent's estimate of the contents of its engine's cache.
func BenchmarkResident(b *testing.B) {
	benchmarkPerItem(b, []int{500, 1000, 4000}, func(count int) any {
		estimate := &keep.CacheEstimate{}
		for i := range count {
			estimate.Add(rillreach.BlockKey{byte(i), byte(i >> 8)}, "salt", 100)
		}
		return estimate
	})
}

// TestObjectsDecode checks that the objects used by the benchmarks are valid.
func TestObjectsDecode(t *testing.T) {
	_, err := rillreach.DecodeRow(rowObject(3).Value)
	require.NoError(t, err)
	_, err = rillreach.DecodeInstance(instanceObject(3).Value)
	require.NoError(t, err)
}

// stackInUse returns the memory in use for goroutine stacks.
func stackInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.StackInuse)
}
