package replicate

import (
	"slices"
	"strings"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const (
	// WatchersPerZone is the number of processes in an availability zone that watch the platform.
	WatchersPerZone = 2
	// Fanout is the number of processes that a process sends a change to in one tree.
	Fanout = 8
	// PartnersInZone is the number of processes in its own zone that a process compares watermarks with.
	PartnersInZone = 3
	// PartnersInOtherZones is the number of processes in other zones that a process compares watermarks with.
	PartnersInOtherZones = 1
)

// Node is a process that takes part in replication.
type Node struct {
	ID   rillreach.InstanceID
	Zone rillreach.ZoneID
	// Entry means that the process is an entry. Entries are preferred as watchers.
	Entry bool
	// Usable means that the process is neither leaving nor failing.
	Usable bool
}

// Plan is the role of one process in replication.
type Plan struct {
	// IsWatcher means that the process watches the platform. Watchers are all processes in its zone that do.
	IsWatcher bool
	Watchers  []rillreach.InstanceID
	// Children are the processes that it sends changes to.
	Children []rillreach.InstanceID
	// Partners are the processes that it compares watermarks with.
	Partners []rillreach.InstanceID
}

// MakePlan computes the plan of the process self, which has to be one of the nodes. A process that is not watches the
// platform and has no children or partners. Each round selects other partners.
func MakePlan(self rillreach.InstanceID, nodes []Node, round uint64) Plan {
	index := slices.IndexFunc(nodes, func(n Node) bool { return n.ID == self })
	if index < 0 {
		return Plan{IsWatcher: true}
	}
	zone := nodes[index].Zone
	zoneNodes := usableInZone(nodes, zone)
	return makePlan(self, nodes, zone, zoneNodes, chooseWatchers(zone, zoneNodes), round)
}

// MakePlans computes the plans of all nodes.
func MakePlans(nodes []Node, round uint64) []Plan {
	zoneNodes, watchers := map[rillreach.ZoneID][]Node{}, map[rillreach.ZoneID][]rillreach.InstanceID{}
	plans := make([]Plan, len(nodes))
	for i, n := range nodes {
		if zoneNodes[n.Zone] == nil {
			zoneNodes[n.Zone] = usableInZone(nodes, n.Zone)
			watchers[n.Zone] = chooseWatchers(n.Zone, zoneNodes[n.Zone])
		}
		plans[i] = makePlan(n.ID, nodes, n.Zone, zoneNodes[n.Zone], watchers[n.Zone], round)
	}
	return plans
}

func makePlan(self rillreach.InstanceID, nodes []Node, zone rillreach.ZoneID, zoneNodes []Node, watchers []rillreach.InstanceID, round uint64) Plan {
	return Plan{
		IsWatcher: slices.Contains(watchers, self),
		Watchers:  watchers,
		Children:  children(self, zoneNodes, watchers),
		Partners:  choosePartners(self, nodes, zone, round),
	}
}

// usableInZone returns the usable nodes of a zone, sorted by identifier.
func usableInZone(nodes []Node, zone rillreach.ZoneID) []Node {
	var usable []Node
	for _, n := range nodes {
		if n.Zone == zone && n.Usable {
			usable = append(usable, n)
		}
	}
	slices.SortFunc(usable, func(a, b Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return usable
}

// chooseWatchers returns the highest-ranked nodes of a zone, entries before agents.
func chooseWatchers(zone rillreach.ZoneID, zoneNodes []Node) []rillreach.InstanceID {
	ranked := rankByHash(zoneNodes, hash.String(string(zone)))
	slices.SortStableFunc(ranked, func(a, b Node) int { return boolToInt(b.Entry) - boolToInt(a.Entry) })
	return firstIDs(ranked, WatchersPerZone)
}

// children returns the children of self in the trees of all watchers of its zone.
func children(self rillreach.InstanceID, zoneNodes []Node, watchers []rillreach.InstanceID) []rillreach.InstanceID {
	var ids []rillreach.InstanceID
	for _, root := range watchers {
		for _, id := range childrenInTree(self, root, zoneNodes) {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// childrenInTree returns the children of self in one watcher's tree: a heap with Fanout children per node, laid out
// over the zone's nodes in order of identifier, rotated so that the root comes first.
func childrenInTree(self, root rillreach.InstanceID, zoneNodes []Node) []rillreach.InstanceID {
	rootIndex := indexOf(zoneNodes, root)
	index := indexOf(zoneNodes, self)
	if rootIndex < 0 || index < 0 {
		return nil
	}
	count := len(zoneNodes)
	position := (index - rootIndex + count) % count
	var ids []rillreach.InstanceID
	for child := position*Fanout + 1; child <= position*Fanout+Fanout && child < count; child++ {
		ids = append(ids, zoneNodes[(rootIndex+child)%count].ID)
	}
	return ids
}

// choosePartners selects partners pseudo-randomly, seeded by self and the round.
func choosePartners(self rillreach.InstanceID, nodes []Node, zone rillreach.ZoneID, round uint64) []rillreach.InstanceID {
	var sameZone, otherZones []Node
	for _, n := range nodes {
		switch {
		case n.ID == self:
		case n.Zone == zone:
			sameZone = append(sameZone, n)
		default:
			otherZones = append(otherZones, n)
		}
	}
	seed := hash.Mix(hash.String(string(self)), round)
	return append(firstIDs(rankByHash(sameZone, seed), PartnersInZone), firstIDs(rankByHash(otherZones, seed), PartnersInOtherZones)...)
}

// rankByHash sorts nodes by their rendezvous hash with the seed, highest first.
func rankByHash(nodes []Node, seed uint64) []Node {
	ranked := slices.Clone(nodes)
	weight := func(n Node) uint64 { return hash.Mix(seed, hash.String(string(n.ID))) }
	slices.SortFunc(ranked, func(a, b Node) int {
		if wa, wb := weight(a), weight(b); wa != wb {
			if wa > wb {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return ranked
}

func firstIDs(nodes []Node, limit int) []rillreach.InstanceID {
	ids := make([]rillreach.InstanceID, 0, min(len(nodes), limit))
	for _, n := range nodes[:min(len(nodes), limit)] {
		ids = append(ids, n.ID)
	}
	return ids
}

func indexOf(nodes []Node, id rillreach.InstanceID) int {
	return slices.IndexFunc(nodes, func(n Node) bool { return n.ID == id })
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ChildrenInTree returns the children of self in the tree of its zone that has the given root.
func ChildrenInTree(self, root rillreach.InstanceID, nodes []Node) []rillreach.InstanceID {
	index := indexOf(nodes, self)
	if index < 0 {
		return nil
	}
	return childrenInTree(self, root, usableInZone(nodes, nodes[index].Zone))
}
