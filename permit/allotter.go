package permit

import (
	"sync"
	"time"
)

// Validity is for how long a permit may be used after it was allotted.
const Validity = 500 * time.Millisecond

// leastShare lets followers that are told seldom have their part of the rate, in permits.
const leastShare = 2.0

// Rate is how many permits are allotted a second, and at once at the most; the zero value allots none.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// bucket is a token bucket; its zero value is empty and begins to fill at the first look.
type bucket struct {
	tokens float64
	at     time.Time
}

// fill adds what has come since the last look.
func (b *bucket) fill(now time.Time, rate, most float64) {
	if !b.at.IsZero() {
		b.tokens = min(most, b.tokens+rate*max(0, now.Sub(b.at).Seconds()))
	}
	b.at = now
}

// Allocator allots the permits for one runner. Its zero value is ready, and it may be used by several goroutines. It begins with no permit, since an
// earlier process may just have allotted some.
type Allocator struct {
	mu     sync.Mutex
	bucket bucket
}

// Start lets permits accrue from now on; without it they do from the first that is asked for.
func (a *Allocator) Start(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.at = now
}

// Share is what one follower has been allotted; its zero value is that of a follower that has just come.
type Share struct{ bucket bucket }

// Allocate allots permits to one of so many followers, at most its share of the rate.
func (a *Allocator) Allocate(now time.Time, share *Share, followers int, r Rate) int {
	if r.PerSecond <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.fill(now, r.PerSecond, r.Burst)
	if share.bucket.at.IsZero() {
		share.bucket.tokens = 1
	}
	parts := float64(max(followers, 1))
	share.bucket.fill(now, r.PerSecond/parts, max(leastShare, r.Burst/parts))
	n := int(min(a.bucket.tokens, share.bucket.tokens))
	a.bucket.tokens -= float64(n)
	share.bucket.tokens -= float64(n)
	return n
}
