package kept

import (
	"context"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/membership"
)

// found is what a store has of a prompt.
type found struct {
	store *membership.Member
	// last is the last part whose block is there.
	last  int
	sizes []int64
	bytes int64
}

// Prepare has the engine hold as much of a prompt as is worth reading from stores, before the prompt runs. It never
// fails: what cannot be read is computed again.
func (k *Keeper) Prepare(ctx context.Context, d fleet.Dispatch, wait time.Duration, prefill float64) {
	if len(d.Blocks) == 0 || d.Tokens < minTokens {
		return
	}
	parts, cached := k.resident.Longest(d.Blocks)
	if len(d.Blocks) > 1 {
		k.noteHit(parts > 0)
	}
	if parts == len(d.Blocks) {
		return
	}
	f := k.find(ctx, d)
	question := keep.Import{
		Tokens: d.Tokens, Cached: cached, Wait: wait, PrefillRate: prefill, Objective: d.Objective,
	}
	if f.store != nil && f.last >= parts {
		question.Kept = d.Tokens * (f.last + 1) / len(d.Blocks)
		question.Bytes = f.bytes
		question.Transfer = k.linkTo(f.store.ID).Estimate(f.bytes)
	}
	verdict := question.Decide()
	k.Log.Info("import", "decision", verdict, "request", d.ID, "account", d.Account, "model", d.Model, "tokens", d.Tokens,
		"cached", cached, "kept", question.Kept, "bytes", question.Bytes, "chosen", storeName(f.store))
	if verdict == keep.VerdictImport {
		k.take(ctx, d, f)
	}
}

func storeName(m *membership.Member) rillreach.InstanceID {
	if m == nil {
		return ""
	}
	return m.ID
}

// find looks for a prompt's blocks in the stores of this side, and then in those of the other.
func (k *Keeper) find(ctx context.Context, d fleet.Dispatch) found {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for _, side := range []rillreach.Side{k.Self.Side, otherSide(k.Self.Side)} {
		for _, m := range k.storesOn(side, d.Conversation) {
			if f := k.lookup(ctx, m, d.Blocks); f.store != nil {
				return f
			}
		}
	}
	return found{}
}

func (k *Keeper) lookup(ctx context.Context, m *membership.Member, blocks []rillreach.BlockKey) found {
	sizes, err := k.Stores.Lookup(ctx, m.Address, blocks)
	if err != nil {
		k.Stats.Failed.Add(1)
		k.linkTo(m.ID).End(k.Clock.Now(), 0, 0, false)
		return found{}
	}
	f := found{last: -1, sizes: sizes}
	for i, size := range sizes {
		if size > 0 {
			f.store, f.last = m, i
			f.bytes += size
		}
	}
	return f
}

// take reads the blocks back from the last to the first, each naming the one before it, and then gives them to the
// engine in their order. Any doubt ends it.
func (k *Keeper) take(ctx context.Context, d fleet.Dispatch, f found) {
	chain, err := k.readChain(ctx, d, f)
	if err != nil {
		k.Log.Info("kept state not used", "request", d.ID, "chosen", f.store.ID, "cause", err.Error())
		return
	}
	for _, b := range chain {
		if err := k.Engine.Import(ctx, rillreach.State{Tokens: b.To, Payload: b.Payload}); err != nil {
			k.Log.Info("engine did not take state", "request", d.ID, "cause", err.Error())
			return
		}
		k.Stats.Imports.Add(1)
	}
	k.remember(d, chain)
}

func (k *Keeper) readChain(ctx context.Context, d fleet.Dispatch, f found) ([]keep.Block, error) {
	sizes := map[rillreach.BlockKey]int64{}
	for i, key := range d.Blocks {
		sizes[key] = f.sizes[i]
	}
	var reversed []keep.Block
	for key := d.Blocks[f.last]; key != (rillreach.BlockKey{}); {
		b, err := k.read(ctx, f.store, key, sizes[key])
		if err != nil {
			return nil, err
		}
		if len(reversed) > 0 && !reversed[len(reversed)-1].Follows(b) {
			return nil, keep.ErrNotWhole
		}
		if _, known := sizes[b.Parent]; !known && b.Parent != (rillreach.BlockKey{}) {
			return nil, keep.ErrNotWhole
		}
		reversed = append(reversed, b)
		key = b.Parent
	}
	chain := make([]keep.Block, len(reversed))
	for i, b := range reversed {
		chain[len(reversed)-1-i] = b
	}
	if !chain[0].Follows(keep.Block{}) {
		return nil, keep.ErrNotWhole
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
