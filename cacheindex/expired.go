package cacheindex

import (
	"sync"
	"time"
)

// ExpiredSalts records the salts whose parts are about to be freed and when each was first announced as expired. Its
// zero value is empty and ready to use.
type ExpiredSalts struct {
	mu          sync.Mutex
	announcedAt map[string]time.Time
}

// MayFree reports whether the parts under a salt may be freed: the salt was announced as expired at least notice ago,
// so that every fetch that began before the announcement has ended. The first call for a salt starts its
// announcement.
func (e *ExpiredSalts) MayFree(salt string, now time.Time, notice time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	since, ok := e.announcedAt[salt]
	if !ok {
		if e.announcedAt == nil {
			e.announcedAt = map[string]time.Time{}
		}
		e.announcedAt[salt] = now
		return false
	}
	return now.Sub(since) >= notice
}

// Salts returns the salts to announce as expired.
func (e *ExpiredSalts) Salts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	salts := make([]string, 0, len(e.announcedAt))
	for salt := range e.announcedAt {
		salts = append(salts, salt)
	}
	return salts
}
