package kept

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/keep"
)

// bytesPerToken is what a token's state is taken to be before any was exported, in bytes.
const bytesPerToken = 1024

// export writes what is not kept yet of a prompt's state to its store.
func (k *Keeper) export(ctx context.Context, d fleet.Dispatch) {
	verdict, err := k.tryExport(ctx, d)
	if err != nil {
		k.Log.Info("state not kept", "request", d.ID, "account", d.Account, "cause", err.Error())
		return
	}
	k.Log.Info("export", "decision", verdict, "request", d.ID, "account", d.Account, "model", d.Model, "tokens", d.Tokens)
}

func (k *Keeper) tryExport(ctx context.Context, d fleet.Dispatch) (keep.Verdict, error) {
	key := d.Blocks[len(d.Blocks)-1]
	k.mu.Lock()
	last, _ := k.recent.lastKept(d)
	chance := k.recent.gapsOf(d.Account).ReturnProbability(0, retention)
	k.mu.Unlock()
	if last.key == key {
		return keep.VerdictAlreadyStored, nil
	}
	stores := k.storesOn(k.Self.Side, d.Conversation)
	if len(stores) == 0 {
		return "", errors.New("no store is there")
	}
	_, _, perToken := k.Rates()
	if perToken == 0 {
		perToken = bytesPerToken
	}
	question := keep.ExportInput{
		Tokens:            d.Tokens - last.to,
		Bytes:             int64(float64(d.Tokens-last.to) * perToken),
		ReturnProbability: chance,
		LinkRate:          k.linkTo(stores[0].ID).Rate() * float64(len(stores)),
	}
	if verdict := question.Decide(); verdict != keep.VerdictExport {
		return verdict, nil
	}
	state, err := k.Engine.Export(ctx, rillreach.KVStateRef{Salt: d.Salt, Prompt: d.Body, SkipTokens: last.to})
	if err != nil {
		return "", err
	}
	if state.Tokens <= last.to {
		return keep.VerdictTooSmall, nil
	}
	b := keep.Block{
		Key: key, Parent: last.key, Generation: uuid.NewString(), From: last.to, To: state.Tokens, Payload: state.Payload,
	}
	if err := k.write(ctx, stores, b); err != nil {
		return "", err
	}
	k.Stats.Exports.Add(1)
	k.mu.Lock()
	k.stateBytes = float64(len(state.Payload)) / float64(b.To-b.From)
	k.mu.Unlock()
	k.remember(d, []keep.Block{b})
	return keep.VerdictExport, nil
}
