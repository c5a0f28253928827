package sidecar

import (
	"cmp"
	"slices"
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

// loadSequence is the sequence in which the runners of a service load a version of a model's weights. Runners with the
// oldest weights come first, since theirs expire first. The sequence is fixed when this agent first sees the version.
type loadSequence struct {
	mu      sync.Mutex
	model   rillreach.ModelID
	version deployment.WeightVersion
	ranks   map[rillreach.InstanceID]int
}

// rank returns the runner's position in the sequence, from zero, and the length of the sequence. A runner that was
// listed later ranks last.
func (s *loadSequence) rank(runners []*roster.Runner, desired deployment.DesiredWeights, id rillreach.InstanceID) (rank, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model != desired.Model || s.version != desired.Version {
		s.model, s.version = desired.Model, desired.Version
		s.ranks = ranksOf(runners, desired.Model)
	}
	total = max(len(s.ranks), 1)
	rank, ok := s.ranks[id]
	if !ok {
		rank = total - 1
	}
	return rank, total
}

// ranksOf returns the position of each runner in the sequence for a model.
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
