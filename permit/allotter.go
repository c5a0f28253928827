package permit

import (
	"sync"
	"time"
)

// Validity is how long a permit can be used after it was allocated.
const Validity = 500 * time.Millisecond

// minFollowerBurst is the least burst of one follower, in permits. It lets a follower that is updated rarely use its
// share of the rate.
const minFollowerBurst = 2.0

// Rate bounds the allocation of permits: PerSecond is the sustained rate, Burst the most permits at once. The zero
// value allows none.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// bucket is a token bucket. Its zero value is empty and accrues tokens from the first call to refill.
type bucket struct {
	tokens   float64
	refilled time.Time
}

// refill adds the tokens accrued since the last call, up to the capacity.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if !b.refilled.IsZero() {
		b.tokens = min(capacity, b.tokens+rate*max(0, now.Sub(b.refilled).Seconds()))
	}
	b.refilled = now
}

// Allocator allocates the permits for one runner. Its zero value is ready to use, and it is safe for concurrent use.
// It starts without permits because a previous process may have allocated some just before.
type Allocator struct {
	mu     sync.Mutex
	bucket bucket
}

// Start makes permits accrue from now on. Without it, they accrue from the first call to Allocate.
func (a *Allocator) Start(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.refilled = now
}

// Share limits one follower to its share of the rate. The zero value is the state of a new follower.
type Share struct{ bucket bucket }

// Allocate returns the number of permits allocated to one follower, which is bounded by the runner's rate r and by the
// follower's equal share of it.
func (a *Allocator) Allocate(now time.Time, share *Share, followers int, r Rate) int {
	if r.PerSecond <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.refill(now, r.PerSecond, r.Burst)
	if share.bucket.refilled.IsZero() {
		share.bucket.tokens = 1
	}
	sharers := float64(max(followers, 1))
	share.bucket.refill(now, r.PerSecond/sharers, max(minFollowerBurst, r.Burst/sharers))
	n := int(min(a.bucket.tokens, share.bucket.tokens))
	a.bucket.tokens -= float64(n)
	share.bucket.tokens -= float64(n)
	return n
}
