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

// digestAll compares marks with one partner after another.
func (c *Controller) digestAll(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, jitter(c.SyncInterval))
		partners := c.currentPlan().Partners
		if len(partners) == 0 || ctx.Err() != nil {
			continue
		}
		id := partners[rand.IntN(len(partners))]
		if err := c.syncWith(ctx, id); err != nil {
			c.Log.V(1).Info("marks not compared", "peer", id, "cause", err.Error())
		}
		if c.stale() {
			c.lookAfterWatchers(ctx)
		}
	}
}

// stale reports whether nothing has confirmed the copy of the rows for longer than watchers that work would let pass.
func (c *Controller) stale() bool {
	return c.Clock.Now().UnixNano()-c.confirmed.Load() > int64(staleWatches*c.WatchTimeout)
}

// lookAfterWatchers suspects the zone's watchers that do not answer, so that others take their place. All processes of
// the zone come to look when the watchers are gone; in an outage of the platform the watchers answer, and stay.
func (c *Controller) lookAfterWatchers(ctx context.Context) {
	for _, id := range c.currentPlan().Watchers {
		if id == c.Self.ID || c.syncWith(ctx, id) == nil {
			continue
		}
		if m := c.Members.Find(id); m != nil && ctx.Err() == nil {
			m.Suspect(c.Clock.Now())
			c.Log.Info("watcher out of reach", "peer", id)
		}
	}
}

func (c *Controller) syncWith(ctx context.Context, id rillreach.InstanceID) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := c.connect(ctx, id)
	if err != nil {
		return err
	}
	return c.syncOver(ctx, conn)
}

// CatchUp compares marks with a peer when real traffic has shown that its copy of the rows goes up to a mark that this
// process has not reached.
func (c *Controller) CatchUp(conn *peer.Conn, mark uint64) {
	if mark <= c.Replica.Watermark(rillreach.KindRow).Version {
		return
	}
	c.Stats.CatchUps.Add(1)
	c.pushes.Go(func() {
		ctx, cancel := context.WithTimeout(c.base, askTimeout)
		defer cancel()
		if err := c.syncOver(ctx, conn); err != nil {
			c.Log.V(1).Info("not caught up", "peer", conn.Peer.ID, "cause", err.Error())
		}
	})
}

func (c *Controller) syncOver(ctx context.Context, conn *peer.Conn) error {
	c.Stats.Syncs.Add(1)
	reply, err := peer.Invoke[fleet.SyncRequest, fleet.SyncResponse](ctx, conn, peer.MethodSync, fleet.SyncRequest{Watermarks: c.Replica.Watermarks()})
	if err != nil {
		return errors.Wrapf(err, "compare marks with %s", conn.Peer.ID)
	}
	for _, d := range reply.Deltas {
		c.merge(d, conn.Peer.ID)
	}
	return c.giveBack(ctx, conn, reply.Watermarks)
}

// giveBack sends the peer what it lacks itself.
func (c *Controller) giveBack(ctx context.Context, conn *peer.Conn, marks []replicate.Watermark) error {
	for _, mark := range marks {
		d, ok := c.Replica.DeltaSince(mark)
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

func (c *Controller) answerSync(_ context.Context, _ *peer.Conn, s fleet.SyncRequest) (fleet.SyncResponse, error) {
	reply := fleet.SyncResponse{Watermarks: c.Replica.Watermarks()}
	for _, mark := range s.Watermarks {
		if d, ok := c.Replica.DeltaSince(mark); ok {
			reply.Deltas = append(reply.Deltas, d)
		}
	}
	return reply, nil
}

// currentPlan returns this process's part, made anew when the instances have changed or its partners are to be redrawn.
func (c *Controller) currentPlan() replicate.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes, now := c.Members.ChangeCount(), c.Clock.Now()
	redraw := now.Sub(c.drawn) > redrawEvery
	if !redraw && changes == c.planned && c.turn > 0 {
		return c.plan
	}
	if redraw {
		c.turn++
		c.drawn = now
	}
	c.planned = changes
	c.plan = replicate.MakePlan(c.Self.ID, nodesOf(c.Members.All()), c.turn)
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
