package kept

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/route"
)

// storesPerSide is how many stores of a side a conversation's state may be in: its home, and the next when the home
// cannot be used.
const storesPerSide = 2

// busyRetry is the time between two tries to write over a link that reads are using.
const busyRetry = 50 * time.Millisecond

// storesOn are the stores of a side for a conversation, the home first.
func (k *Keeper) storesOn(side rillreach.Side, conversation uint64) []*membership.Member {
	all := k.Members.Group(membership.Group{Role: rillreach.RoleStore, Side: side})
	ranked := route.Rank(conversation, len(all), storesPerSide, func(i int) uint64 { return all[i].Place })
	stores := make([]*membership.Member, 0, ranked.Len())
	for rank := range ranked.Len() {
		m := all[ranked.At(rank)]
		if !m.IsLeaving() && k.linkTo(m.ID).Usable(k.Clock.Now()) {
			stores = append(stores, m)
		}
	}
	return stores
}

// read reads one block over a link, and checks that it is whole.
func (k *Keeper) read(ctx context.Context, m *membership.Member, key rillreach.BlockKey, size int64) (keep.Block, error) {
	link := k.linkTo(m.ID)
	ctx, cancel := context.WithTimeout(ctx, link.Patience(size))
	defer cancel()
	start := k.Clock.Now()
	link.Begin(size)
	data, err := k.Stores.Read(ctx, m.Address, key)
	now := k.Clock.Now()
	block, openErr := k.open(data, key, err)
	healthy := openErr == nil || errors.Is(openErr, rillreach.ErrNotFound)
	link.End(now, size, now.Sub(start), healthy)
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
		k.Stats.NotWhole.Add(1)
	}
	return block, err
}

// write writes one block over a link, if there is room for it beside the reads.
func (k *Keeper) write(ctx context.Context, m *membership.Member, b keep.Block) error {
	sealed, err := k.Sealer.Seal(b)
	if err != nil {
		return err
	}
	link, size := k.linkTo(m.ID), int64(len(sealed))
	start := k.Clock.Now()
	if !link.Usable(start) {
		return errLinkDown
	}
	if !link.BeginLater(size) {
		return errLinkBusy
	}
	err = k.Stores.Write(ctx, m.Address, b.Key, sealed)
	now := k.Clock.Now()
	link.EndLater(now, size, now.Sub(start), err == nil)
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

// writeWhenFree writes a block as soon as the link has room beside the reads.
func (k *Keeper) writeWhenFree(ctx context.Context, to *membership.Member, b keep.Block) error {
	for {
		err := k.write(ctx, to, b)
		if !errors.Is(err, errLinkBusy) {
			return err
		}
		timer := time.NewTimer(busyRetry)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func otherSide(side rillreach.Side) rillreach.Side {
	if side == rillreach.SideOld {
		return rillreach.SideNew
	}
	return rillreach.SideOld
}
