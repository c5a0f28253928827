package gateway

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/internal/pause"
)

const (
	// beginWithin is for how long after its start an entry has requests wait for the configuration and the list of runners: both come within some
	// 50 ms where the object store answers, and a caller that is refused has one try less.
	beginWithin = time.Second
	// beginLook is how often it is looked whether they are there.
	beginLook = 10 * time.Millisecond
)

// awaitState waits until the entry knows enough to serve, for a short time after its start.
func (g *Gateway) awaitState(ctx context.Context) {
	for !g.state.HasSynced() && time.Since(g.startedAt) < beginWithin && ctx.Err() == nil {
		pause.For(ctx, beginLook)
	}
}
