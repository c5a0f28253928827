package replicate

import (
	"slices"
	"strings"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const (
	// WatchersPerZone is how many processes of an availability zone watch the platform.
	WatchersPerZone = 2
	// Fanout is how many processes one process sends a change to.
	Fanout = 8
	// PartnersInZone is how many processes of its own zone a process compares marks with.
	PartnersInZone = 3
	// PartnersInOtherZones is how many processes of other zones a process compares marks with.
	PartnersInOtherZones = 1
)

// Node is a process as the spreading of objects sees it.
type Node struct {
	ID   rillreach.InstanceID
	Zone rillreach.ZoneID
	// Entry says that the process may be a watcher before others.
	Entry bool
	// Usable says that the process is neither leaving nor suspected.
	Usable bool
}

// Plan is one process's part in the spreading.
type Plan struct {
	// IsWatcher says that the process watches the platform, Watchers are all that do so in its zone.
	IsWatcher bool
	Watchers  []rillreach.InstanceID
	// Children are the processes to which it sends changes.
	Children []rillreach.InstanceID
	// Partners are the processes with which it compares marks.
	Partners []rillreach.InstanceID
}

// MakePlan computes the part of the process self among the nodes, itself included. A turn redraws the partners.
func MakePlan(self rillreach.InstanceID, nodes []Node, turn uint64) Plan {
	at := slices.IndexFunc(nodes, func(n Node) bool { return n.ID == self })
	if at < 0 {
		return Plan{IsWatcher: true}
	}
	zone := nodes[at].Zone
	near := inZone(nodes, zone)
	return makePlan(self, nodes, zone, near, chooseWatchers(zone, near), turn)
}

// MakePlans computes the parts of all nodes.
func MakePlans(nodes []Node, turn uint64) []Plan {
	near, watchers := map[rillreach.ZoneID][]Node{}, map[rillreach.ZoneID][]rillreach.InstanceID{}
	plans := make([]Plan, len(nodes))
	for i, n := range nodes {
		if near[n.Zone] == nil {
			near[n.Zone] = inZone(nodes, n.Zone)
			watchers[n.Zone] = chooseWatchers(n.Zone, near[n.Zone])
		}
		plans[i] = makePlan(n.ID, nodes, n.Zone, near[n.Zone], watchers[n.Zone], turn)
	}
	return plans
}

func makePlan(self rillreach.InstanceID, nodes []Node, zone rillreach.ZoneID, near []Node, watchers []rillreach.InstanceID, turn uint64) Plan {
	return Plan{
		IsWatcher: slices.Contains(watchers, self),
		Watchers:  watchers,
		Children:  children(self, near, watchers),
		Partners:  partners(self, nodes, zone, turn),
	}
}

func inZone(nodes []Node, zone rillreach.ZoneID) []Node {
	var near []Node
	for _, n := range nodes {
		if n.Zone == zone && n.Usable {
			near = append(near, n)
		}
	}
	slices.SortFunc(near, func(a, b Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return near
}

// chooseWatchers takes the first by rank for the zone, entries before agents.
func chooseWatchers(zone rillreach.ZoneID, near []Node) []rillreach.InstanceID {
	ranked := byRank(near, hash.String(string(zone)))
	slices.SortStableFunc(ranked, func(a, b Node) int { return boolOrder(b.Entry) - boolOrder(a.Entry) })
	return idsOf(ranked, WatchersPerZone)
}

// children are the processes below self in the trees of the zone's watchers; each tree is a heap over the zone's
// processes in one order, with its watcher moved to the front.
func children(self rillreach.InstanceID, near []Node, watchers []rillreach.InstanceID) []rillreach.InstanceID {
	var below []rillreach.InstanceID
	for _, root := range watchers {
		for _, id := range childrenUnder(self, root, near) {
			if !slices.Contains(below, id) {
				below = append(below, id)
			}
		}
	}
	return below
}

func childrenUnder(self, root rillreach.InstanceID, near []Node) []rillreach.InstanceID {
	start := indexOf(near, root)
	at := indexOf(near, self)
	if start < 0 || at < 0 {
		return nil
	}
	count := len(near)
	position := (at - start + count) % count
	var below []rillreach.InstanceID
	for child := position*Fanout + 1; child <= position*Fanout+Fanout && child < count; child++ {
		below = append(below, near[(start+child)%count].ID)
	}
	return below
}

func partners(self rillreach.InstanceID, nodes []Node, zone rillreach.ZoneID, turn uint64) []rillreach.InstanceID {
	var near, far []Node
	for _, n := range nodes {
		switch {
		case n.ID == self:
		case n.Zone == zone:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	salt := hash.Mix(hash.String(string(self)), turn)
	return append(idsOf(byRank(near, salt), PartnersInZone), idsOf(byRank(far, salt), PartnersInOtherZones)...)
}

func byRank(nodes []Node, salt uint64) []Node {
	ranked := slices.Clone(nodes)
	weight := func(n Node) uint64 { return hash.Mix(salt, hash.String(string(n.ID))) }
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

func idsOf(nodes []Node, most int) []rillreach.InstanceID {
	ids := make([]rillreach.InstanceID, 0, min(len(nodes), most))
	for _, n := range nodes[:min(len(nodes), most)] {
		ids = append(ids, n.ID)
	}
	return ids
}

func indexOf(nodes []Node, id rillreach.InstanceID) int {
	return slices.IndexFunc(nodes, func(n Node) bool { return n.ID == id })
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ChildrenInTree are the processes below self in its zone's tree with the given root.
func ChildrenInTree(self, root rillreach.InstanceID, nodes []Node) []rillreach.InstanceID {
	at := indexOf(nodes, self)
	if at < 0 {
		return nil
	}
	return childrenUnder(self, root, inZone(nodes, nodes[at].Zone))
}
