package engine

import (
	"container/list"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
)

// cache is a prefix cache of whole blocks with a bound, least recently used out first.
type cache struct {
	mu       sync.Mutex
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

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

// add takes blocks in.
func (c *cache) add(blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, block := range blocks {
		if c.blocks[block] != nil {
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		if c.order.Len() > c.capacity {
			last := c.order.Back()
			delete(c.blocks, last.Value.(uint64))
			c.order.Remove(last)
		}
	}
}

// clear forgets everything.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.blocks)
}

// state is an exported part of a cache.
type state struct {
	Version string   `json:"version"`
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
