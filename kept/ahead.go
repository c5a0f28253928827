package kept

import (
	"context"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/route"
)

// CopyAhead copies the state of the conversations that a row's new weights move to the other side, so that it is there
// before they return. It starts with the most recently served conversation, which is the most likely to return.
func (k *Keeper) CopyAhead(before, after rillreach.Row) {
	k.mu.Lock()
	conversations := k.conversations.all()
	k.mu.Unlock()
	for _, c := range conversations {
		if c.account != after.Account || c.model != after.Model || c.version != after.Version || len(c.stored) == 0 {
			continue
		}
		side := route.Side(after.Weights, c.id)
		if side == k.Self.Side || side == route.Side(before.Weights, c.id) {
			continue
		}
		k.enqueueJob(func(ctx context.Context) { k.copyConversation(ctx, side, c) })
	}
}

// copyConversation copies a conversation's blocks from this side's stores to those of another side, unless they are
// already there.
func (k *Keeper) copyConversation(ctx context.Context, side rillreach.Side, c conversation) {
	keys := make([]rillreach.BlockKey, len(c.stored))
	for i, b := range c.stored {
		keys[i] = b.key
	}
	local := k.findStoredIn(ctx, k.storesOn(k.Self.Side, c.id), keys)
	targets := k.storesOn(side, c.id)
	if len(targets) == 0 || len(local.stripes) == 0 {
		return
	}
	existing := k.findStoredIn(ctx, targets, keys)
	for _, key := range keys {
		if existing.stripes[key] != nil || local.stripes[key] == nil {
			continue
		}
		if err := k.copyBlock(ctx, local.stripes[key], targets); err != nil {
			k.Log.Info("failed to copy state ahead", "account", c.account, "side", side, "cause", err.Error())
			return
		}
		k.Stats.Copies.Add(1)
	}
	k.Log.Info("copy ahead", "decision", "copied", "account", c.account, "model", c.model, "side", side, "blocks", len(keys))
}

func (k *Keeper) copyBlock(ctx context.Context, stripes []storedStripe, targets []*membership.Member) error {
	b, err := k.readBlock(ctx, stripes)
	if err != nil {
		return err
	}
	return k.writeBlock(ctx, targets, b)
}
