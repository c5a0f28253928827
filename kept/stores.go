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
	// maxStripes is over how many stores of a side a conversation's state is spread: its home, and the next by rank.
	maxStripes = 2
	// busyRetry is the time between two tries to write over a link that reads are using.
	busyRetry = 50 * time.Millisecond
)

// storesOn are the stores of a side for a conversation, the home first.
func (k *Keeper) storesOn(side rillreach.Side, conversation uint64) []*membership.Member {
	all := k.Members.Group(membership.Group{Role: rillreach.RoleStore, Side: side})
	ranked := route.Rank(conversation, len(all), maxStripes, func(i int) uint64 { return all[i].PlacementHash })
	stores := make([]*membership.Member, 0, ranked.Len())
	for rank := range ranked.Len() {
		m := all[ranked.At(rank)]
		if !m.IsLeaving() && k.linkTo(m.ID).Usable(k.Clock.Now()) {
			stores = append(stores, m)
		}
	}
	return stores
}

// piece is a stripe and the store that has it.
type piece struct {
	stripe blockstore.Stripe
	store  *membership.Member
	bytes  int64
}

// read reads the pieces of one block at once, each over its own link, and puts them together.
func (k *Keeper) read(ctx context.Context, pieces []piece) (keep.Block, error) {
	stripes := make([]keep.Block, len(pieces))
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for i, p := range pieces {
		group.Go(func(ctx context.Context) error {
			var err error
			stripes[i], err = k.readPiece(ctx, p)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return keep.Block{}, err
	}
	return keep.Join(stripes)
}

// readPiece reads one stripe over a link, and checks that it is whole.
func (k *Keeper) readPiece(ctx context.Context, p piece) (keep.Block, error) {
	link := k.linkTo(p.store.ID)
	ctx, cancel := context.WithTimeout(ctx, link.ImportTimeout(p.bytes))
	defer cancel()
	start := k.Clock.Now()
	link.BeginImport(p.bytes)
	data, err := k.Stores.Read(ctx, p.store.Address, p.stripe)
	now := k.Clock.Now()
	block, openErr := k.open(data, p.stripe.Key, err)
	healthy := openErr == nil || errors.Is(openErr, rillreach.ErrNotFound)
	link.EndImport(now, p.bytes, now.Sub(start), healthy)
	return block, openErr
}

func (k *Keeper) open(data []byte, key rillreach.BlockKey, err error) (keep.Block, error) {
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

// write writes a block over some stores, a stripe to each, as soon as their links have room beside the reads.
func (k *Keeper) write(ctx context.Context, stores []*membership.Member, b keep.Block) error {
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for i, stripe := range b.Split(len(stores)) {
		group.Go(func(ctx context.Context) error { return k.writeWhenFree(ctx, stores[i], stripe) })
	}
	return group.Wait()
}

// writeWhenFree writes a stripe as soon as its link has room.
func (k *Keeper) writeWhenFree(ctx context.Context, to *membership.Member, b keep.Block) error {
	for {
		err := k.writePiece(ctx, to, b)
		if !errors.Is(err, errLinkBusy) {
			return err
		}
		pause.For(ctx, busyRetry)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (k *Keeper) writePiece(ctx context.Context, m *membership.Member, b keep.Block) error {
	sealed, err := k.Sealer.Seal(b)
	if err != nil {
		return err
	}
	link, size := k.linkTo(m.ID), int64(len(sealed))
	start := k.Clock.Now()
	if !link.Usable(start) {
		return errLinkDown
	}
	if !link.TryBeginBackground(size) {
		return errLinkBusy
	}
	err = k.Stores.Write(ctx, m.Address, blockstore.Stripe{Key: b.Key, Index: b.Stripe, Count: b.Stripes}, sealed)
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
	errLinkBusy = errors.New("link to the store is busy")
	errLinkDown = errors.New("link to the store is left alone after failures")
)

func otherSide(side rillreach.Side) rillreach.Side {
	if side == rillreach.SideOld {
		return rillreach.SideNew
	}
	return rillreach.SideOld
}
