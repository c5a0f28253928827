package bounded

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// ErrNoMemory means that a Budget is used up.
var ErrNoMemory = errors.New("memory for data of other processes is used up")

// Budget bounds the memory that all reservations take together. Its zero value allows none, and a nil one any amount.
type Budget struct {
	memory *semaphore.Weighted
	used   atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{memory: semaphore.NewWeighted(limit)} }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Reservation is the part of a Budget that one user has. Its methods must not be called concurrently. Exported fields are
// set before use.
type Reservation struct {
	Budget *Budget

	held int64
}

// Grow reserves n more bytes, and reports whether that many are left.
func (r *Reservation) Grow(n int64) bool {
	switch {
	case r.Budget == nil:
		return true
	case r.Budget.memory == nil || !r.Budget.memory.TryAcquire(n):
		return false
	}
	r.Budget.used.Add(n)
	r.held += n
	return true
}

// Release gives everything back.
func (r *Reservation) Release() {
	if r.held == 0 {
		return
	}
	r.Budget.memory.Release(r.held)
	r.Budget.used.Add(-r.held)
	r.held = 0
}

// Reader reads data that is kept in memory, and reserves memory for it. It returns ErrNoMemory, with the data that it has
// read, once there is no more.
type Reader struct {
	From   io.Reader
	Memory *Reservation
}

// Read reads data.
func (r *Reader) Read(buf []byte) (int, error) {
	n, err := r.From.Read(buf)
	if n > 0 && !r.Memory.Grow(int64(n)) {
		return n, ErrNoMemory
	}
	return n, err
}
