package holdings

import (
	"sync"
	"time"
)

// ExpiredSalts are the salts whose parts are about to be freed, and since when those who fetch are told so; its zero value is empty.
type ExpiredSalts struct {
	mu   sync.Mutex
	told map[string]time.Time
}

// MayFree reports whether the parts under a salt may be freed: those who fetch have been told for as long as it takes until no
// fetch that began before can still run. The first question is what begins the telling.
func (e *ExpiredSalts) MayFree(salt string, now time.Time, after time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	since, ok := e.told[salt]
	if !ok {
		if e.told == nil {
			e.told = map[string]time.Time{}
		}
		e.told[salt] = now
		return false
	}
	return now.Sub(since) >= after
}

// Salts are those that are told of.
func (e *ExpiredSalts) Salts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	salts := make([]string, 0, len(e.told))
	for salt := range e.told {
		salts = append(salts, salt)
	}
	return salts
}
