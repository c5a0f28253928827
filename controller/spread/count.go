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

// CountReplicas asks every known process, by way of one process of each zone, whether it holds a kind up to a version.
func (c *Controller) CountReplicas(ctx context.Context, kind rillreach.ObjectKind, version uint64) fleet.VersionCounts {
	zones := map[rillreach.ZoneID][]rillreach.InstanceID{}
	for _, n := range nodesOf(c.Members.All()) {
		if n.Usable {
			zones[n.Zone] = append(zones[n.Zone], n.ID)
		}
	}
	var total sum
	var wg conc.WaitGroup
	for _, ids := range zones {
		wg.Go(func() {
			total.add(c.countUnder(ctx, ids[0], fleet.CountRequest{Kind: kind, Version: version, Root: ids[0]}))
		})
	}
	wg.Wait()
	return total.counted
}

// countUnder asks a process for itself and all below it in the tree of the count's root.
func (c *Controller) countUnder(ctx context.Context, id rillreach.InstanceID, count fleet.CountRequest) fleet.VersionCounts {
	if id == c.Self.ID {
		counted, err := c.answerCount(ctx, nil, count)
		if err != nil {
			return fleet.VersionCounts{Unresponsive: 1}
		}
		return counted
	}
	conn, err := c.connect(ctx, id)
	if err != nil {
		return fleet.VersionCounts{Unresponsive: 1}
	}
	counted, err := peer.Invoke[fleet.CountRequest, fleet.VersionCounts](ctx, conn, peer.MethodCount, count)
	if err != nil {
		return fleet.VersionCounts{Unresponsive: 1}
	}
	return counted
}

func (c *Controller) answerCount(ctx context.Context, _ *peer.Conn, count fleet.CountRequest) (fleet.VersionCounts, error) {
	var total sum
	if c.Replica.Watermark(count.Kind).Version >= count.Version {
		total.counted.InForce = 1
	} else {
		total.counted.Behind = 1
	}
	var wg conc.WaitGroup
	for _, child := range replicate.ChildrenInTree(c.Self.ID, count.Root, nodesOf(c.Members.All())) {
		wg.Go(func() { total.add(c.countUnder(ctx, child, count)) })
	}
	wg.Wait()
	return total.counted, nil
}

type sum struct {
	mu      sync.Mutex
	counted fleet.VersionCounts
}

func (s *sum) add(c fleet.VersionCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counted.Add(c)
}
