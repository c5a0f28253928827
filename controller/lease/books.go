package lease

import (
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/limit"
	"github.com/rillreach/rillreach/membership"
)

// books are what this entry has leased out as an owner.
type books struct {
	mu     sync.Mutex
	owners map[bookKey]*limit.Owner
	// since is when this process, or the set of entries, last changed: until then another entry may have owned a row.
	since   time.Time
	entries []rillreach.Incarnation
}

type bookKey struct {
	row  string
	part limit.Part
}

// grantAll leases to an entry what it asks for, as far as this entry owns it and has it.
func (c *Controller) grantAll(to rillreach.InstanceID, ask fleet.LeaseRequest) fleet.LeaseResponse {
	leases := fleet.LeaseResponse{Granted: make([]limit.Amounts, len(ask.Rows))}
	for i, r := range ask.Rows {
		if c.owners(r.Row)[r.Part] == c.Self.ID {
			leases.Granted[i] = c.grant(to, r)
		}
	}
	return leases
}

func (c *Controller) grant(to rillreach.InstanceID, r fleet.RowDemand) limit.Amounts {
	line, ok := c.Table.Get(r.Row)
	if !ok {
		return limit.Amounts{}
	}
	caps, _ := limit.AmountsOf(line.Row.Limits)
	now := c.Clock.Now()
	c.books.mu.Lock()
	defer c.books.mu.Unlock()
	return c.books.owner(bookKey{row: r.Row, part: r.Part}).Grant(now, to, limit.Split(caps)[r.Part], r.Demand)
}

func (b *books) owner(key bookKey) *limit.Owner {
	if b.owners == nil {
		b.owners = map[bookKey]*limit.Owner{}
	}
	o := b.owners[key]
	if o == nil {
		o = &limit.Owner{Since: b.since}
		b.owners[key] = o
	}
	return o
}

// tidy drops the books that nobody uses and those of rows that this entry no longer owns.
func (c *Controller) tidy() {
	now := c.Clock.Now()
	entries := incarnations(c.entries())
	c.books.mu.Lock()
	defer c.books.mu.Unlock()
	if c.books.since.IsZero() || !slices.Equal(entries, c.books.entries) {
		c.books.since, c.books.entries = now, entries
	}
	for key, o := range c.books.owners {
		if o.Idle(now) || c.owners(key.row)[key.part] != c.Self.ID {
			delete(c.books.owners, key)
		}
	}
}

func incarnations(members []*membership.Member) []rillreach.Incarnation {
	list := make([]rillreach.Incarnation, len(members))
	for i, m := range members {
		list[i] = m.Incarnation
	}
	return list
}

// owners are the owners of a row's parts: the first entries by rank that the platform lists and that are not leaving.
// Suspicion plays no part, so that entries that see each other differently still agree.
func (c *Controller) owners(row string) []rillreach.InstanceID {
	entries := c.entries()
	owners := make([]rillreach.InstanceID, 0, limit.OwnedPartCount)
	for range limit.OwnedPartCount {
		if best := bestByRank(row, entries, owners); best != "" {
			owners = append(owners, best)
		}
	}
	for len(owners) > 0 && len(owners) < limit.OwnedPartCount {
		owners = append(owners, owners[0])
	}
	if len(owners) == 0 {
		owners = []rillreach.InstanceID{c.Self.ID, c.Self.ID}
	}
	return owners
}

func bestByRank(row string, entries []*membership.Member, taken []rillreach.InstanceID) rillreach.InstanceID {
	var best rillreach.InstanceID
	var bestWeight uint64
	for _, m := range entries {
		weight := hash.Mix(hash.String(row), m.PlacementHash)
		if weight >= bestWeight && (len(taken) == 0 || m.ID != taken[0]) {
			best, bestWeight = m.ID, weight
		}
	}
	return best
}

// rank is this entry's place among all entries for a row, and how many entries there are.
func (c *Controller) rank(row string) (int, int) {
	entries := c.entries()
	own := hash.Mix(hash.String(row), hash.String(string(c.Self.ID)))
	rank := 0
	for _, m := range entries {
		if m.ID != c.Self.ID && hash.Mix(hash.String(row), m.PlacementHash) > own {
			rank++
		}
	}
	return rank, max(len(entries), 1)
}

func (c *Controller) entries() []*membership.Member {
	var entries []*membership.Member
	for _, m := range c.Members.Group(membership.Group{Role: rillreach.RoleEntry}) {
		if !m.IsLeaving() {
			entries = append(entries, m)
		}
	}
	return entries
}
