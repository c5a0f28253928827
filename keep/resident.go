package keep

import (
	"container/list"
	"math"
	"sync"

	"github.com/rillreach/rillreach"
)

// EvictionEvent reports that an engine dropped state from its cache. Engines publish these events late and with gaps.
type EvictionEvent struct {
	// Sequence increases by one with each event of one incarnation of the engine.
	Sequence uint64 `json:"sequence"`
	// Salt is the cache salt of the scope whose state was dropped, in whole or in part.
	Salt string `json:"salt"`
}

// EventPage is a page of eviction events.
type EventPage struct {
	Incarnation string          `json:"incarnation"`
	Events      []EvictionEvent `json:"events"`
	// Next is the sequence of the event after this page.
	Next uint64 `json:"next"`
}

// CacheEstimate estimates which prompts an engine has in its cache: those answered recently, minus those that eviction
// events have removed. A wrong estimate costs time but not correctness, because the engine looks up its cache itself.
type CacheEstimate struct {
	// MaxPrompts limits the number of prompts; zero means a default.
	MaxPrompts int

	mu sync.Mutex
	// incarnation and next are the engine's incarnation and the sequence of the next event.
	incarnation string
	next        uint64
	lru         *list.List
	byKey       map[rillreach.BlockKey]*list.Element
	saltIDs     map[string]uint32
}

// cachedPrompt is a prompt in the estimate. It refers to its salt by number to save memory, as many prompts share one.
type cachedPrompt struct {
	key    rillreach.BlockKey
	saltID uint32
	tokens int32
}

const defaultMaxPrompts = 4096

// Add records that the engine has a prompt up to the block with the given key in its cache.
func (c *CacheEstimate) Add(key rillreach.BlockKey, salt string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lru == nil {
		c.reset()
	}
	if e := c.byKey[key]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.byKey[key] = c.lru.PushFront(cachedPrompt{key: key, saltID: c.saltID(salt), tokens: int32(min(tokens, math.MaxInt32))})
	limit := c.MaxPrompts
	if limit == 0 {
		limit = defaultMaxPrompts
	}
	for c.lru.Len() > limit {
		c.remove(c.lru.Back())
	}
}

// LongestPrefix returns how many leading parts of a prompt are estimated to be in the cache, and their tokens.
func (c *CacheEstimate) LongestPrefix(blocks []rillreach.BlockKey) (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.byKey[blocks[i]]; e != nil {
			return i + 1, int(e.Value.(cachedPrompt).tokens)
		}
	}
	return 0, 0
}

// ApplyEvents applies a page of events. It discards the whole estimate if events are missing or the engine has
// restarted.
func (c *CacheEstimate) ApplyEvents(page EventPage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if page.Incarnation != c.incarnation {
		c.reset()
		c.incarnation = page.Incarnation
		c.next = page.Next
		return
	}
	for _, e := range page.Events {
		if e.Sequence < c.next {
			continue
		}
		if e.Sequence > c.next {
			c.reset()
		}
		c.next = e.Sequence + 1
		c.evictOldest(e.Salt)
	}
	if page.Next > c.next {
		c.reset()
		c.next = page.Next
	}
}

// NextSequence returns the sequence of the next event to request.
func (c *CacheEstimate) NextSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// evictOldest removes the least recently used prompt of a salt, which the engine drops first.
func (c *CacheEstimate) evictOldest(salt string) {
	if c.lru == nil {
		return
	}
	id, known := c.saltIDs[salt]
	if !known {
		return
	}
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		if e.Value.(cachedPrompt).saltID == id {
			c.remove(e)
			return
		}
	}
}

func (c *CacheEstimate) remove(e *list.Element) {
	delete(c.byKey, e.Value.(cachedPrompt).key)
	c.lru.Remove(e)
}

func (c *CacheEstimate) reset() {
	c.lru = list.New()
	c.byKey = map[rillreach.BlockKey]*list.Element{}
	c.saltIDs = map[string]uint32{}
}

// saltID returns the number of a salt and assigns one if it has none.
func (c *CacheEstimate) saltID(salt string) uint32 {
	id, ok := c.saltIDs[salt]
	if !ok {
		id = uint32(len(c.saltIDs))
		c.saltIDs[salt] = id
	}
	return id
}
