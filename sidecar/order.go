package sidecar

import (
	"cmp"
	"slices"
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

// loadOrder is the order in which the runners of a service load a version, as it was when this agent learned of the version:
// those with the oldest weights first, since theirs expire first.
type loadOrder struct {
	mu      sync.Mutex
	model   rillreach.ModelID
	version deployment.WeightVersion
	ranks   map[rillreach.InstanceID]int
}

// rank is the runner's place among all of them; one that came later is the last.
func (t *loadOrder) rank(group []*roster.Runner, named deployment.DesiredWeights, id rillreach.InstanceID) (rank, total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.model != named.Model || t.version != named.Version {
		t.model, t.version = named.Model, named.Version
		t.ranks = ranksOf(group, named.Model)
	}
	total = max(len(t.ranks), 1)
	rank, ok := t.ranks[id]
	if !ok {
		rank = total - 1
	}
	return rank, total
}

func ranksOf(group []*roster.Runner, model rillreach.ModelID) map[rillreach.InstanceID]int {
	infos := make([]deployment.Runner, len(group))
	for i, r := range group {
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
