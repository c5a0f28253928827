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
	// eventsWait is the longest wait that a holder of KV cache takes.
	eventsWait = time.Second
	// gatherEvents is a pause between calls, so that changes in quick succession cost one call.
	gatherEvents = 60 * time.Millisecond
	// holderPause is a pause after a call that failed.
	holderPause = 200 * time.Millisecond
)

// holder follows what one runner or store holds.
type holder struct {
	place   netip.AddrPort
	store   bool
	client  *platform.RunnerClient
	log     logr.Logger
	tracker holdings.Tracker

	// observe is told of each run that the runner says it is; it is nil at a store.
	observe func(rillreach.Generation)

	mu sync.Mutex
	// generation is that of the run whose parts the tracker holds, unknown at a store.
	generation rillreach.Generation

	epoch atomic.Uint64
	down  atomic.Bool
	// listed says that the tracker holds everything that was there when following began.
	listed atomic.Bool
}

// run follows the holder until the context ends.
func (h *holder) run(ctx context.Context) {
	var since uint64
	for ctx.Err() == nil {
		next, err := h.follow(ctx, since)
		if err != nil {
			h.lost(ctx, err)
			pause.For(ctx, holderPause)
			continue
		}
		since = next
		h.regained()
		pause.For(ctx, gatherEvents)
	}
}

// follow takes the next changes over and returns where to go on from.
func (h *holder) follow(ctx context.Context, since uint64) (uint64, error) {
	if !h.listed.Load() && h.store {
		return h.list(ctx)
	}
	events, err := h.client.WatchCache(ctx, since, eventsWait)
	if err != nil {
		return since, err
	}
	h.tell(&events)
	switch h.judge(&events) {
	case pageLate:
		return since, nil
	case pageOfNewRun:
		h.log.Info("holder started anew", "decision", "forget", "holder", h.place, "epoch", events.Epoch, "before", h.epoch.Load(), "generation", events.Generation)
		h.renew(&events, nil)
		return 0, nil
	}
	h.epoch.Store(events.Epoch)
	if events.Gap {
		return h.list(ctx)
	}
	h.listed.Store(true)
	h.tracker.Apply(events.Changes)
	return events.Next, nil
}

// list asks for everything, since changes are missing.
func (h *holder) list(ctx context.Context) (uint64, error) {
	all, err := h.client.ListCache(ctx)
	if err != nil {
		return 0, err
	}
	h.tell(&all)
	if h.judge(&all) == pageLate {
		return 0, nil
	}
	h.renew(&all, all.Changes)
	h.listed.Store(true)
	h.log.Info("holder listed", "decision", "replace", "holder", h.place, "epoch", all.Epoch, "parts", len(all.Changes))
	return all.Next, nil
}

func (h *holder) lost(ctx context.Context, err error) {
	if ctx.Err() == nil && !h.down.Swap(true) {
		h.log.Error(err, "dependency lost", "dependency", "holder", "holder", h.place, "store", h.store)
	}
}

func (h *holder) regained() {
	if h.down.Swap(false) {
		h.log.Info("dependency regained", "dependency", "holder", "holder", h.place, "store", h.store)
	}
}

// free has the store free parts; what it no longer holds is told by its events.
func (h *holder) free(ctx context.Context, parts []holdings.Key) error {
	err := h.client.FreeParts(ctx, h.epoch.Load(), parts)
	if errors.Is(err, platform.ErrRestarted) {
		return nil // the parts went with the run that held them
	}
	return err
}
