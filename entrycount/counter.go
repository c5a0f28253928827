package entrycount

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

// Counter is the number of entries as a process knows it. The zero value knows none. It is safe for concurrent use.
type Counter struct {
	mu sync.Mutex
	// followers is the number of entries that follow an agent, which each entry follows.
	followers Peak
	// zones holds the number of entries in each zone, as relays count them.
	zones map[rillreach.ZoneID]*Peak
}

// ObserveAgent records how many entries follow an agent.
func (c *Counter) ObserveAgent(followers int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followers.Observe(followers, now)
}

// ObserveZone records how many entries a zone has.
func (c *Counter) ObserveZone(zone rillreach.ZoneID, entries int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		c.zones = map[rillreach.ZoneID]*Peak{}
	}
	if c.zones[zone] == nil {
		c.zones[zone] = &Peak{}
	}
	c.zones[zone].Observe(entries, now)
}

// Entries returns the number of entries, zero if nothing is known of it.
func (c *Counter) Entries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	inZones := 0
	for _, peak := range c.zones {
		inZones += peak.Value()
	}
	return max(c.followers.Value(), inZones)
}
