package kept

import "sync/atomic"

// Stats counts a keeper's work since its start.
type Stats struct {
	// Imports, Exports and Copies count the blocks that went over links.
	Imports atomic.Int64
	Exports atomic.Int64
	Copies  atomic.Int64
	// ReadBytes and WrittenBytes are what went over links.
	ReadBytes    atomic.Int64
	WrittenBytes atomic.Int64
	// Corrupted counts blocks that were not as they were sealed.
	Corrupted atomic.Int64
	// Failed counts reads and writes that failed, Dropped work that there was no room for.
	Failed  atomic.Int64
	Dropped atomic.Int64
}
