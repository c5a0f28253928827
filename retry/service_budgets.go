package retry

import (
	"math"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// slotsPerWindow is the number of time slots that make up a window.
	slotsPerWindow = 40
	// slotCount is the number of time slots for which requests are counted: two windows.
	slotCount = 2 * slotsPerWindow
	// maxExtra is the largest number of repeats in a window that an entry sends beyond those that its requests allow.
	maxExtra = 2
)

// ServiceBudgets bounds the repeats sent to each service. A repeat is any send of a request beyond its first, such as a
// retry or a hedge. The repeats of all entries together must not exceed Ratio times the requests of the same window, or of
// the one before if that has more, plus Slack.
//
// Each entry keeps to Ratio times the mean of its own requests in the two windows, over every window. The sum of these
// means is never more than the larger one of the two sums. So this part holds whatever the number of entries, however
// requests move between them, and if processes are replaced by new ones, which know of no earlier requests and repeats.
//
// Of Slack, an entry uses no more than maxExtra repeats in each window, and none in its first one, so that those of a
// predecessor are covered. The rest is left for repeats that arrive late.
//
// The exported fields must be set before use. It is safe for concurrent use.
type ServiceBudgets struct {
	// Ratio is the number of repeats allowed per request, and Slack the number allowed in addition for all entries
	// together, both within any Window.
	Ratio  float64
	Window time.Duration
	Slack  float64
	// Started is when the process started.
	Started time.Time
	// Entries returns the number of entries as far as it is known. A number that is too small does not raise what an entry
	// uses of Slack above maxExtra.
	Entries func() int

	mu       sync.Mutex
	services map[rillreach.ServiceID]*window
}

// window counts the requests and repeats of one service in a ring of time slots.
type window struct {
	requests [slotCount]int
	// earned and extra are the repeats that the requests allow, and those that the slack allows beyond.
	earned [slotCount]int
	extra  [slotCount]int
	// lastSlot is the number of the latest slot, counted from ServiceBudgets.Started.
	lastSlot int64
	// reserved is the number of repeats that are set aside and have yet to be sent.
	reserved int
}

// Repeat is a repeat that the budget of a service has set aside. It is either sent or returned, or returned after it was
// sent if it has not reached a runner.
type Repeat struct {
	budgets *ServiceBudgets
	service rillreach.ServiceID
	// sentAs is the ring in which the repeat was counted when it was sent, in the given slot. It is nil before.
	sentAs *[slotCount]int
	slot   int64
}

// RecordRequest counts a caller's request to the service.
func (b *ServiceBudgets) RecordRequest(now time.Time, service rillreach.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[index(w.lastSlot)]++
}

// Allows reports whether the budget of the service allows another repeat.
func (b *ServiceBudgets) Allows(now time.Time, service rillreach.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now, b.window(now, service)) > 0
}

// Reserve sets a repeat aside, or returns nil if the budget of the service does not allow one.
func (b *ServiceBudgets) Reserve(now time.Time, service rillreach.ServiceID) *Repeat {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if b.left(now, w) <= 0 {
		return nil
	}
	w.reserved++
	return &Repeat{budgets: b, service: service}
}

// Send counts the repeat as sent now. It returns false, and the repeat must not be sent, if the budget no longer allows it
// because too much time has passed since it was set aside.
func (r *Repeat) Send(now time.Time) bool {
	b := r.budgets
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, r.service)
	switch {
	case w.earnedLeft(b.Ratio) > 0:
		r.sentAs = &w.earned
	case b.extraLeft(now, w) > 0:
		r.sentAs = &w.extra
	default:
		return false
	}
	w.reserved--
	r.slot = w.lastSlot
	r.sentAs[index(r.slot)]++
	return true
}

// Return gives the repeat back because it is not sent, or has not reached a runner.
func (r *Repeat) Return(now time.Time) {
	b := r.budgets
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, r.service)
	switch {
	case r.sentAs == nil:
		w.reserved--
	case w.lastSlot-r.slot < slotCount:
		r.sentAs[index(r.slot)]--
	}
}

// Usage is what a budget has counted for a service.
type Usage struct {
	// Repeats is the number of repeats sent in the last window, and Reserved the number that have yet to be sent.
	Repeats, Reserved int
	// Requests is the number of requests in the last two windows.
	Requests int
	// Left is the number of further repeats that are allowed now.
	Left int
}

// Usage returns what the budget has counted for the service.
func (b *ServiceBudgets) Usage(now time.Time, service rillreach.ServiceID) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	return Usage{
		Repeats:  sumOfLatest(&w.earned, w.lastSlot, slotsPerWindow) + sumOfLatest(&w.extra, w.lastSlot, slotsPerWindow),
		Reserved: w.reserved,
		Requests: sumOfLatest(&w.requests, w.lastSlot, slotCount),
		Left:     max(0, b.left(now, w)),
	}
}

// Remaining returns the unused fraction of what this entry's budget allows at once, for the service with the least left.
func (b *ServiceBudgets) Remaining(now time.Time) float64 {
	lowest := 1.0
	for _, service := range b.serviceNames() {
		u := b.Usage(now, service)
		if used := u.Repeats + u.Reserved; used > 0 {
			lowest = min(lowest, float64(u.Left)/float64(u.Left+used))
		}
	}
	return lowest
}

func (b *ServiceBudgets) serviceNames() []rillreach.ServiceID {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := make([]rillreach.ServiceID, 0, len(b.services))
	for name := range b.services {
		names = append(names, name)
	}
	return names
}

// left returns how many more repeats may be set aside. It is negative if fewer are allowed than are set aside already.
func (b *ServiceBudgets) left(now time.Time, w *window) int {
	return max(0, w.earnedLeft(b.Ratio)) + max(0, b.extraLeft(now, w)) - w.reserved
}

// earnedLeft returns how many more repeats the requests allow now. In each window that has begun in one of the last slots,
// the repeats must not exceed the ratio times the mean of the requests in it and in the window before it. Requests of the
// slot in which the window before it began are left out.
func (w *window) earnedLeft(ratio float64) int {
	const rounding = 1e-9
	left := math.MaxInt
	repeats, requests := 0, sumOfLatest(&w.requests, w.lastSlot, slotsPerWindow-1)
	for age := range int64(slotsPerWindow + 1) {
		repeats += w.earned[index(w.lastSlot-age)]
		requests += w.requests[index(w.lastSlot-age-slotsPerWindow+1)]
		left = min(left, int(ratio*float64(requests)/2+rounding)-repeats)
	}
	return left
}

// extraLeft returns how many more repeats the slack allows now.
func (b *ServiceBudgets) extraLeft(now time.Time, w *window) int {
	if now.Sub(b.Started) < b.Window {
		return 0
	}
	share := maxExtra
	if entries := b.Entries(); entries > 0 {
		share = min(share, int(b.Slack)/entries)
	}
	return share - sumOfLatest(&w.extra, w.lastSlot, slotsPerWindow+1)
}

// sumOfLatest returns the sum of the latest n slots of a ring.
func sumOfLatest(ring *[slotCount]int, last int64, n int64) int {
	sum := 0
	for age := range n {
		sum += ring[index(last-age)]
	}
	return sum
}

// window returns the counts of a service. It clears the slots that are no longer counted.
func (b *ServiceBudgets) window(now time.Time, service rillreach.ServiceID) *window {
	if b.services == nil {
		b.services = map[rillreach.ServiceID]*window{}
	}
	current := int64(now.Sub(b.Started) / max(b.Window/slotsPerWindow, 1))
	w := b.services[service]
	if w == nil {
		w = &window{lastSlot: current}
		b.services[service] = w
	}
	for range min(max(current-w.lastSlot, 0), slotCount) {
		w.lastSlot++
		i := index(w.lastSlot)
		w.requests[i], w.earned[i], w.extra[i] = 0, 0, 0
	}
	w.lastSlot = max(w.lastSlot, current)
	return w
}

// index returns the index of a slot in the ring. Slots before the first one have negative numbers.
func index(slot int64) int { return int((slot%slotCount + slotCount) % slotCount) }
