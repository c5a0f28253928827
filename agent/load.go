package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/node"
)

const loadInterval = time.Second

// loadReport holds the last load that the engine reported.
type loadReport struct {
	prefillRate atomic.Int64
}

// loadHint returns the load that the agent reports to entries.
func (a *Agent) loadHint() membership.LoadHint {
	hint := membership.LoadHint{
		QueueWait:   a.scheduler.estimateWait(),
		Backlog:     a.scheduler.backlog(),
		PrefillRate: float64(a.load.prefillRate.Load()),
	}
	if a.keeper != nil {
		hint.HitRate, hint.LinkRate, hint.BytesPerToken = a.keeper.Rates()
	}
	return hint
}

// loadWatcher polls the engine's load.
type loadWatcher struct {
	engine rillreach.Engine
	report *loadReport
	node   *node.Node
}

// Name returns the controller's name.
func (w *loadWatcher) Name() string { return "load" }

// Run polls the load until the context ends.
func (w *loadWatcher) Run(ctx context.Context) error {
	w.poll(ctx)
	pause.Every(ctx, loadInterval, w.poll)
	return nil
}

func (w *loadWatcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadInterval)
	defer cancel()
	load, err := w.engine.Load(ctx)
	if err != nil {
		w.node.Log.V(1).Info("failed to read the engine's load", "cause", err.Error())
		return
	}
	w.report.prefillRate.Store(int64(load.PrefillRate))
}
