package pinning

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const (
	// Copies is the number of replicas that hold a stream's record, in as many availability zones as possible. With
	// three, a record outlives the entry that wrote it together with two of the replicas.
	Copies = 3
	// Asked is the number of replicas that are asked for a record. It exceeds Copies since the processes may differ about
	// which replicas are available.
	Asked = 6
	// minCandidates and candidateDivisor bound how many agents serve as replicas: all of a small deployment, and one of
	// candidateDivisor of a large one, in which each entry would otherwise connect to every agent.
	minCandidates    = 32
	candidateDivisor = 16
)

// Replica is an agent that holds records.
type Replica struct {
	Address netip.AddrPort
	Zone    rillreach.ZoneID
}

// Candidates returns the agents that serve as replicas. All processes with the same list of agents get the same ones, and
// a change of the list changes few of them.
func Candidates(agents []Replica) []Replica {
	count := min(len(agents), max(minCandidates, len(agents)/candidateDivisor))
	ranked := slices.Clone(agents)
	slices.SortFunc(ranked, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(addressHash(a), addressHash(b)), a.Address.Compare(b.Address))
	})
	return ranked[:count]
}

func addressHash(r Replica) uint64 { return hash.String(r.Address.String()) }

// ReplicasOf returns the first n replicas for the record of a stream among the candidates: the first of each availability
// zone by rendezvous hashing, then the second ones, and so on.
func ReplicasOf(s Stream, candidates []Replica, n int) []Replica {
	ranked := rank(s, candidates)
	perZone := map[rillreach.ZoneID]int{}
	for i := range ranked {
		zone := ranked[i].replica.Zone
		ranked[i].round = perZone[zone]
		perZone[zone]++
	}
	slices.SortStableFunc(ranked, func(a, b rankedReplica) int { return cmp.Compare(a.round, b.round) })
	chosen := make([]Replica, 0, n)
	for _, r := range ranked[:min(n, len(ranked))] {
		chosen = append(chosen, r.replica)
	}
	return chosen
}

// rankedReplica is a candidate with its weight for a stream, and its position among those of its availability zone.
type rankedReplica struct {
	replica Replica
	weight  uint64
	round   int
}

// rank sorts the candidates by their weight for a stream.
func rank(s Stream, candidates []Replica) []rankedReplica {
	key := s.hash()
	ranked := make([]rankedReplica, len(candidates))
	for i, r := range candidates {
		ranked[i] = rankedReplica{replica: r, weight: hash.Mix(key, addressHash(r))}
	}
	slices.SortFunc(ranked, func(a, b rankedReplica) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), a.replica.Address.Compare(b.replica.Address))
	})
	return ranked
}
