package sidecar

import (
	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/cacheindex"
	"github.com/rillreach/rillreach/platform"
)

// pageRun says which run of a holder a page of its changes belongs to.
type pageRun int

const (
	// pageOfCurrentRun is a page of the run that is being followed, pageOfLaterRun one of a run that has replaced it,
	// and pageOfEarlierRun one of a run that it has replaced.
	pageOfCurrentRun pageRun = iota
	pageOfLaterRun
	pageOfEarlierRun
)

// classify determines which run a page belongs to, and records its generation if it is of the current run. A page
// without a generation is identified by its epoch only.
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

// reset switches to the run that a page belongs to, which holds the given parts.
func (h *holder) reset(page *platform.CacheEvents, held []cacheindex.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epoch.Swap(page.Epoch) != page.Epoch || page.Generation != 0 {
		h.generation = page.Generation // a page of the same epoch without a generation leaves the known one in place
	}
	h.tracker.Replace(held)
}

// reportGeneration calls onGeneration with the generation of a page.
func (h *holder) reportGeneration(page *platform.CacheEvents) {
	if h.onGeneration != nil {
		h.onGeneration(page.Generation)
	}
}

// since returns the changes after a position, like cacheindex.Tracker.Since, and whether the tracker belongs to the run
// with the given generation. An unknown generation on either side counts as the same run.
func (h *holder) since(position uint64, generation rillreach.Generation) (changes []cacheindex.Change, next uint64, snapshot, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if generation != 0 && h.generation != 0 && generation != h.generation {
		return nil, position, false, false
	}
	changes, next, snapshot = h.tracker.Since(position)
	return changes, next, snapshot, true
}
