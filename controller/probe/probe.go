// Package probe reconnects to unreachable instances in the background, and clears the suspicion of those that respond.
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
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 2 * time.Second
)

// Controller probes failing members once their suspicion has expired.
type Controller struct {
	// Members are the known instances.
	Members *membership.Members
	// Pool connects to them.
	Pool *peer.Pool
	// Clock is the source of the current time.
	Clock rillreach.Clock
	// Log receives the results of probes.
	Log logr.Logger
}

// Name returns the controller's name.
func (c *Controller) Name() string { return "probe" }

// Run probes members until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	pause.Every(ctx, probeInterval, c.probeAll)
	return nil
}

func (c *Controller) probeAll(ctx context.Context) {
	var wg conc.WaitGroup
	for _, m := range c.Members.All() {
		if m.Failing() && !m.Suspected(c.Clock.Now()) {
			wg.Go(func() { c.probe(ctx, m) })
		}
	}
	wg.Wait()
}

func (c *Controller) probe(ctx context.Context, m *membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := c.connect(ctx, m)
	if err != nil {
		wait := m.Suspect(c.Clock.Now())
		c.Log.V(1).Info("instance still unreachable", "instance", m.ID, "wait", wait, "cause", err.Error())
		return
	}
	c.Members.Upsert(conn.Peer)
	m.ClearSuspicion()
	c.Log.Info("instance back in reach", "instance", m.ID, "incarnation", conn.Peer.Incarnation)
}

// connect connects to the member and waits for a response, because a frozen process still accepts connections.
func (c *Controller) connect(ctx context.Context, m *membership.Member) (*peer.Conn, error) {
	conn, err := c.Pool.Get(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	if _, err := peer.Invoke[fleet.SyncRequest, fleet.SyncResponse](ctx, conn, peer.MethodSync, fleet.SyncRequest{}); err != nil {
		return nil, err
	}
	return conn, nil
}
