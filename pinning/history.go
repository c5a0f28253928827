package pinning

import (
	"sync"
	"time"
)

// History records which values each key has had: the software versions of the listed runners of a service, or the
// services of a route. The zero value is ready to use, and it is safe for concurrent use.
type History[K, V comparable] struct {
	mu sync.Mutex
	// since is when the current period without a gap in the observations began, and lastAt the latest observation.
	since, lastAt time.Time
	lastSeen      map[K]map[V]time.Time
}

// maxObservationGap is the longest time between two observations in which no runner can have come and gone: a runner
// that ends is listed for some seconds.
const maxObservationGap = 5 * time.Second

// Observe records the values that a list held, which was complete at the given time.
func (h *History[K, V]) Observe(at time.Time, list map[K][]V) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.Before(h.lastAt) {
		at = h.lastAt // a list that is not newer still shows values
	}
	if h.lastAt.IsZero() || at.Sub(h.lastAt) > maxObservationGap {
		h.since = at
	}
	h.lastAt = at
	for key, values := range list {
		for _, value := range values {
			h.see(key, value, at)
		}
	}
	h.forget(at.Add(-MaxLifetime))
}

// see records one value. The caller must hold the lock.
func (h *History[K, V]) see(key K, value V, at time.Time) {
	if h.lastSeen == nil {
		h.lastSeen = map[K]map[V]time.Time{}
	}
	if h.lastSeen[key] == nil {
		h.lastSeen[key] = map[V]time.Time{}
	}
	h.lastSeen[key][value] = at
}

// forget removes the values that were last seen before a time. The caller must hold the lock.
func (h *History[K, V]) forget(before time.Time) {
	for key, values := range h.lastSeen {
		for value, at := range values {
			if at.Before(before) {
				delete(values, value)
			}
		}
		if len(values) == 0 {
			delete(h.lastSeen, key)
		}
	}
}

// Only returns the value of a key if it has had no other one from the given time on, as far as was observed.
func (h *History[K, V]) Only(key K, after time.Time) (value V, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for seen, at := range h.lastSeen[key] {
		if at.Before(after) {
			continue
		}
		if ok {
			return value, false
		}
		value, ok = seen, true
	}
	return value, ok
}

// Several reports whether a key has had several values from the given time on, as far as was observed.
func (h *History[K, V]) Several(key K, after time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, at := range h.lastSeen[key] {
		if !at.Before(after) {
			n++
		}
	}
	return n > 1
}

// Covers reports whether the observations have no gap from the given time on, up to at most maxAge before now.
func (h *History[K, V]) Covers(after, now time.Time, maxAge time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lastAt.IsZero() && !h.since.After(after) && now.Sub(h.lastAt) <= maxAge
}
