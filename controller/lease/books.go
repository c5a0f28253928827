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

// ownedParts holds the parts of rows' limits that this entry owns and leases out.
type ownedParts struct {
	mu     sync.Mutex
	owners map[partKey]*limit.Owner
	// changedAt is when this process started or the set of entries last changed. Before that, another entry may have
	// owned a part.
	changedAt time.Time
	entries   []rillreach.Incarnation
}

type partKey struct {
	row  string
	part limit.Part
}

// grantAll grants an entry leases on the parts that this entry owns, within their capacity. Other parts get zero.
func (c *Controller) grantAll(to rillreach.InstanceID, req fleet.LeaseRequest) fleet.LeaseResponse {
	resp := fleet.LeaseResponse{Granted: make([]limit.Amounts, len(req.Rows))}
	for i, demand := range req.Rows {
		if c.owners(demand.Row)[demand.Part] == c.Self.ID {
			resp.Granted[i] = c.grant(to, demand)
		}
	}
	return resp
}

func (c *Controller) grant(to rillreach.InstanceID, demand fleet.RowDemand) limit.Amounts {
	row, ok := c.Table.Get(demand.Row)
	if !ok {
		return limit.Amounts{}
	}
	capacity, _ := limit.AmountsOf(row.Row.Limits)
	now := c.Clock.Now()
	c.owned.mu.Lock()
	defer c.owned.mu.Unlock()
	return c.owned.get(partKey{row: demand.Row, part: demand.Part}).Grant(now, to, limit.Split(capacity)[demand.Part], demand.Demand)
}

func (p *ownedParts) get(key partKey) *limit.Owner {
	if p.owners == nil {
		p.owners = map[partKey]*limit.Owner{}
	}
	o := p.owners[key]
	if o == nil {
		o = &limit.Owner{Since: p.changedAt}
		p.owners[key] = o
	}
	return o
}

// pruneOwned updates the set of entries, and removes owned parts that are idle or that this entry no longer owns.
func (c *Controller) pruneOwned() {
	now := c.Clock.Now()
	entries := incarnations(c.entries())
	c.owned.mu.Lock()
	defer c.owned.mu.Unlock()
	if c.owned.changedAt.IsZero() || !slices.Equal(entries, c.owned.entries) {
		c.owned.changedAt, c.owned.entries = now, entries
	}
	for key, o := range c.owned.owners {
		if o.Idle(now) || c.owners(key.row)[key.part] != c.Self.ID {
			delete(c.owned.owners, key)
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

// owners returns the owners of a row's parts: the listed entries with the highest hash that are not leaving. Suspected
// entries count too, so that entries with different suspicions agree on the owners.
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

func bestByRank(row string, entries []*membership.Member, excluded []rillreach.InstanceID) rillreach.InstanceID {
	var best rillreach.InstanceID
	var bestWeight uint64
	for _, m := range entries {
		weight := hash.Mix(hash.String(row), m.PlacementHash)
		if weight >= bestWeight && (len(excluded) == 0 || m.ID != excluded[0]) {
			best, bestWeight = m.ID, weight
		}
	}
	return best
}

// rank returns this entry's rank among all entries for a row, and the number of entries.
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
