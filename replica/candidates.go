package replica

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/hash"
)

const (
	// MinAgents is the number of agents from which a deployment uses relays. With fewer agents there are so few other
	// processes that relays would make more calls than they save.
	MinAgents = 64
	// ownZoneCandidates is the number of agents of a process's own zone that it tries as relays, and otherZoneCandidates
	// the number of agents of each other zone.
	ownZoneCandidates   = 3
	otherZoneCandidates = 2
)

// Agent is an agent that may be a relay.
type Agent struct {
	// Runner identifies the agent's runner.
	Runner rillreach.InstanceID
	Zone   rillreach.ZoneID
	// Address is where the agent accepts peers.
	Address netip.AddrPort
}

// AgentsOf returns the agents beside the engines among the runners, which accept peers on the given port. An engine that
// was restarted is listed under both its identifiers until the old record expires; its agent is returned once, with the
// lower one.
func AgentsOf(runners []deployment.Runner, port uint16) []Agent {
	agents := make([]Agent, 0, len(runners))
	indexes := make(map[netip.AddrPort]int, len(runners))
	for i := range runners {
		r := &runners[i]
		if len(r.Weights) == 0 || r.Leaving {
			continue
		}
		agent := Agent{Runner: r.ID, Zone: r.Zone, Address: netip.AddrPortFrom(r.Address.Addr(), port)}
		known, isKnown := indexes[agent.Address]
		switch {
		case !isKnown:
			indexes[agent.Address] = len(agents)
			agents = append(agents, agent)
		case agent.Runner < agents[known].Runner:
			agents[known] = agent
		}
	}
	return agents
}

// Candidates returns the agents that a process tries as relays, in order: the first ones of its own zone by the identifiers
// of their runners, and then those of each other zone. All processes of a zone agree on the own ones; for the others
// they differ, so that the zones share the load of one without relays.
func Candidates(agents []Agent, zone rillreach.ZoneID, name rillreach.InstanceID) []Agent {
	byZone := FirstByZone(agents, max(ownZoneCandidates, otherZoneCandidates))
	candidates := byZone[zone]
	candidates = slices.Clone(candidates[:min(len(candidates), ownZoneCandidates)])
	var zones []rillreach.ZoneID
	for other := range byZone {
		if other != zone {
			zones = append(zones, other)
		}
	}
	own := hash.String(string(name))
	slices.SortFunc(zones, func(a, b rillreach.ZoneID) int {
		return cmp.Compare(hash.Mix(own, hash.String(string(a))), hash.Mix(own, hash.String(string(b))))
	})
	for rank := range otherZoneCandidates {
		for _, other := range zones {
			if rank < len(byZone[other]) {
				candidates = append(candidates, byZone[other][rank])
			}
		}
	}
	return candidates
}

// FirstByZone returns the first agents of each zone, by the identifiers of their runners.
func FirstByZone(agents []Agent, limit int) map[rillreach.ZoneID][]Agent {
	sorted := slices.SortedFunc(slices.Values(agents), func(a, b Agent) int { return cmp.Compare(a.Runner, b.Runner) })
	byZone := map[rillreach.ZoneID][]Agent{}
	for _, a := range sorted {
		if len(byZone[a.Zone]) < limit {
			byZone[a.Zone] = append(byZone[a.Zone], a)
		}
	}
	return byZone
}
