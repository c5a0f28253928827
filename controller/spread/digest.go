package spread

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/replicate"
)

// syncLoop compares watermarks with a random partner at each interval.
func (c *Controller) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, jitter(c.SyncInterval))
		partners := c.currentPlan().Partners
		if len(partners) == 0 || ctx.Err() != nil {
			continue
		}
		id := partners[rand.IntN(len(partners))]
		if err := c.syncWith(ctx, id); err != nil {
			c.Log.V(1).Info("sync failed", "peer", id, "cause", err.Error())
		}
		if c.isStale() {
			c.suspectUnresponsiveWatchers(ctx)
		}
	}
}

// isStale reports whether the replica of the rows has been unconfirmed for longer than working watchers would allow.
func (c *Controller) isStale() bool {
	return c.Clock.Now().UnixNano()-c.confirmedAt.Load() > int64(staleAfterWatches*c.WatchTimeout)
}

// suspectUnresponsiveWatchers suspects the zone's watchers that do not respond, so that other processes replace them.
// Every process of the zone does this once its rows are stale. If only the platform is down, the watchers still
// respond and remain watchers.
func (c *Controller) suspectUnresponsiveWatchers(ctx context.Context) {
	for _, id := range c.currentPlan().Watchers {
		if id == c.Self.ID || c.syncWith(ctx, id) == nil {
			continue
		}
		if m := c.Members.Find(id); m != nil && ctx.Err() == nil {
			m.Suspect(c.Clock.Now())
			c.Log.Info("watcher unreachable, marked as suspected", "peer", id)
		}
	}
}

func (c *Controller) syncWith(ctx context.Context, id rillreach.InstanceID) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := c.connect(ctx, id)
	if err != nil {
		return err
	}
	return c.syncOn(ctx, conn)
}

// CatchUp syncs with a peer in the background if the peer's rows are at a later version than this process's. Callers
// learn that version from requests and responses.
func (c *Controller) CatchUp(conn *peer.Conn, version uint64) {
	if version <= c.Replica.Watermark(rillreach.KindRow).Version {
		return
	}
	c.Stats.CatchUps.Add(1)
	c.pushes.Go(func() {
		ctx, cancel := context.WithTimeout(c.baseCtx, requestTimeout)
		defer cancel()
		if err := c.syncOn(ctx, conn); err != nil {
			c.Log.V(1).Info("catch-up failed", "peer", conn.Peer.ID, "cause", err.Error())
		}
	})
}

func (c *Controller) syncOn(ctx context.Context, conn *peer.Conn) error {
	c.Stats.Syncs.Add(1)
	resp, err := peer.Invoke[fleet.SyncRequest, fleet.SyncResponse](ctx, conn, peer.MethodSync, fleet.SyncRequest{Watermarks: c.Replica.Watermarks()})
	if err != nil {
		return errors.Wrapf(err, "compare marks with %s", conn.Peer.ID)
	}
	for _, d := range resp.Deltas {
		c.merge(d, conn.Peer.ID)
	}
	return c.pushMissing(ctx, conn, resp.Watermarks)
}

// pushMissing pushes to the peer the deltas that it lacks according to its watermarks.
func (c *Controller) pushMissing(ctx context.Context, conn *peer.Conn, watermarks []replicate.Watermark) error {
	for _, watermark := range watermarks {
		d, ok := c.Replica.DeltaSince(watermark)
		if !ok {
			continue
		}
		c.Stats.Pushes.Add(1)
		if _, err := peer.Invoke[fleet.PushRequest, fleet.PushResponse](ctx, conn, peer.MethodPush, fleet.PushRequest{Delta: d}); err != nil {
			return errors.Wrapf(err, "give changes to %s", conn.Peer.ID)
		}
	}
	return nil
}

func (c *Controller) handleSync(_ context.Context, _ *peer.Conn, req fleet.SyncRequest) (fleet.SyncResponse, error) {
	resp := fleet.SyncResponse{Watermarks: c.Replica.Watermarks()}
	for _, watermark := range req.Watermarks {
		if d, ok := c.Replica.DeltaSince(watermark); ok {
			resp.Deltas = append(resp.Deltas, d)
		}
	}
	return resp, nil
}

// currentPlan returns this process's plan. It is recomputed when the members have changed or a new round selects other
// partners.
func (c *Controller) currentPlan() replicate.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	changeCount, now := c.Members.ChangeCount(), c.Clock.Now()
	newRound := now.Sub(c.roundStartedAt) > roundDuration
	if !newRound && changeCount == c.planChangeCount && c.round > 0 {
		return c.plan
	}
	if newRound {
		c.round++
		c.roundStartedAt = now
	}
	c.planChangeCount = changeCount
	c.plan = replicate.MakePlan(c.Self.ID, nodesOf(c.Members.All()), c.round)
	return c.plan
}

func nodesOf(members []*membership.Member) []replicate.Node {
	nodes := make([]replicate.Node, 0, len(members))
	for _, m := range members {
		if m.Role == rillreach.RoleStore {
			continue
		}
		nodes = append(nodes, replicate.Node{
			ID:     m.ID,
			Zone:   m.Zone,
			Entry:  m.Role == rillreach.RoleEntry,
			Usable: !m.IsLeaving() && !m.Failing(),
		})
	}
	return nodes
}
