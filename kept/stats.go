package kept

import "sync/atomic"

// Stats counts the transfers and failures of a keeper since it was created.
type Stats struct {
	// Imports, Exports and Copies count the transferred blocks.
	Imports atomic.Int64
	Exports atomic.Int64
	Copies  atomic.Int64
	// ReadBytes and WrittenBytes count the transferred bytes.
	ReadBytes    atomic.Int64
	WrittenBytes atomic.Int64
	// Corrupted counts blocks that failed verification.
	Corrupted atomic.Int64
	// Failed counts failed reads, writes and lookups, Dropped the jobs that were dropped because the queue was full.
	Failed  atomic.Int64
	Dropped atomic.Int64
}
