package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/platform"
)

const (
	// eventsTimeout is the longest wait that a holder of KV cache takes.
	eventsTimeout = time.Second
	// eventsCoalesceDelay is a pause between calls, so that changes in quick succession cost one call.
	eventsCoalesceDelay = 60 * time.Millisecond
	// holderRetryDelay is a pause after a call that failed.
	holderRetryDelay = 200 * time.Millisecond
)

// holder follows what one runner or store holds.
type holder struct {
	address netip.AddrPort
	store   bool
	client  *platform.Runner
	log     logr.Logger
	tracker holdings.Tracker

	// onGeneration is told of each run that the runner says it is; it is nil at a store.
	onGeneration func(rillreach.Generation)

	mu sync.Mutex
	// generation is that of the run whose parts the tracker holds, unknown at a store.
	generation rillreach.Generation

	epoch       atomic.Uint64
	unreachable atomic.Bool
	// synced says that the tracker holds everything that was there when following began.
	synced atomic.Bool
}

// run follows the holder until the context ends.
func (h *holder) run(ctx context.Context) {
	var since uint64
	for ctx.Err() == nil {
		next, err := h.poll(ctx, since)
		if err != nil {
			h.markLost(ctx, err)
			pause.For(ctx, holderRetryDelay)
			continue
		}
		since = next
		h.markRegained()
		pause.For(ctx, eventsCoalesceDelay)
	}
}

// poll takes the next changes over and returns where to go on from.
func (h *holder) poll(ctx context.Context, since uint64) (uint64, error) {
	if !h.synced.Load() && h.store {
		return h.list(ctx)
	}
	events, err := h.client.Events(ctx, since, eventsTimeout)
	if err != nil {
		return since, err
	}
	h.reportGeneration(&events)
	switch h.classify(&events) {
	case pageOfEarlierRun:
		return since, nil
	case pageOfLaterRun:
		h.log.Info("holder started anew", "decision", "forget", "holder", h.address, "epoch", events.Epoch, "before", h.epoch.Load(), "generation", events.Generation)
		h.reset(&events, nil)
		return 0, nil
	}
	h.epoch.Store(events.Epoch)
	if events.Gap {
		return h.list(ctx)
	}
	h.synced.Store(true)
	h.tracker.Apply(events.Changes)
	return events.Next, nil
}

// list asks for everything, since changes are missing.
func (h *holder) list(ctx context.Context) (uint64, error) {
	all, err := h.client.List(ctx)
	if err != nil {
		return 0, err
	}
	h.reportGeneration(&all)
	if h.classify(&all) == pageOfEarlierRun {
		return 0, nil
	}
	h.reset(&all, all.Changes)
	h.synced.Store(true)
	h.log.Info("holder listed", "decision", "replace", "holder", h.address, "epoch", all.Epoch, "parts", len(all.Changes))
	return all.Next, nil
}

func (h *holder) markLost(ctx context.Context, err error) {
	if ctx.Err() == nil && !h.unreachable.Swap(true) {
		h.log.Error(err, "dependency lost", "dependency", "holder", "holder", h.address, "store", h.store)
	}
}

func (h *holder) markRegained() {
	if h.unreachable.Swap(false) {
		h.log.Info("dependency regained", "dependency", "holder", "holder", h.address, "store", h.store)
	}
}

// free has the store free parts; what it no longer holds is told by its events.
func (h *holder) free(ctx context.Context, parts []holdings.Key) error {
	err := h.client.Free(ctx, h.epoch.Load(), parts)
	if errors.Is(err, platform.ErrRestarted) {
		return nil // the parts went with the run that held them
	}
	return err
}
