package keep

import (
	"sync"
	"time"
)

const (
	// DefaultLinkRate is what a link is taken to carry before anything was measured, in bytes a second.
	DefaultLinkRate = 100 << 20

	rateWeight = 0.25
	// slowFactor is how much longer than estimated a transfer may take before it is given up.
	slowFactor = 2
	// minTransfer is the least time a transfer gets, so that small ones are not given up for a hiccup.
	minTransfer = 50 * time.Millisecond
	// avoidFirst and avoidMost bound how long a link that failed is left alone.
	avoidFirst = time.Second
	avoidMost  = time.Minute
	// backgroundShare is the part of a link that exports and copies may fill while imports wait for none of it.
	backgroundShare = 0.5
)

// Link is what is known of the way to one store: what it carries, what is under way on it, and whether to use it.
type Link struct {
	mu       sync.Mutex
	rate     float64
	urgent   int64
	later    int64
	failures int
	avoid    time.Time
}

// Rate is the measured rate in bytes a second.
func (l *Link) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentRate()
}

func (l *Link) currentRate() float64 {
	if l.rate <= 0 {
		return DefaultLinkRate
	}
	return l.rate
}

// Usable reports whether the link is not being left alone after failures.
func (l *Link) Usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.avoid)
}

// EstimateImport is how long an import of some bytes would take, those under way included.
func (l *Link) EstimateImport(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return secondsOf(float64(l.urgent+bytes) / l.currentRate())
}

// ImportTimeout is how long an import may take before it is given up.
func (l *Link) ImportTimeout(bytes int64) time.Duration {
	return max(slowFactor*l.EstimateImport(bytes), minTransfer)
}

// BeginImport counts an import that starts.
func (l *Link) BeginImport(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.urgent += bytes
}

// TryBeginBackground counts an export or copy if there is room for it beside the imports, else it is not to be started. Those
// under way may take no more than their share of a second of the link.
func (l *Link) TryBeginBackground(bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.urgent > 0 {
		return false
	}
	if l.later > 0 && float64(l.later+bytes) > backgroundShare*l.currentRate() {
		return false
	}
	l.later += bytes
	return true
}

// EndImport records how an import went: it moves the measured rate, and has the link left alone after a failure.
func (l *Link) EndImport(now time.Time, bytes int64, took time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.urgent -= bytes
	l.learn(now, bytes, took, ok)
}

// EndBackground records how an export or copy went.
func (l *Link) EndBackground(now time.Time, bytes int64, took time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.later -= bytes
	l.learn(now, bytes, took, ok)
}

func (l *Link) learn(now time.Time, bytes int64, took time.Duration, ok bool) {
	if !ok {
		l.avoid = now.Add(min(avoidFirst<<min(l.failures, 6), avoidMost))
		l.failures++
	} else {
		l.failures = 0
	}
	if took <= 0 || bytes <= 0 {
		return
	}
	seen := float64(bytes) / took.Seconds()
	if l.rate <= 0 {
		l.rate = seen
		return
	}
	l.rate += rateWeight * (seen - l.rate)
}

func secondsOf(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
