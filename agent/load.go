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

const loadEvery = time.Second

// loadReport is the last report of the engine.
type loadReport struct {
	prefill atomic.Int64
}

// hint is what the agent tells entries of its load.
func (a *Agent) hint() membership.LoadHint {
	hint := membership.LoadHint{
		QueueWait:   a.slots.estimate(),
		Backlog:     a.slots.backlog(),
		PrefillRate: float64(a.load.prefill.Load()),
	}
	if a.keeper != nil {
		hint.HitRate, hint.LinkRate, hint.BytesPerToken = a.keeper.Rates()
	}
	return hint
}

// loadWatcher reads the engine's report of its load.
type loadWatcher struct {
	engine rillreach.Engine
	report *loadReport
	node   *node.Node
}

// Name is the controller's name.
func (w *loadWatcher) Name() string { return "load" }

// Run reads the report until the context ends.
func (w *loadWatcher) Run(ctx context.Context) error {
	w.read(ctx)
	pause.Every(ctx, loadEvery, w.read)
	return nil
}

func (w *loadWatcher) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadEvery)
	defer cancel()
	load, err := w.engine.Load(ctx)
	if err != nil {
		w.node.Log.V(1).Info("engine's load not read", "cause", err.Error())
		return
	}
	w.report.prefill.Store(int64(load.PrefillRate))
}
