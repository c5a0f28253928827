package engine

import (
	"container/list"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/keep"
)

// cache is a prefix cache of complete blocks, with a capacity in blocks and LRU eviction.
type cache struct {
	mu           sync.Mutex
	capacity     int
	recency      *list.List
	blocks       map[uint64]*list.Element
	events       []keep.EvictionEvent
	nextSequence uint64
}

type cacheEntry struct {
	block uint64
	salt  string
}

// maxEvents is how many eviction events the cache retains; a reader that is further behind sees a gap.
const maxEvents = 1024

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// cachedPrefix returns how many leading blocks are cached.
func (c *cache) cachedPrefix(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, block := range blocks {
		e := c.blocks[block]
		if e == nil {
			return i
		}
		c.recency.MoveToFront(e)
	}
	return len(blocks)
}

// add adds blocks computed with a salt.
func (c *cache) add(salt string, blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, block := range blocks {
		if c.blocks[block] != nil {
			continue
		}
		c.blocks[block] = c.recency.PushFront(cacheEntry{block: block, salt: salt})
		if c.recency.Len() > c.capacity {
			c.dropOldest()
		}
	}
}

func (c *cache) dropOldest() {
	oldest := c.recency.Remove(c.recency.Back()).(cacheEntry)
	delete(c.blocks, oldest.block)
	c.events = append(c.events, keep.EvictionEvent{Sequence: c.nextSequence, Salt: oldest.salt})
	c.nextSequence++
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// eventsSince returns the retained events starting at a sequence number, and the next sequence number.
func (c *cache) eventsSince(from uint64) ([]keep.EvictionEvent, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []keep.EvictionEvent{}
	for _, e := range c.events {
		if e.Sequence >= from {
			events = append(events, e)
		}
	}
	return events, c.nextSequence
}

// clear evicts all blocks.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.recency.Len() > 0 {
		c.dropOldest()
	}
}

// cacheState is an exported part of a cache.
type cacheState struct {
	Version string   `json:"version"`
	Salt    string   `json:"salt"`
	Blocks  []uint64 `json:"blocks"`
	Filler  []byte   `json:"filler"`
}

func decodeCacheState(payload []byte) (cacheState, error) {
	var s cacheState
	if err := json.Unmarshal(payload, &s); err != nil {
		return cacheState{}, errors.Wrap(err, "read state")
	}
	return s, nil
}
