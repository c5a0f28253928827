package route

import "github.com/rillreach/rillreach/internal/hash"

// MaxRanked is the most places that Rank returns.
const MaxRanked = 8

// Ranking is the outcome of Rank: indexes in falling order of preference.
type Ranking struct {
	index  [MaxRanked]int32
	weight [MaxRanked]uint64
	count  int
}

// Len is how many places were ranked.
func (r *Ranking) Len() int { return r.count }

// At is the index of the place with the given rank.
func (r *Ranking) At(rank int) int { return int(r.index[rank]) }

// Rank orders count places for a conversation by rendezvous hashing and keeps the first want of them; place gives the
// hash of each place. The order among places does not change when others come or go.
func Rank(conversation uint64, count, want int, place func(i int) uint64) Ranking {
	var r Ranking
	want = min(want, MaxRanked)
	for i := range count {
		r.insert(int32(i), hash.Mix(conversation, place(i)), want)
	}
	return r
}

func (r *Ranking) insert(index int32, weight uint64, want int) {
	if r.count == want && weight <= r.weight[r.count-1] {
		return
	}
	at := r.count
	if r.count < want {
		r.count++
	} else {
		at = want - 1
	}
	for at > 0 && r.weight[at-1] < weight {
		r.weight[at] = r.weight[at-1]
		r.index[at] = r.index[at-1]
		at--
	}
	r.weight[at] = weight
	r.index[at] = index
}
