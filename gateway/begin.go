package gateway

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/internal/pause"
)

const (
	// initialSyncTimeout is for how long after its start an entry has requests wait for the configuration and the list of runners: both come within some
	// 50 ms where the object store answers, and a caller that is refused has one try less.
	initialSyncTimeout = time.Second
	// syncPollInterval is how often it is looked whether they are there.
	syncPollInterval = 10 * time.Millisecond
)

// awaitSync waits until the entry knows enough to serve, for a short time after its start.
func (g *Gateway) awaitSync(ctx context.Context) {
	for !g.state.HasSynced() && time.Since(g.began) < initialSyncTimeout && ctx.Err() == nil {
		pause.For(ctx, syncPollInterval)
	}
}
