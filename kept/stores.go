package kept

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/blockstore"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/route"
)

const (
	// maxStripes is the number of stores of a side over which a conversation's state is striped: the first ones in the
	// rendezvous ranking.
	maxStripes = 2
	// busyRetryInterval is the time between two attempts to write over a link that is busy with reads.
	busyRetryInterval = 50 * time.Millisecond
)

// storesOn returns the usable stores of a side for a conversation, in the order of the rendezvous ranking.
func (k *Keeper) storesOn(side rillreach.Side, conversation uint64) []*membership.Member {
	all := k.Members.Group(membership.Group{Role: rillreach.RoleStore, Side: side})
	ranked := route.Rank(conversation, len(all), maxStripes, func(i int) uint64 { return all[i].PlacementHash })
	stores := make([]*membership.Member, 0, ranked.Len())
	for rank := range ranked.Len() {
		store := all[ranked.At(rank)]
		if !store.IsLeaving() && k.linkTo(store.ID).Usable(k.Clock.Now()) {
			stores = append(stores, store)
		}
	}
	return stores
}

// storedStripe is a stripe, the store that has it, and its size.
type storedStripe struct {
	stripe blockstore.Stripe
	store  *membership.Member
	bytes  int64
}

// readBlock reads the stripes of a block in parallel, each over its own link, and joins them.
func (k *Keeper) readBlock(ctx context.Context, stored []storedStripe) (keep.Block, error) {
	stripes := make([]keep.Block, len(stored))
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for i, s := range stored {
		group.Go(func(ctx context.Context) error {
			var err error
			stripes[i], err = k.readStripe(ctx, s)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return keep.Block{}, err
	}
	return keep.Join(stripes)
}

// readStripe reads a stripe over its link and verifies it.
func (k *Keeper) readStripe(ctx context.Context, s storedStripe) (keep.Block, error) {
	link := k.linkTo(s.store.ID)
	ctx, cancel := context.WithTimeout(ctx, link.ImportTimeout(s.bytes))
	defer cancel()
	start := k.Clock.Now()
	link.BeginImport(s.bytes)
	data, err := k.Stores.Read(ctx, s.store.Address, s.stripe)
	now := k.Clock.Now()
	block, openErr := k.openBlock(data, s.stripe.Key, err)
	healthy := openErr == nil || errors.Is(openErr, rillreach.ErrNotFound)
	link.EndImport(now, s.bytes, now.Sub(start), healthy)
	return block, openErr
}

// openBlock verifies and decodes the data of a read, unless the read failed, and updates the statistics.
func (k *Keeper) openBlock(data []byte, key rillreach.BlockKey, err error) (keep.Block, error) {
	if err != nil {
		k.Stats.Failed.Add(1)
		return keep.Block{}, err
	}
	k.Stats.ReadBytes.Add(int64(len(data)))
	block, err := k.Sealer.Open(data, key)
	if err != nil {
		k.Stats.Corrupted.Add(1)
	}
	return block, err
}

// writeBlock splits a block into one stripe for each store, and writes each stripe as soon as its link has capacity
// beside the reads.
func (k *Keeper) writeBlock(ctx context.Context, stores []*membership.Member, b keep.Block) error {
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for i, stripe := range b.Split(len(stores)) {
		group.Go(func(ctx context.Context) error { return k.writeStripeWhenFree(ctx, stores[i], stripe) })
	}
	return group.Wait()
}

// writeStripeWhenFree writes a stripe as soon as its link has capacity.
func (k *Keeper) writeStripeWhenFree(ctx context.Context, store *membership.Member, b keep.Block) error {
	for {
		err := k.tryWriteStripe(ctx, store, b)
		if !errors.Is(err, errLinkBusy) {
			return err
		}
		pause.For(ctx, busyRetryInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// tryWriteStripe writes a stripe. It returns errLinkBusy if the link has no capacity for a background transfer.
func (k *Keeper) tryWriteStripe(ctx context.Context, store *membership.Member, b keep.Block) error {
	sealed, err := k.Sealer.Seal(b)
	if err != nil {
		return err
	}
	link, size := k.linkTo(store.ID), int64(len(sealed))
	start := k.Clock.Now()
	if !link.Usable(start) {
		return errLinkBackoff
	}
	if !link.TryBeginBackground(size) {
		return errLinkBusy
	}
	err = k.Stores.Write(ctx, store.Address, blockstore.Stripe{Key: b.Key, Index: b.Stripe, Count: b.Stripes}, sealed)
	now := k.Clock.Now()
	link.EndBackground(now, size, now.Sub(start), err == nil)
	if err != nil {
		k.Stats.Failed.Add(1)
		return err
	}
	k.Stats.WrittenBytes.Add(size)
	return nil
}

var (
	errLinkBusy    = errors.New("link to the store is busy")
	errLinkBackoff = errors.New("link to the store is backing off after a failure")
)

func otherSide(side rillreach.Side) rillreach.Side {
	if side == rillreach.SideOld {
		return rillreach.SideNew
	}
	return rillreach.SideOld
}
