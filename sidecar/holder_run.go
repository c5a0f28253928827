package sidecar

import (
	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/platform"
)

// pageRun is what a page of a holder's changes is worth.
type pageRun int

const (
	// pageOfCurrentRun is of the run that is followed, pageOfNewRun of a later one, pageLate of an earlier one.
	pageOfCurrentRun pageRun = iota
	pageOfLaterRun
	pageOfEarlierRun
)

// classify says which run a page is of. A page that tells no generation is known by its epoch alone.
func (h *holder) classify(page *platform.CacheEvents) pageRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, reported := rillreach.InstanceRun{Generation: h.generation}, rillreach.InstanceRun{Generation: page.Generation}
	epoch := h.epoch.Load()
	switch {
	case known.Supersedes(reported):
		return pageOfEarlierRun
	case reported.Supersedes(known), epoch != 0 && epoch != page.Epoch:
		return pageOfLaterRun
	}
	if page.Generation != 0 {
		h.generation = page.Generation
	}
	return pageOfCurrentRun
}

// reset begins anew with the run that a page is of, which holds the parts.
func (h *holder) reset(page *platform.CacheEvents, held []holdings.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epoch.Swap(page.Epoch) != page.Epoch || page.Generation != 0 {
		h.generation = page.Generation // of the same epoch it is known from other pages where this one does not tell it
	}
	h.tracker.Replace(held)
}

// reportGeneration says which run the holder says it is.
func (h *holder) reportGeneration(page *platform.CacheEvents) {
	if h.onGeneration != nil {
		h.onGeneration(page.Generation)
	}
}

// since returns what has changed after a position at a run, as the tracker does; it reports whether the tracker is of that run.
func (h *holder) since(position uint64, generation rillreach.Generation) (changes []holdings.Change, next uint64, snapshot, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if generation != 0 && h.generation != 0 && generation != h.generation {
		return nil, position, false, false
	}
	changes, next, snapshot = h.tracker.Since(position)
	return changes, next, snapshot, true
}
