package kept

import (
	"container/list"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/keep"
)

const mostRecent = 8192

// recent is what a keeper remembers of the conversations it has served.
type recent struct {
	order  *list.List
	byConv map[uint64]*list.Element
	gaps   map[rillreach.AccountID]*keep.ReturnHistogram
}

// conversation is one that was served here.
type conversation struct {
	id      uint64
	account rillreach.AccountID
	model   rillreach.ModelID
	version rillreach.VersionID
	last    time.Time
	// chain are the blocks that are kept of it, the first one first.
	chain []keptBlock
}

// keptBlock is a block that is known to be in a store.
type keptBlock struct {
	key rillreach.BlockKey
	to  int
}

func newRecent() recent {
	return recent{order: list.New(), byConv: map[uint64]*list.Element{}, gaps: map[rillreach.AccountID]*keep.ReturnHistogram{}}
}

// answered notes a prompt of a conversation, and how long the conversation was away.
func (r *recent) answered(now time.Time, d fleet.Dispatch) {
	if c := r.find(d.Conversation); c != nil {
		r.gapsOf(d.Account).RecordReturn(now.Sub(c.last))
		c.last = now
		return
	}
	r.add(&conversation{id: d.Conversation, account: d.Account, model: d.Model, version: d.Version, last: now})
}

func (r *recent) add(c *conversation) {
	r.byConv[c.id] = r.order.PushFront(c)
	if r.order.Len() <= mostRecent {
		return
	}
	oldest := r.order.Remove(r.order.Back()).(*conversation)
	delete(r.byConv, oldest.id)
	r.gapsOf(oldest.account).RecordLoss()
}

func (r *recent) find(id uint64) *conversation {
	e := r.byConv[id]
	if e == nil {
		return nil
	}
	r.order.MoveToFront(e)
	return e.Value.(*conversation)
}

// kept notes that a block of a conversation is in a store, in the place of everything after the block it goes on from.
func (r *recent) kept(id uint64, parent rillreach.BlockKey, b keptBlock) {
	c := r.find(id)
	if c == nil {
		return
	}
	keepUntil := 0
	for i, held := range c.chain {
		if held.key == parent {
			keepUntil = i + 1
		}
	}
	c.chain = append(c.chain[:keepUntil:keepUntil], b)
}

// lastKept is the last of a prompt's parts that is known to be in a store.
func (r *recent) lastKept(d fleet.Dispatch) (keptBlock, bool) {
	c := r.find(d.Conversation)
	if c == nil {
		return keptBlock{}, false
	}
	for i := len(c.chain) - 1; i >= 0; i-- {
		for _, key := range d.Blocks {
			if key == c.chain[i].key {
				return c.chain[i], true
			}
		}
	}
	return keptBlock{}, false
}

func (r *recent) gapsOf(account rillreach.AccountID) *keep.ReturnHistogram {
	g := r.gaps[account]
	if g == nil {
		g = &keep.ReturnHistogram{}
		r.gaps[account] = g
	}
	return g
}

// all returns the conversations, the one served last first.
func (r *recent) all() []conversation {
	all := make([]conversation, 0, r.order.Len())
	for e := r.order.Front(); e != nil; e = e.Next() {
		c := *e.Value.(*conversation)
		c.chain = append([]keptBlock(nil), c.chain...)
		all = append(all, c)
	}
	return all
}
