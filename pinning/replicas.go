package pinning

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const (
	// Copies is the number of replicas that hold a stream's record, in as many availability zones as possible. With two, a
	// record outlives the entry that wrote it together with one of the replicas.
	Copies = 2
	// Asked is the number of replicas that are asked for a record. It exceeds Copies since the processes may differ about
	// which replicas are available.
	Asked = 4
	// agentsPerGroup is the number of agents for each group of streams. Streams of one group have the same replicas, so that
	// an entry of a small deployment can send many records in one message.
	agentsPerGroup = 32
)

// Replica is an agent that holds records.
type Replica struct {
	Address netip.AddrPort
	Zone    rillreach.ZoneID
}

// Placement assigns replicas to streams. All processes with the same list of agents have the same placement, and a change
// of the list moves few streams. The zero value has no replicas.
type Placement struct {
	agents []Replica
	// groups contains, for each group of streams, all agents in the order in which they are used.
	groups [][]Replica
}

// NewPlacement returns the placement on the given agents.
func NewPlacement(agents []Replica) *Placement {
	p := &Placement{agents: slices.SortedFunc(slices.Values(agents), func(a, b Replica) int { return a.Address.Compare(b.Address) })}
	for group := range max(1, len(agents)/agentsPerGroup) {
		p.groups = append(p.groups, orderFor(uint64(group), p.agents))
	}
	return p
}

// For returns the agents in the order in which they are used for a stream. The slice must not be modified.
func (p *Placement) For(s Stream) []Replica {
	if len(p.groups) == 0 {
		return nil
	}
	return p.groups[s.hash()%uint64(len(p.groups))]
}

// equal reports whether both placements are on the same agents.
func (p *Placement) equal(other *Placement) bool { return slices.Equal(p.agents, other.agents) }

// rankedReplica is an agent with its weight for a group, and its position among those of its availability zone.
type rankedReplica struct {
	replica  Replica
	weight   uint64
	position int
}

// orderFor returns the agents in their order for a group: the first of each availability zone by rendezvous hashing, then
// the second ones, and so on.
func orderFor(group uint64, agents []Replica) []Replica {
	ranked := make([]rankedReplica, len(agents))
	for i, r := range agents {
		ranked[i] = rankedReplica{replica: r, weight: hash.Mix(group, hash.String(r.Address.String()))}
	}
	slices.SortStableFunc(ranked, func(a, b rankedReplica) int { return cmp.Compare(a.weight, b.weight) })
	perZone := map[rillreach.ZoneID]int{}
	for i := range ranked {
		zone := ranked[i].replica.Zone
		ranked[i].position = perZone[zone]
		perZone[zone]++
	}
	slices.SortStableFunc(ranked, func(a, b rankedReplica) int { return cmp.Compare(a.position, b.position) })
	ordered := make([]Replica, len(ranked))
	for i := range ranked {
		ordered[i] = ranked[i].replica
	}
	return ordered
}
