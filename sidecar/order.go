package sidecar

import (
	"cmp"
	"slices"
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

// loadSequence is the order in which the runners of a service load a version, as it was when this agent learned of the version:
// those with the oldest weights first, since theirs expire first.
type loadSequence struct {
	mu      sync.Mutex
	model   rillreach.ModelID
	version deployment.WeightVersion
	ranks   map[rillreach.InstanceID]int
}

// rank is the runner's place among all of them; one that came later is the last.
func (s *loadSequence) rank(runners []*roster.Runner, named deployment.DesiredWeights, id rillreach.InstanceID) (rank, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model != named.Model || s.version != named.Version {
		s.model, s.version = named.Model, named.Version
		s.ranks = ranksOf(runners, named.Model)
	}
	total = max(len(s.ranks), 1)
	rank, ok := s.ranks[id]
	if !ok {
		rank = total - 1
	}
	return rank, total
}

func ranksOf(runners []*roster.Runner, model rillreach.ModelID) map[rillreach.InstanceID]int {
	infos := make([]deployment.Runner, len(runners))
	for i, r := range runners {
		infos[i] = r.Info()
	}
	slices.SortFunc(infos, func(a, b deployment.Runner) int {
		return cmp.Or(cmp.Compare(a.Weights[model], b.Weights[model]), cmp.Compare(a.ID, b.ID))
	})
	ranks := make(map[rillreach.InstanceID]int, len(infos))
	for i, info := range infos {
		ranks[info.ID] = i
	}
	return ranks
}
