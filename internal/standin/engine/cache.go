package engine

import (
	"container/list"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/keep"
)

// cache is a prefix cache of whole blocks with a bound, least recently used out first.
type cache struct {
	mu       sync.Mutex
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []keep.EvictionEvent
	next     uint64
}

type cached struct {
	block uint64
	salt  string
}

// eventMemory is how many events the cache remembers; a reader that is further behind finds a gap.
const eventMemory = 1024

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// prefix is how many leading blocks are held.
func (c *cache) prefix(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, block := range blocks {
		e := c.blocks[block]
		if e == nil {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(blocks)
}

// add takes blocks of a salt in.
func (c *cache) add(salt string, blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, block := range blocks {
		if c.blocks[block] != nil {
			continue
		}
		c.blocks[block] = c.order.PushFront(cached{block: block, salt: salt})
		if c.order.Len() > c.capacity {
			c.dropOldest()
		}
	}
}

func (c *cache) dropOldest() {
	oldest := c.order.Remove(c.order.Back()).(cached)
	delete(c.blocks, oldest.block)
	c.events = append(c.events, keep.EvictionEvent{Sequence: c.next, Salt: oldest.salt})
	c.next++
	if len(c.events) > eventMemory {
		c.events = c.events[1:]
	}
}

// since returns the events from a sequence on that are remembered.
func (c *cache) since(from uint64) ([]keep.EvictionEvent, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []keep.EvictionEvent{}
	for _, e := range c.events {
		if e.Sequence >= from {
			events = append(events, e)
		}
	}
	return events, c.next
}

// clear forgets everything.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.order.Len() > 0 {
		c.dropOldest()
	}
}

// state is an exported part of a cache.
type state struct {
	Version string   `json:"version"`
	Salt    string   `json:"salt"`
	Blocks  []uint64 `json:"blocks"`
	Filler  []byte   `json:"filler"`
}

func decodeState(payload []byte) (state, error) {
	var s state
	if err := json.Unmarshal(payload, &s); err != nil {
		return state{}, errors.Wrap(err, "read state")
	}
	return s, nil
}
