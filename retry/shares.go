package retry

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// slotCount is the number of time slots that make up the sliding window.
	slotCount = 10
	// DefaultEntries is the number of entries assumed to share the slack until SetEntries is called.
	DefaultEntries = 8
	// usableFraction is the fraction of ratio and slack that is used. The rest covers requests that are counted late.
	usableFraction = 0.85
)

// ServiceBudgets bounds the repeats sent to each service. A repeat is any send of a request beyond its first, such as a
// retry or a hedge. The bound applies to all entries together, over a sliding window: each entry may send Ratio times
// its own requests plus an equal share of Slack, without coordination. The exported fields must be set before use. It
// is safe for concurrent use.
type ServiceBudgets struct {
	// Ratio is the number of repeats allowed per request, and Slack the number allowed in addition for all entries
	// together, both within any Window.
	Ratio  float64
	Window time.Duration
	Slack  float64

	mu       sync.Mutex
	entries  int
	started  time.Time
	services map[rillreach.ServiceID]*window
}

// window counts the requests and repeats of one service in a ring of time slots.
type window struct {
	requests [slotCount]int
	repeats  [slotCount]int
	// lastSlot is the number of the latest slot, counted from ServiceBudgets.started.
	lastSlot int64
}

// SetEntries sets the number of entries that share the slack.
func (b *ServiceBudgets) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = n
}

// Entries returns the number of entries that share the slack, or DefaultEntries if it is not known.
func (b *ServiceBudgets) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entryCount()
}

// entryCount is Entries for callers that hold the lock.
func (b *ServiceBudgets) entryCount() int {
	if b.entries == 0 {
		return DefaultEntries
	}
	return b.entries
}

// RecordRequest counts a caller's request to the service.
func (b *ServiceBudgets) RecordRequest(now time.Time, service rillreach.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(now, service)
	w.requests[i]++
}

// Allows reports whether the budget of the service allows another repeat.
func (b *ServiceBudgets) Allows(now time.Time, service rillreach.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, _ := b.window(now, service)
	return b.hasRoom(w)
}

// TrySpend counts a repeat if the budget of the service allows it, and reports whether it does.
func (b *ServiceBudgets) TrySpend(now time.Time, service rillreach.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(now, service)
	if !b.hasRoom(w) {
		return false
	}
	w.repeats[i]++
	return true
}

// Usage is what this entry's budget for a service is decided by.
type Usage struct {
	// Requests and Repeats are the numbers counted in the window, and Allowed the number of repeats that they allow.
	Requests, Repeats int
	Allowed           float64
	// Entries is the number of entries by which the slack is divided.
	Entries int
}

// Usage returns what the budget for the service is decided by now.
func (b *ServiceBudgets) Usage(now time.Time, service rillreach.ServiceID) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, _ := b.window(now, service)
	u := Usage{Entries: b.entryCount()}
	for _, n := range w.requests {
		u.Requests += n
	}
	u.Repeats, u.Allowed = b.usage(w)
	return u
}

// Remaining returns the unused fraction of this entry's budget, for the service with the least left.
func (b *ServiceBudgets) Remaining(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	lowest := 1.0
	for name := range b.services {
		w, _ := b.window(now, name)
		spent, allowed := b.usage(w)
		if allowed > 0 {
			lowest = min(lowest, max(0, 1-float64(spent)/allowed))
		}
	}
	return lowest
}

// hasRoom reports whether one more repeat stays within this entry's budget.
func (b *ServiceBudgets) hasRoom(w *window) bool {
	repeats, allowed := b.usage(w)
	return float64(repeats+1) <= allowed
}

// usage returns the number of repeats in the window, and the number that this entry's budget allows.
func (b *ServiceBudgets) usage(w *window) (repeats int, allowed float64) {
	requests := 0
	for k := range slotCount {
		requests += w.requests[k]
		repeats += w.repeats[k]
	}
	return repeats, usableFraction * (b.Ratio*float64(requests) + b.Slack/float64(b.entryCount()))
}

// window returns the counts of a service and the index of the current slot. It clears the slots that have left the
// window.
func (b *ServiceBudgets) window(now time.Time, service rillreach.ServiceID) (*window, int) {
	if b.services == nil {
		b.services = map[rillreach.ServiceID]*window{}
		b.started = now
	}
	w := b.services[service]
	current := int64(now.Sub(b.started) / max(b.Window/slotCount, 1)) // by the monotonic clock
	if w == nil {
		w = &window{lastSlot: current}
		b.services[service] = w
	}
	for range min(max(current-w.lastSlot, 0), slotCount) {
		w.lastSlot++
		w.requests[w.lastSlot%slotCount], w.repeats[w.lastSlot%slotCount] = 0, 0
	}
	w.lastSlot = max(w.lastSlot, current)
	return w, int(w.lastSlot % slotCount)
}
