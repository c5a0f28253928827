package gateway

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/internal/pause"
)

const (
	// initialSyncTimeout is how long after its start an entry holds requests that arrive before the configuration and
	// the list of runners. Both arrive within about 50 ms if the object store responds, and a refusal costs the caller
	// one of its attempts.
	initialSyncTimeout = time.Second
	// syncPollInterval is the interval at which waiting requests check whether both have arrived.
	syncPollInterval = 10 * time.Millisecond
)

// awaitSync waits until the entry knows enough to serve, but no longer than initialSyncTimeout after its start.
func (g *Gateway) awaitSync(ctx context.Context) {
	for !g.state.HasSynced() && time.Since(g.startedAt) < initialSyncTimeout && ctx.Err() == nil {
		pause.For(ctx, syncPollInterval)
	}
}
