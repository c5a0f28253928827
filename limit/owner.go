package limit

import (
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// LeaseTTL is how long a lease lasts.
	LeaseTTL = 6 * time.Second
	// RenewInterval is the time between two renewals of an entry's leases.
	RenewInterval = 2 * time.Second
	// staleAfter is how long an owner keeps the claim of an entry that no longer asks.
	staleAfter = 2 * LeaseTTL
)

// Owner leases one part of one row's limits to entries. Its zero value is ready to use.
type Owner struct {
	// Since is when this process became the owner. It grants nothing for LeaseTTL after that, because leases of the
	// previous owner may still be in use.
	Since time.Time

	claims map[rillreach.InstanceID]*claim
}

// claim is the last demand and the current lease of one entry.
type claim struct {
	demand   Amounts
	granted  Amounts
	expires  time.Time
	lastSeen time.Time
}

// Grant leases an entry its fair share of the part's capacity, up to its demand. The lease is reduced to what the other
// entries' current leases leave.
func (o *Owner) Grant(now time.Time, entry rillreach.InstanceID, capacity, demand Amounts) Amounts {
	o.dropStaleClaims(now)
	c := o.claimFor(entry)
	c.demand, c.lastSeen = demand, now
	if now.Sub(o.Since) < LeaseTTL {
		return Amounts{}
	}
	var granted Amounts
	for m := range capacity {
		granted[m] = o.grant(Metric(m), now, c, capacity[m])
	}
	c.granted = granted
	c.expires = now.Add(LeaseTTL)
	return granted
}

func (o *Owner) claimFor(entry rillreach.InstanceID) *claim {
	if o.claims == nil {
		o.claims = map[rillreach.InstanceID]*claim{}
	}
	c := o.claims[entry]
	if c == nil {
		c = &claim{}
		o.claims[entry] = c
	}
	return c
}

func (o *Owner) grant(m Metric, now time.Time, c *claim, capacity float64) float64 {
	available := capacity
	for _, other := range o.claims {
		if other != c && now.Before(other.expires) {
			available -= other.granted[m]
		}
	}
	unit := min(1, capacity)
	wanted := max(o.fairShare(m, c, capacity), unit)
	granted := min(wanted, available)
	if c.demand[m] <= 0 || granted < unit {
		return 0
	}
	if m == ConcurrentRequests {
		return float64(int(granted))
	}
	return granted
}

// fairShare returns the entry's share of the capacity under max-min fairness: demands below an equal share are met, and
// the rest is divided equally among the other entries.
func (o *Owner) fairShare(m Metric, c *claim, capacity float64) float64 {
	level := capacity
	for range len(o.claims) {
		below, above := 0.0, 0
		for _, other := range o.claims {
			if other.demand[m] <= level {
				below += other.demand[m]
			} else {
				above++
			}
		}
		if above == 0 {
			break
		}
		next := (capacity - below) / float64(above)
		if next >= level {
			break
		}
		level = next
	}
	return min(c.demand[m], level)
}

func (o *Owner) dropStaleClaims(now time.Time) {
	for id, c := range o.claims {
		if now.Sub(c.lastSeen) > staleAfter {
			delete(o.claims, id)
		}
	}
}

// Idle reports whether no entry has asked for a lease for staleAfter.
func (o *Owner) Idle(now time.Time) bool {
	o.dropStaleClaims(now)
	return len(o.claims) == 0
}
