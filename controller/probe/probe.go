// Package probe looks after instances that were found out of reach: it connects to them again, off the path of
// requests, and ends the suspicion of those that answer.
package probe

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/peer"
)

const (
	every   = 500 * time.Millisecond
	timeout = 2 * time.Second
)

// Controller probes the members that are suspected.
type Controller struct {
	// Members are the known instances.
	Members *membership.Members
	// Pool connects to them.
	Pool *peer.Pool
	// Clock tells the time.
	Clock rillreach.Clock
	// Log takes what was found.
	Log logr.Logger
}

// Name is the controller's name.
func (c *Controller) Name() string { return "probe" }

// Run probes until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	pause.Every(ctx, every, c.round)
	return nil
}

func (c *Controller) round(ctx context.Context) {
	var wg conc.WaitGroup
	for _, m := range c.Members.All() {
		if m.Failing() && !m.Suspected(c.Clock.Now()) {
			wg.Go(func() { c.probe(ctx, m) })
		}
	}
	wg.Wait()
}

func (c *Controller) probe(ctx context.Context, m *membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.reach(ctx, m)
	if err != nil {
		wait := m.Suspect(c.Clock.Now())
		c.Log.V(1).Info("instance still out of reach", "instance", m.ID, "wait", wait, "cause", err.Error())
		return
	}
	c.Members.Upsert(conn.Peer)
	m.ClearSuspicion()
	c.Log.Info("instance back in reach", "instance", m.ID, "incarnation", conn.Peer.Incarnation)
}

// reach connects to the member and has it answer, since a process that is frozen still accepts connections.
func (c *Controller) reach(ctx context.Context, m *membership.Member) (*peer.Conn, error) {
	conn, err := c.Pool.Get(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	if _, err := peer.Invoke[fleet.SyncRequest, fleet.SyncResponse](ctx, conn, peer.MethodSync, fleet.SyncRequest{}); err != nil {
		return nil, err
	}
	return conn, nil
}
