package kept

import (
	"context"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/route"
)

// CopyAhead has the state of the conversations that a row's new weights move to the other side copied there, before they
// return: the one served last first, since it is the likeliest to.
func (k *Keeper) CopyAhead(before, after rillreach.Row) {
	k.mu.Lock()
	all := k.recent.all()
	k.mu.Unlock()
	for _, c := range all {
		if c.account != after.Account || c.model != after.Model || c.version != after.Version || len(c.chain) == 0 {
			continue
		}
		to := route.Side(after.Weights, c.id)
		if to == k.Self.Side || to == route.Side(before.Weights, c.id) {
			continue
		}
		k.later(func(ctx context.Context) { k.copyTo(ctx, to, c) })
	}
}

// copyTo copies a conversation's blocks from this side's stores to the other side's.
func (k *Keeper) copyTo(ctx context.Context, to rillreach.Side, c conversation) {
	keys := make([]rillreach.BlockKey, len(c.chain))
	for i, b := range c.chain {
		keys[i] = b.key
	}
	here := k.findOn(ctx, k.storesOn(k.Self.Side, c.id), keys)
	targets := k.storesOn(to, c.id)
	if len(targets) == 0 || len(here.pieces) == 0 {
		return
	}
	there := k.findOn(ctx, targets, keys)
	for _, key := range keys {
		if there.pieces[key] != nil || here.pieces[key] == nil {
			continue
		}
		if err := k.copyBlock(ctx, here.pieces[key], targets); err != nil {
			k.Log.Info("state not copied ahead", "account", c.account, "side", to, "cause", err.Error())
			return
		}
		k.Stats.Copies.Add(1)
	}
	k.Log.Info("copy ahead", "decision", "copied", "account", c.account, "model", c.model, "side", to, "blocks", len(keys))
}

func (k *Keeper) copyBlock(ctx context.Context, from []piece, to []*membership.Member) error {
	b, err := k.read(ctx, from)
	if err != nil {
		return err
	}
	return k.write(ctx, to, b)
}
