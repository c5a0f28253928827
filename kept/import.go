package kept

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/blockstore"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/membership"
)

// storedBlocks are the blocks of a prompt that were found in the stores of a side.
type storedBlocks struct {
	// lastPart is the index of the last part whose block is complete, or -1.
	lastPart int
	stripes  map[rillreach.BlockKey][]storedStripe
	bytes    int64
}

// ImportState imports as much of a prompt's state into the engine as is worth reading from stores, before the prompt
// runs. It returns no error, since the engine recomputes what was not imported.
func (k *Keeper) ImportState(ctx context.Context, d fleet.Dispatch, queueWait time.Duration, prefillRate float64) {
	if len(d.Blocks) == 0 || d.Tokens < minPromptTokens {
		return
	}
	cachedParts, cachedTokens := k.cache.LongestPrefix(d.Blocks)
	if len(d.Blocks) > 1 {
		k.recordHit(cachedParts > 0)
	}
	if cachedParts == len(d.Blocks) {
		return
	}
	stored := k.findStored(ctx, d)
	input := keep.ImportInput{
		Tokens: d.Tokens, Cached: cachedTokens, QueueWait: queueWait, PrefillRate: prefillRate, Objective: d.Objective,
	}
	if stored.lastPart >= cachedParts {
		input.Stored = d.Tokens * (stored.lastPart + 1) / len(d.Blocks)
		input.Bytes = stored.bytes
		input.TransferTime = k.estimateImport(stored)
	}
	verdict := input.Decide()
	k.Log.Info("import", "decision", verdict, "request", d.ID, "account", d.Account, "model", d.Model, "tokens", d.Tokens,
		"cached", cachedTokens, "kept", input.Stored, "bytes", input.Bytes, "chosen", storeIDs(stored))
	if verdict == keep.VerdictImport {
		k.importBlocks(ctx, d, stored)
	}
}

// storeIDs returns the sorted IDs of the stores that have any of the blocks.
func storeIDs(blocks storedBlocks) []rillreach.InstanceID {
	var stores []rillreach.InstanceID
	for _, stripes := range blocks.stripes {
		for _, s := range stripes {
			if !slices.Contains(stores, s.store.ID) {
				stores = append(stores, s.store.ID)
			}
		}
	}
	slices.Sort(stores)
	return stores
}

// estimateImport returns how long it would take to read all blocks, over all links in parallel.
func (k *Keeper) estimateImport(blocks storedBlocks) time.Duration {
	perStore := map[rillreach.InstanceID]int64{}
	for _, stripes := range blocks.stripes {
		for _, s := range stripes {
			perStore[s.store.ID] += s.bytes
		}
	}
	var longest time.Duration
	for id, bytes := range perStore {
		longest = max(longest, k.linkTo(id).EstimateImport(bytes))
	}
	return longest
}

// findStored looks up a prompt's blocks in the stores of this side, and if none are found, in those of the other side.
func (k *Keeper) findStored(ctx context.Context, d fleet.Dispatch) storedBlocks {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for _, side := range []rillreach.Side{k.Self.Side, otherSide(k.Self.Side)} {
		if found := k.findStoredIn(ctx, k.storesOn(side, d.Conversation), d.Blocks); found.lastPart >= 0 {
			return found
		}
	}
	return storedBlocks{lastPart: -1}
}

// findStoredIn looks up blocks in the given stores. It returns only blocks of which all stripes are available.
func (k *Keeper) findStoredIn(ctx context.Context, stores []*membership.Member, blocks []rillreach.BlockKey) storedBlocks {
	available := k.lookupStripes(ctx, stores, possibleStripes(blocks))
	found := storedBlocks{lastPart: -1, stripes: map[rillreach.BlockKey][]storedStripe{}}
	for i, key := range blocks {
		stripes := completeStripes(available, key)
		if stripes == nil {
			continue
		}
		found.lastPart = i
		found.stripes[key] = stripes
		for _, s := range stripes {
			found.bytes += s.bytes
		}
	}
	return found
}

// possibleStripes returns all stripes into which the blocks may have been split.
func possibleStripes(blocks []rillreach.BlockKey) []blockstore.Stripe {
	var stripes []blockstore.Stripe
	for _, key := range blocks {
		for count := 1; count <= maxStripes; count++ {
			for i := range count {
				stripes = append(stripes, blockstore.Stripe{Key: key, Index: i, Count: count})
			}
		}
	}
	return stripes
}

// completeStripes returns a complete set of stripes of a block, preferring the set with the most stripes, or nil if no
// set is complete.
func completeStripes(available map[blockstore.Stripe]storedStripe, key rillreach.BlockKey) []storedStripe {
	for count := maxStripes; count > 0; count-- {
		var stripes []storedStripe
		for i := range count {
			if s, ok := available[blockstore.Stripe{Key: key, Index: i, Count: count}]; ok {
				stripes = append(stripes, s)
			}
		}
		if len(stripes) == count {
			return stripes
		}
	}
	return nil
}

// lookupStripes looks up stripes in all given stores in parallel.
func (k *Keeper) lookupStripes(ctx context.Context, stores []*membership.Member, stripes []blockstore.Stripe) map[blockstore.Stripe]storedStripe {
	var mu sync.Mutex
	available := map[blockstore.Stripe]storedStripe{}
	var wg conc.WaitGroup
	for _, store := range stores {
		wg.Go(func() {
			sizes, err := k.Stores.Lookup(ctx, store.Address, stripes)
			if err != nil {
				k.Stats.Failed.Add(1)
				k.linkTo(store.ID).EndImport(k.Clock.Now(), 0, 0, false)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for stripe, bytes := range sizes {
				available[stripe] = storedStripe{stripe: stripe, store: store, bytes: bytes}
			}
		})
	}
	wg.Wait()
	return available
}

// importBlocks reads the blocks and imports them into the engine. It stops at the first error.
func (k *Keeper) importBlocks(ctx context.Context, d fleet.Dispatch, blocks storedBlocks) {
	chain, err := k.readChain(ctx, d, blocks)
	if err != nil {
		k.Log.Info("kept state not used", "request", d.ID, "chosen", storeIDs(blocks), "cause", err.Error())
		return
	}
	for _, b := range chain {
		if err := k.Engine.Import(ctx, rillreach.KVState{Tokens: b.To, Payload: b.Payload}); err != nil {
			k.Log.Info("engine failed to import state", "request", d.ID, "cause", err.Error())
			return
		}
		k.Stats.Imports.Add(1)
	}
	k.recordStored(d, chain)
}

// readChain reads the blocks from the last to the first, following their parents, and returns them in the order of the
// prompt. It fails if a block is missing or invalid, or if the blocks are not contiguous.
func (k *Keeper) readChain(ctx context.Context, d fleet.Dispatch, blocks storedBlocks) ([]keep.Block, error) {
	var reversed []keep.Block
	for key := d.Blocks[blocks.lastPart]; key != (rillreach.BlockKey{}); {
		stripes := blocks.stripes[key]
		if stripes == nil {
			return nil, errors.Wrap(keep.ErrInvalidBlock, "parent of a block was not found")
		}
		b, err := k.readBlock(ctx, stripes)
		if err != nil {
			return nil, err
		}
		if len(reversed) > 0 && !reversed[len(reversed)-1].Follows(b) {
			return nil, errors.Wrap(keep.ErrInvalidBlock, "blocks are not contiguous")
		}
		reversed = append(reversed, b)
		key = b.Parent
	}
	chain := make([]keep.Block, len(reversed))
	for i, b := range reversed {
		chain[len(reversed)-1-i] = b
	}
	if !chain[0].Follows(keep.Block{}) {
		return nil, keep.ErrInvalidBlock
	}
	return chain, nil
}

// recordStored records which blocks of a conversation are stored.
func (k *Keeper) recordStored(d fleet.Dispatch, chain []keep.Block) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conversations.find(d.Conversation) == nil {
		k.conversations.add(&conversation{id: d.Conversation, account: d.Account, model: d.Model, version: d.Version, lastAnswered: k.Clock.Now()})
	}
	for _, b := range chain {
		k.conversations.recordStored(d.Conversation, b.Parent, storedBlock{key: b.Key, to: b.To})
	}
}
