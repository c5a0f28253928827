package retry

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// slots is into how many spans the window is cut for counting.
	slots = 10
	// DefaultEntries is how many entries share the slack while nobody has said how many there are.
	DefaultEntries = 8
	// shareOf is the part of ratio and slack that is used; the rest covers requests counted late.
	shareOf = 0.85
)

// ServiceBudgets bounds the sends beyond a request's first to each service, over a sliding window and over all entries together:
// each entry uses the ratio of its own requests and an equal part of the slack, and asks nobody. Its fields are set before use.
type ServiceBudgets struct {
	// Ratio, Window and Slack are the site's bounds.
	Ratio  float64
	Window time.Duration
	Slack  float64

	mu       sync.Mutex
	entries  int
	began    time.Time
	services map[rillreach.ServiceID]*window
}

// window counts requests and repeats of one service by spans of time.
type window struct {
	requests [slots]int
	repeats  [slots]int
	last     int64
}

// SetEntries says how many entries share the slack.
func (s *ServiceBudgets) SetEntries(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = n
}

// Entries is how many entries share the slack, as far as is known.
func (s *ServiceBudgets) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sharing()
}

// sharing is the number of entries, or a guess while nobody has said it.
func (s *ServiceBudgets) sharing() int {
	if s.entries == 0 {
		return DefaultEntries
	}
	return s.entries
}

// RecordRequest counts a caller's request for the service.
func (s *ServiceBudgets) RecordRequest(now time.Time, service rillreach.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, i := s.window(now, service)
	w.requests[i]++
}

// Allows reports whether one more repeat fits.
func (s *ServiceBudgets) Allows(now time.Time, service rillreach.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, _ := s.window(now, service)
	return s.fits(w)
}

// TrySpend counts one repeat, or reports that the window holds as many as it may.
func (s *ServiceBudgets) TrySpend(now time.Time, service rillreach.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, i := s.window(now, service)
	if !s.fits(w) {
		return false
	}
	w.repeats[i]++
	return true
}

// Remaining is the part of this entry's share that is left, of the service where that is the least.
func (s *ServiceBudgets) Remaining(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := 1.0
	for name := range s.services {
		w, _ := s.window(now, name)
		spent, most := s.use(w)
		if most > 0 {
			least = min(least, max(0, 1-float64(spent)/most))
		}
	}
	return least
}

// fits reports whether one more repeat stays within this entry's share.
func (s *ServiceBudgets) fits(w *window) bool {
	repeats, most := s.use(w)
	return float64(repeats+1) <= most
}

// use is how many repeats the window holds, and how many it may.
func (s *ServiceBudgets) use(w *window) (repeats int, most float64) {
	requests := 0
	for k := range slots {
		requests += w.requests[k]
		repeats += w.repeats[k]
	}
	return repeats, shareOf * (s.Ratio*float64(requests) + s.Slack/float64(s.sharing()))
}

// window gives the counts of a service and the index of the current span, with those that are over emptied.
func (s *ServiceBudgets) window(now time.Time, service rillreach.ServiceID) (*window, int) {
	if s.services == nil {
		s.services = map[rillreach.ServiceID]*window{}
		s.began = now
	}
	w := s.services[service]
	current := int64(now.Sub(s.began) / max(s.Window/slots, 1)) // the steady clock counts, not the time of day
	if w == nil {
		w = &window{last: current}
		s.services[service] = w
	}
	for range min(max(current-w.last, 0), slots) {
		w.last++
		w.requests[w.last%slots], w.repeats[w.last%slots] = 0, 0
	}
	w.last = max(w.last, current)
	return w, int(w.last % slots)
}
