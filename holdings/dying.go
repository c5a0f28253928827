package holdings

import (
	"sync"
	"time"
)

// Dying are the salts whose parts are about to be freed, and since when those who fetch are told so; its zero value is empty.
type Dying struct {
	mu   sync.Mutex
	told map[string]time.Time
}

// Free reports whether the parts under a salt may be freed: those who fetch have been told for as long as it takes until no
// fetch that began before can still run. The first question is what begins the telling.
func (d *Dying) Free(salt string, now time.Time, after time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.told[salt]
	if !ok {
		if d.told == nil {
			d.told = map[string]time.Time{}
		}
		d.told[salt] = now
		return false
	}
	return now.Sub(since) >= after
}

// Salts are those that are told of.
func (d *Dying) Salts() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	salts := make([]string, 0, len(d.told))
	for salt := range d.told {
		salts = append(salts, salt)
	}
	return salts
}
