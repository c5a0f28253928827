package sidecar

import (
	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/platform"
)

// pageVerdict is what a page of a holder's changes is worth.
type pageVerdict int

const (
	// pagePresent is of the run that is followed, pageOfNewRun of a later one, pageLate of an earlier one.
	pagePresent pageVerdict = iota
	pageOfNewRun
	pageLate
)

// judge says which run a page is of. A page that tells no generation is known by its epoch alone.
func (h *holder) judge(page *platform.CacheEvents) pageVerdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, told := rillreach.InstanceRun{Generation: h.generation}, rillreach.InstanceRun{Generation: page.Generation}
	before := h.epoch.Load()
	switch {
	case known.Supersedes(told):
		return pageLate
	case told.Supersedes(known), before != 0 && before != page.Epoch:
		return pageOfNewRun
	}
	if page.Generation != 0 {
		h.generation = page.Generation
	}
	return pagePresent
}

// renew begins anew with the run that a page is of, which holds the parts.
func (h *holder) renew(page *platform.CacheEvents, held []holdings.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epoch.Swap(page.Epoch) != page.Epoch || page.Generation != 0 {
		h.generation = page.Generation // of the same epoch it is known from other pages where this one does not tell it
	}
	h.tracker.Replace(held)
}

// tell says which run the holder says it is.
func (h *holder) tell(page *platform.CacheEvents) {
	if h.observe != nil {
		h.observe(page.Generation)
	}
}

// since returns what has changed after a position at a run, as the tracker does; it reports whether the tracker is of that run.
func (h *holder) since(position uint64, generation rillreach.Generation) (changes []holdings.Change, next uint64, whole, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if generation != 0 && h.generation != 0 && generation != h.generation {
		return nil, position, false, false
	}
	changes, next, whole = h.tracker.Since(position)
	return changes, next, whole, true
}
