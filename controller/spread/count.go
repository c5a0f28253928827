package spread

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/replicate"
)

// CountReplicas counts the processes whose replica has reached a version of a kind. The requests go to one process in
// each availability zone, which forwards them down its tree.
func (c *Controller) CountReplicas(ctx context.Context, kind rillreach.ObjectKind, version uint64) fleet.VersionCounts {
	zones := map[rillreach.ZoneID][]rillreach.InstanceID{}
	for _, n := range nodesOf(c.Members.All()) {
		if n.Usable {
			zones[n.Zone] = append(zones[n.Zone], n.ID)
		}
	}
	var total countSum
	var wg conc.WaitGroup
	for _, ids := range zones {
		wg.Go(func() {
			total.add(c.countSubtree(ctx, ids[0], fleet.CountRequest{Kind: kind, Version: version, Root: ids[0]}))
		})
	}
	wg.Wait()
	return total.counts
}

// countSubtree returns the counts of a process and its descendants in the tree with the request's root.
func (c *Controller) countSubtree(ctx context.Context, id rillreach.InstanceID, req fleet.CountRequest) fleet.VersionCounts {
	if id == c.Self.ID {
		counts, err := c.handleCount(ctx, nil, req)
		if err != nil {
			return fleet.VersionCounts{Unresponsive: 1}
		}
		return counts
	}
	conn, err := c.connect(ctx, id)
	if err != nil {
		return fleet.VersionCounts{Unresponsive: 1}
	}
	counts, err := peer.Invoke[fleet.CountRequest, fleet.VersionCounts](ctx, conn, peer.MethodCount, req)
	if err != nil {
		return fleet.VersionCounts{Unresponsive: 1}
	}
	return counts
}

func (c *Controller) handleCount(ctx context.Context, _ *peer.Conn, req fleet.CountRequest) (fleet.VersionCounts, error) {
	var total countSum
	if c.Replica.Watermark(req.Kind).Version >= req.Version {
		total.counts.InForce = 1
	} else {
		total.counts.Behind = 1
	}
	var wg conc.WaitGroup
	for _, child := range replicate.ChildrenInTree(c.Self.ID, req.Root, nodesOf(c.Members.All())) {
		wg.Go(func() { total.add(c.countSubtree(ctx, child, req)) })
	}
	wg.Wait()
	return total.counts, nil
}

type countSum struct {
	mu     sync.Mutex
	counts fleet.VersionCounts
}

func (s *countSum) add(c fleet.VersionCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Add(c)
}
