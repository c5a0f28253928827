package node

import (
	"context"
	"runtime"
	"runtime/metrics"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach/internal/pause"
)

const (
	// memoryCheckInterval is short enough to notice memory that fills at the speed of a link before the limit is reached.
	memoryCheckInterval = 200 * time.Millisecond
	// highMemoryShare is the share of its limit above which a process logs how much memory it uses, and lowMemoryShare the
	// share below which it logs that again the next time.
	highMemoryShare = 0.7
	lowMemoryShare  = 0.6
)

// The metrics of the Go runtime that tell how much memory the process has from the system.
const (
	metricTotalMemory    = "/memory/classes/total:bytes"
	metricReleasedMemory = "/memory/classes/heap/released:bytes"
	metricLiveHeap       = "/memory/classes/heap/objects:bytes"
)

// MemoryWatch logs when the process comes near its memory limit, since a process that exceeds it is killed without a
// trace. Exported fields are set before Run.
type MemoryWatch struct {
	// LimitBytes is the memory limit of the process. Nothing is watched if it is zero.
	LimitBytes int64
	Log        logr.Logger

	isHigh bool
}

// Run watches until the context ends.
func (m *MemoryWatch) Run(ctx context.Context) {
	if m.LimitBytes > 0 {
		pause.Every(ctx, memoryCheckInterval, func(context.Context) { m.check(ReadMemory()) })
	}
}

// Memory is the memory that the process uses, in bytes.
type Memory struct {
	// Used is what the process has from the system, and Heap the part of it that objects take.
	Used, Heap int64
}

// ReadMemory returns how much memory the process uses now.
func ReadMemory() Memory {
	samples := []metrics.Sample{{Name: metricTotalMemory}, {Name: metricReleasedMemory}, {Name: metricLiveHeap}}
	metrics.Read(samples)
	return Memory{Used: int64(samples[0].Value.Uint64() - samples[1].Value.Uint64()), Heap: int64(samples[2].Value.Uint64())}
}

// check logs if the use of memory has become high.
func (m *MemoryWatch) check(memory Memory) {
	share := float64(memory.Used) / float64(m.LimitBytes)
	switch {
	case share < lowMemoryShare:
		m.isHigh = false
	case share >= highMemoryShare && !m.isHigh:
		m.isHigh = true
		m.Log.Info("memory is nearly used up", "decision", "note", "used", memory.Used, "heap", memory.Heap, "limit", m.LimitBytes, "goroutines", runtime.NumGoroutine())
	}
}
