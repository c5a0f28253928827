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
	"github.com/rillreach/rillreach/cacheindex"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/platform"
)

const (
	// eventsTimeout is how long a call for events waits for a change, the most that holders of KV cache accept.
	eventsTimeout = time.Second
	// eventsCoalesceDelay is the pause between calls, so that changes in quick succession cost one call.
	eventsCoalesceDelay = 60 * time.Millisecond
	// holderRetryDelay is the pause after a failed call.
	holderRetryDelay = 200 * time.Millisecond
)

// holder keeps track of the KV cache that one runner or cache store holds.
type holder struct {
	address netip.AddrPort
	store   bool
	client  *platform.RunnerClient
	log     logr.Logger
	tracker cacheindex.Tracker

	// onGeneration is called with the generation in each response of a runner; it is nil for a store.
	onGeneration func(rillreach.Generation)

	mu sync.Mutex
	// generation is that of the run whose parts the tracker holds; unknown for a store.
	generation rillreach.Generation

	epoch       atomic.Uint64
	unreachable atomic.Bool
	// synced is set once the tracker has everything that the holder held when following began.
	synced atomic.Bool
}

// run follows the holder until the context is cancelled.
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

// poll applies the changes after a position, and returns the position to continue from.
func (h *holder) poll(ctx context.Context, since uint64) (uint64, error) {
	if !h.synced.Load() && h.store {
		return h.list(ctx)
	}
	events, err := h.client.WatchCache(ctx, since, eventsTimeout)
	if err != nil {
		return since, err
	}
	h.reportGeneration(&events)
	switch h.classify(&events) {
	case pageOfEarlierRun:
		return since, nil
	case pageOfLaterRun:
		h.log.Info("holder restarted", "decision", "forget", "holder", h.address, "epoch", events.Epoch, "before", h.epoch.Load(), "generation", events.Generation)
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

// list replaces the tracker's contents with a full listing, and returns the position to continue from.
func (h *holder) list(ctx context.Context) (uint64, error) {
	all, err := h.client.ListCache(ctx)
	if err != nil {
		return 0, err
	}
	h.reportGeneration(&all)
	if h.classify(&all) == pageOfEarlierRun {
		return 0, nil
	}
	h.reset(&all, all.Changes)
	h.synced.Store(true)
	h.log.Info("holder listed in full", "decision", "replace", "holder", h.address, "epoch", all.Epoch, "parts", len(all.Changes))
	return all.Next, nil
}

// markLost records a failed call, and logs the first of several in a row.
func (h *holder) markLost(ctx context.Context, err error) {
	if ctx.Err() == nil && !h.unreachable.Swap(true) {
		h.log.Error(err, "dependency lost", "dependency", "holder", "holder", h.address, "store", h.store)
	}
}

// markRegained records a successful call, and logs the first after a failure.
func (h *holder) markRegained() {
	if h.unreachable.Swap(false) {
		h.log.Info("dependency regained", "dependency", "holder", "holder", h.address, "store", h.store)
	}
}

// free has the store free parts. The store reports the freed parts in its events.
func (h *holder) free(ctx context.Context, parts []cacheindex.Key) error {
	err := h.client.FreeParts(ctx, h.epoch.Load(), parts)
	if errors.Is(err, platform.ErrRestarted) {
		return nil // the run that held the parts has ended
	}
	return err
}
