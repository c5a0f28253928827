package route

import "github.com/rillreach/rillreach/internal/hash"

// MaxRanked is the maximum number of nodes that Rank returns.
const MaxRanked = 8

// Ranking is the result of Rank: node indexes in descending order of preference.
type Ranking struct {
	index  [MaxRanked]int32
	weight [MaxRanked]uint64
	count  int
}

// Len returns the number of nodes in the ranking.
func (r *Ranking) Len() int { return r.count }

// At returns the index of the node with the given rank. Rank 0 is the most preferred.
func (r *Ranking) At(rank int) int { return int(r.index[rank]) }

// Rank ranks count nodes for a conversation by rendezvous hashing, and returns the first limit of them. nodeHash
// returns the hash of the node with index i. The relative order of two nodes does not change when other nodes join or
// leave.
func Rank(conversation uint64, count, limit int, nodeHash func(i int) uint64) Ranking {
	var r Ranking
	limit = min(limit, MaxRanked)
	for i := range count {
		r.insert(int32(i), hash.Mix(conversation, nodeHash(i)), limit)
	}
	return r
}

func (r *Ranking) insert(index int32, weight uint64, limit int) {
	if r.count == limit && weight <= r.weight[r.count-1] {
		return
	}
	at := r.count
	if r.count < limit {
		r.count++
	} else {
		at = limit - 1
	}
	for at > 0 && r.weight[at-1] < weight {
		r.weight[at] = r.weight[at-1]
		r.index[at] = r.index[at-1]
		at--
	}
	r.weight[at] = weight
	r.index[at] = index
}
