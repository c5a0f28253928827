package slowstart

import (
	"sync"
	"time"
)

// Validity is for how long a permit may be used after it was allotted.
const Validity = 500 * time.Millisecond

const (
	// burstShare is the part of the slack that may be allotted at once; the rest is left for clocks that are read early or late.
	burstShare = 0.8
	// leastBurst lets a permit be allotted whole, leastShare lets followers that are told seldom have their part of the rate.
	leastBurst = 1.0
	leastShare = 2.0
)

// Limits are what a cold runner bears, and the bound that all senders together have to keep.
type Limits struct {
	// PerSecond is how many requests a second it bears; zero says that nothing is bounded.
	PerSecond float64
	// Over and Slack give the most in any one second: PerSecond times Over, plus Slack.
	Over  float64
	Slack float64
}

// Bounded reports that cold runners bear only so many requests.
func (l Limits) Bounded() bool { return l.PerSecond > 0 }

// most is the bound on any one second.
func (l Limits) most() float64 { return l.PerSecond*max(l.Over, 1) + l.Slack }

// burst is how many permits may be allotted at once.
func (l Limits) burst() float64 { return max(leastBurst, l.Slack*burstShare) }

// rate is how many permits are allotted a second: those of one second and of the validity before it may be used together.
func (l Limits) rate() float64 {
	return max(0, min(l.PerSecond*max(l.Over, 1), (l.most()-l.burst())/(1+Validity.Seconds())))
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

// Allotter allots the permits for one runner. Its zero value is ready, and it may be used by several goroutines. It begins with no permit, since an
// earlier process may just have allotted some.
type Allotter struct {
	mu     sync.Mutex
	bucket bucket
}

// Start lets permits accrue from now on; without it they do from the first that is asked for.
func (a *Allotter) Start(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.at = now
}

// Share is what one follower has been allotted; its zero value is that of a follower that has just come.
type Share struct{ bucket bucket }

// Take allots permits to one of so many followers, at most its share of the rate.
func (a *Allotter) Take(now time.Time, share *Share, followers int, l Limits) int {
	if !l.Bounded() {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.fill(now, l.rate(), l.burst())
	if share.bucket.at.IsZero() {
		share.bucket.tokens = 1
	}
	parts := float64(max(followers, 1))
	share.bucket.fill(now, l.rate()/parts, max(leastShare, l.burst()/parts))
	n := int(min(a.bucket.tokens, share.bucket.tokens))
	a.bucket.tokens -= float64(n)
	share.bucket.tokens -= float64(n)
	return n
}
