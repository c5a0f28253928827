package keep

import (
	"sync"
	"time"
)

const (
	// DefaultLinkRate is the rate assumed for a link before any transfer was measured, in bytes a second.
	DefaultLinkRate = 100 << 20

	// rateSmoothing is the weight of a new measurement in the moving average of the rate.
	rateSmoothing = 0.25
	// timeoutFactor is how many times its estimated duration an import may take before it times out.
	timeoutFactor = 2
	// minImportTimeout keeps small imports from timing out on a short delay.
	minImportTimeout = 50 * time.Millisecond
	// initialBackoff and maxBackoff bound how long a link is not used after a failure; the time doubles with each
	// consecutive failure.
	initialBackoff = time.Second
	maxBackoff     = time.Minute
	// backgroundShare is the share of one second of a link's rate that background transfers in progress may take up.
	backgroundShare = 0.5
)

// Link tracks the connection to one store: its measured rate, the transfers in progress, and whether it should be used.
// Imports have priority over background transfers, that is exports and copies.
type Link struct {
	mu              sync.Mutex
	rate            float64
	importBytes     int64
	backgroundBytes int64
	failures        int // consecutive
	avoidUntil      time.Time
}

// Rate returns the measured rate in bytes a second, or DefaultLinkRate before the first measurement.
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

// Usable reports whether the link is not backing off after a failure.
func (l *Link) Usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.avoidUntil)
}

// EstimateImport returns how long an import of the given size would take, including the imports in progress.
func (l *Link) EstimateImport(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return seconds(float64(l.importBytes+bytes) / l.currentRate())
}

// ImportTimeout returns the time after which an import of the given size should be given up.
func (l *Link) ImportTimeout(bytes int64) time.Duration {
	return max(timeoutFactor*l.EstimateImport(bytes), minImportTimeout)
}

// BeginImport records the start of an import.
func (l *Link) BeginImport(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.importBytes += bytes
}

// TryBeginBackground records the start of an export or copy. It returns false if the transfer must not start now:
// because an import is in progress, or because background transfers would exceed backgroundShare. Without imports, a
// single background transfer may start whatever its size.
func (l *Link) TryBeginBackground(bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.importBytes > 0 {
		return false
	}
	if l.backgroundBytes > 0 && float64(l.backgroundBytes+bytes) > backgroundShare*l.currentRate() {
		return false
	}
	l.backgroundBytes += bytes
	return true
}

// EndImport records the end of an import. It updates the measured rate and, after a failure, starts the backoff.
func (l *Link) EndImport(now time.Time, bytes int64, took time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.importBytes -= bytes
	l.record(now, bytes, took, ok)
}

// EndBackground records the end of an export or copy, as EndImport does.
func (l *Link) EndBackground(now time.Time, bytes int64, took time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backgroundBytes -= bytes
	l.record(now, bytes, took, ok)
}

// record updates the measured rate and the backoff after a transfer.
func (l *Link) record(now time.Time, bytes int64, took time.Duration, ok bool) {
	if !ok {
		l.avoidUntil = now.Add(min(initialBackoff<<min(l.failures, 6), maxBackoff)) // six doublings exceed maxBackoff
		l.failures++
	} else {
		l.failures = 0
	}
	if took <= 0 || bytes <= 0 {
		return
	}
	measured := float64(bytes) / took.Seconds()
	if l.rate <= 0 {
		l.rate = measured
		return
	}
	l.rate += rateSmoothing * (measured - l.rate)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
