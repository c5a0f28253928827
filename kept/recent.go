package kept

import (
	"container/list"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/keep"
)

// maxConversations is the number of conversations that a keeper remembers.
const maxConversations = 8192

// conversations tracks recently served conversations in LRU order, and for each account how soon its conversations
// return.
type conversations struct {
	order   *list.List
	byID    map[uint64]*list.Element
	returns map[rillreach.AccountID]*keep.ReturnHistogram
}

// conversation is a conversation that this agent has served.
type conversation struct {
	id           uint64
	account      rillreach.AccountID
	model        rillreach.ModelID
	version      rillreach.VersionID
	lastAnswered time.Time
	// stored are the stored blocks of the conversation, in the order of the prompt.
	stored []storedBlock
}

// storedBlock is a block that was found in or written to a store; to is the end of its tokens.
type storedBlock struct {
	key rillreach.BlockKey
	to  int
}

func newConversations() conversations {
	return conversations{order: list.New(), byID: map[uint64]*list.Element{}, returns: map[rillreach.AccountID]*keep.ReturnHistogram{}}
}

// recordAnswer records that a prompt of a conversation was answered, and how long after the previous one.
func (cs *conversations) recordAnswer(now time.Time, d fleet.Dispatch) {
	if c := cs.find(d.Conversation); c != nil {
		cs.returnsOf(d.Account).RecordReturn(now.Sub(c.lastAnswered))
		c.lastAnswered = now
		return
	}
	cs.add(&conversation{id: d.Conversation, account: d.Account, model: d.Model, version: d.Version, lastAnswered: now})
}

// add adds a conversation. It evicts the least recently used one if there are too many.
func (cs *conversations) add(c *conversation) {
	cs.byID[c.id] = cs.order.PushFront(c)
	if cs.order.Len() <= maxConversations {
		return
	}
	oldest := cs.order.Remove(cs.order.Back()).(*conversation)
	delete(cs.byID, oldest.id)
	cs.returnsOf(oldest.account).RecordLoss()
}

func (cs *conversations) find(id uint64) *conversation {
	e := cs.byID[id]
	if e == nil {
		return nil
	}
	cs.order.MoveToFront(e)
	return e.Value.(*conversation)
}

// recordStored records that a block of a conversation is stored. The block replaces all blocks after its parent.
func (cs *conversations) recordStored(id uint64, parent rillreach.BlockKey, b storedBlock) {
	c := cs.find(id)
	if c == nil {
		return
	}
	parentEnd := 0
	for i, block := range c.stored {
		if block.key == parent {
			parentEnd = i + 1
		}
	}
	c.stored = append(c.stored[:parentEnd:parentEnd], b)
}

// lastStored returns the last of a prompt's blocks that is known to be stored, and whether there is one.
func (cs *conversations) lastStored(d fleet.Dispatch) (storedBlock, bool) {
	c := cs.find(d.Conversation)
	if c == nil {
		return storedBlock{}, false
	}
	for i := len(c.stored) - 1; i >= 0; i-- {
		for _, key := range d.Blocks {
			if key == c.stored[i].key {
				return c.stored[i], true
			}
		}
	}
	return storedBlock{}, false
}

// returnsOf returns the account's histogram of return times, and creates it if necessary.
func (cs *conversations) returnsOf(account rillreach.AccountID) *keep.ReturnHistogram {
	h := cs.returns[account]
	if h == nil {
		h = &keep.ReturnHistogram{}
		cs.returns[account] = h
	}
	return h
}

// all returns copies of all conversations, the most recently used first.
func (cs *conversations) all() []conversation {
	all := make([]conversation, 0, cs.order.Len())
	for e := cs.order.Front(); e != nil; e = e.Next() {
		c := *e.Value.(*conversation)
		c.stored = append([]storedBlock(nil), c.stored...)
		all = append(all, c)
	}
	return all
}
