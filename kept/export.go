package kept

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/keep"
)

// defaultBytesPerToken is the assumed size of the state of a token until the first export.
const defaultBytesPerToken = 1024

// exportState writes the part of a prompt's state that is not stored yet to the stores of this side.
func (k *Keeper) exportState(ctx context.Context, d fleet.Dispatch) {
	verdict, err := k.tryExport(ctx, d)
	if err != nil {
		k.Log.Info("state not kept", "request", d.ID, "account", d.Account, "cause", err.Error())
		return
	}
	k.Log.Info("export", "decision", verdict, "request", d.ID, "account", d.Account, "model", d.Model, "tokens", d.Tokens)
}

// tryExport exports the state if that is worthwhile, and returns the decision.
func (k *Keeper) tryExport(ctx context.Context, d fleet.Dispatch) (keep.Verdict, error) {
	key := d.Blocks[len(d.Blocks)-1]
	k.mu.Lock()
	last, _ := k.conversations.lastStored(d)
	returnProbability := k.conversations.returnsOf(d.Account).ReturnProbability(0, expectedRetention)
	k.mu.Unlock()
	if last.key == key {
		return keep.VerdictAlreadyStored, nil
	}
	stores := k.storesOn(k.Self.Side, d.Conversation)
	if len(stores) == 0 {
		return "", errors.New("no store is available")
	}
	_, _, bytesPerToken := k.Rates()
	if bytesPerToken == 0 {
		bytesPerToken = defaultBytesPerToken
	}
	input := keep.ExportInput{
		Tokens:            d.Tokens - last.to,
		Bytes:             int64(float64(d.Tokens-last.to) * bytesPerToken),
		ReturnProbability: returnProbability,
		LinkRate:          k.linkTo(stores[0].ID).Rate() * float64(len(stores)),
	}
	if verdict := input.Decide(); verdict != keep.VerdictExport {
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
	if err := k.writeBlock(ctx, stores, b); err != nil {
		return "", err
	}
	k.Stats.Exports.Add(1)
	k.mu.Lock()
	k.bytesPerToken = float64(len(state.Payload)) / float64(b.To-b.From)
	k.mu.Unlock()
	k.recordStored(d, []keep.Block{b})
	return keep.VerdictExport, nil
}
