package limit

import (
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// LeaseTTL is how long a lease lasts.
	LeaseTTL = 6 * time.Second
	// RenewInterval is how often an entry asks for its leases anew.
	RenewInterval = 2 * time.Second
	// forgetAfter is how long an owner remembers an entry's demand.
	forgetAfter = 2 * LeaseTTL
)

// Owner is the books of one owner for one part of one row; its zero value is ready.
type Owner struct {
	// Since is when this process became the owner; until a lease's length after that it grants nothing, since leases
	// of the owner before it may still be in use.
	Since time.Time

	claims map[rillreach.InstanceID]*claim
}

type claim struct {
	demand  Amounts
	granted Amounts
	expires time.Time
	seen    time.Time
}

// Grant leases to an entry what its demand calls for: its fair part of what the owner has, as far as other entries'
// leases leave it.
func (o *Owner) Grant(now time.Time, entry rillreach.InstanceID, have, demand Amounts) Amounts {
	o.forget(now)
	c := o.claimOf(entry)
	c.demand, c.seen = demand, now
	if now.Sub(o.Since) < LeaseTTL {
		return Amounts{}
	}
	var granted Amounts
	for m := range have {
		granted[m] = o.grant(Metric(m), now, c, have[m])
	}
	c.granted = granted
	c.expires = now.Add(LeaseTTL)
	return granted
}

func (o *Owner) claimOf(entry rillreach.InstanceID) *claim {
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

func (o *Owner) grant(m Metric, now time.Time, c *claim, have float64) float64 {
	left := have
	for _, other := range o.claims {
		if other != c && now.Before(other.expires) {
			left -= other.granted[m]
		}
	}
	unit := min(1, have)
	wanted := max(o.fair(m, c, have), unit)
	granted := min(wanted, left)
	if c.demand[m] <= 0 || granted < unit {
		return 0
	}
	if m == ConcurrentRequests {
		return float64(int(granted))
	}
	return granted
}

// fair is the entry's part by max-min fairness: demands that are below an equal part are met, and the rest is divided
// equally among the others.
func (o *Owner) fair(m Metric, c *claim, have float64) float64 {
	level := have
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
		next := (have - below) / float64(above)
		if next >= level {
			break
		}
		level = next
	}
	return min(c.demand[m], level)
}

func (o *Owner) forget(now time.Time) {
	for id, c := range o.claims {
		if now.Sub(c.seen) > forgetAfter {
			delete(o.claims, id)
		}
	}
}

// Idle reports whether nobody has asked for a while.
func (o *Owner) Idle(now time.Time) bool {
	o.forget(now)
	return len(o.claims) == 0
}
