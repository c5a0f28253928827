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

// found is what the stores of a side have of a prompt.
type found struct {
	// last is the last part whose block is there in whole, or -1.
	last   int
	pieces map[rillreach.BlockKey][]piece
	bytes  int64
}

// ImportState has the engine hold as much of a prompt as is worth reading from stores, before the prompt runs. It never
// fails: what cannot be read is computed again.
func (k *Keeper) ImportState(ctx context.Context, d fleet.Dispatch, wait time.Duration, prefill float64) {
	if len(d.Blocks) == 0 || d.Tokens < minTokens {
		return
	}
	parts, cached := k.resident.LongestPrefix(d.Blocks)
	if len(d.Blocks) > 1 {
		k.noteHit(parts > 0)
	}
	if parts == len(d.Blocks) {
		return
	}
	f := k.find(ctx, d)
	question := keep.ImportInput{
		Tokens: d.Tokens, Cached: cached, QueueWait: wait, PrefillRate: prefill, Objective: d.Objective,
	}
	if f.last >= parts {
		question.Stored = d.Tokens * (f.last + 1) / len(d.Blocks)
		question.Bytes = f.bytes
		question.TransferTime = k.estimate(f)
	}
	verdict := question.Decide()
	k.Log.Info("import", "decision", verdict, "request", d.ID, "account", d.Account, "model", d.Model, "tokens", d.Tokens,
		"cached", cached, "kept", question.Stored, "bytes", question.Bytes, "chosen", storesOf(f))
	if verdict == keep.VerdictImport {
		k.take(ctx, d, f)
	}
}

// storesOf names the stores that have the last block.
func storesOf(f found) []rillreach.InstanceID {
	var stores []rillreach.InstanceID
	for _, pieces := range f.pieces {
		for _, p := range pieces {
			if !slices.Contains(stores, p.store.ID) {
				stores = append(stores, p.store.ID)
			}
		}
	}
	slices.Sort(stores)
	return stores
}

// estimate is how long reading everything would take, all links at once.
func (k *Keeper) estimate(f found) time.Duration {
	perStore := map[rillreach.InstanceID]int64{}
	for _, pieces := range f.pieces {
		for _, p := range pieces {
			perStore[p.store.ID] += p.bytes
		}
	}
	var longest time.Duration
	for id, bytes := range perStore {
		longest = max(longest, k.linkTo(id).EstimateImport(bytes))
	}
	return longest
}

// find looks for a prompt's blocks in the stores of this side, and then in those of the other.
func (k *Keeper) find(ctx context.Context, d fleet.Dispatch) found {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for _, side := range []rillreach.Side{k.Self.Side, otherSide(k.Self.Side)} {
		if f := k.findOn(ctx, k.storesOn(side, d.Conversation), d.Blocks); f.last >= 0 {
			return f
		}
	}
	return found{last: -1}
}

// findOn looks blocks up in some stores, and keeps those of which every stripe is there.
func (k *Keeper) findOn(ctx context.Context, stores []*membership.Member, blocks []rillreach.BlockKey) found {
	held := k.lookup(ctx, stores, stripesOf(blocks))
	f := found{last: -1, pieces: map[rillreach.BlockKey][]piece{}}
	for i, key := range blocks {
		pieces := wholeSet(held, key)
		if pieces == nil {
			continue
		}
		f.last = i
		f.pieces[key] = pieces
		for _, p := range pieces {
			f.bytes += p.bytes
		}
	}
	return f
}

// stripesOf are all the stripes that blocks may be kept in.
func stripesOf(blocks []rillreach.BlockKey) []blockstore.Stripe {
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

// wholeSet are the pieces of a block, most stripes first, or nil if none of its sets is complete.
func wholeSet(held map[blockstore.Stripe]piece, key rillreach.BlockKey) []piece {
	for count := maxStripes; count > 0; count-- {
		var pieces []piece
		for i := range count {
			if p, ok := held[blockstore.Stripe{Key: key, Index: i, Count: count}]; ok {
				pieces = append(pieces, p)
			}
		}
		if len(pieces) == count {
			return pieces
		}
	}
	return nil
}

// lookup asks some stores at once for stripes.
func (k *Keeper) lookup(ctx context.Context, stores []*membership.Member, stripes []blockstore.Stripe) map[blockstore.Stripe]piece {
	var mu sync.Mutex
	held := map[blockstore.Stripe]piece{}
	var wg conc.WaitGroup
	for _, m := range stores {
		wg.Go(func() {
			sizes, err := k.Stores.Lookup(ctx, m.Address, stripes)
			if err != nil {
				k.Stats.Failed.Add(1)
				k.linkTo(m.ID).EndImport(k.Clock.Now(), 0, 0, false)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for stripe, bytes := range sizes {
				held[stripe] = piece{stripe: stripe, store: m, bytes: bytes}
			}
		})
	}
	wg.Wait()
	return held
}

// take reads the blocks back from the last to the first, each naming the one before it, and then gives them to the
// engine in their order. Any doubt ends it.
func (k *Keeper) take(ctx context.Context, d fleet.Dispatch, f found) {
	chain, err := k.readChain(ctx, d, f)
	if err != nil {
		k.Log.Info("kept state not used", "request", d.ID, "chosen", storesOf(f), "cause", err.Error())
		return
	}
	for _, b := range chain {
		if err := k.Engine.Import(ctx, rillreach.KVState{Tokens: b.To, Payload: b.Payload}); err != nil {
			k.Log.Info("engine did not take state", "request", d.ID, "cause", err.Error())
			return
		}
		k.Stats.Imports.Add(1)
	}
	k.remember(d, chain)
}

func (k *Keeper) readChain(ctx context.Context, d fleet.Dispatch, f found) ([]keep.Block, error) {
	var reversed []keep.Block
	for key := d.Blocks[f.last]; key != (rillreach.BlockKey{}); {
		pieces := f.pieces[key]
		if pieces == nil {
			return nil, errors.Wrap(keep.ErrInvalidBlock, "a block goes on from one that is not there")
		}
		b, err := k.read(ctx, pieces)
		if err != nil {
			return nil, err
		}
		if len(reversed) > 0 && !reversed[len(reversed)-1].Follows(b) {
			return nil, errors.Wrap(keep.ErrInvalidBlock, "blocks do not follow each other")
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

// remember notes what of a conversation is kept.
func (k *Keeper) remember(d fleet.Dispatch, chain []keep.Block) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recent.find(d.Conversation) == nil {
		k.recent.add(&conversation{id: d.Conversation, account: d.Account, model: d.Model, version: d.Version, last: k.Clock.Now()})
	}
	for _, b := range chain {
		k.recent.kept(d.Conversation, b.Parent, keptBlock{key: b.Key, to: b.To})
	}
}
