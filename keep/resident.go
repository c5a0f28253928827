package keep

import (
	"container/list"
	"math"
	"sync"

	"github.com/rillreach/rillreach"
)

// EvictionEvent is one change of an engine's cache as the engine publishes it, late and with gaps.
type EvictionEvent struct {
	// Sequence grows by one from event to event of one incarnation of the engine.
	Sequence uint64 `json:"sequence"`
	// Salt names the scope whose state was dropped, in whole or in part.
	Salt string `json:"salt"`
}

// EventPage is a page of events.
type EventPage struct {
	Incarnation string          `json:"incarnation"`
	Events      []EvictionEvent `json:"events"`
	// Next is the sequence that the next event will have.
	Next uint64 `json:"next"`
}

// CacheEstimate is what an engine's memory is believed to hold: the prompts answered lately, less what its events have
// taken away. Belief that is wrong costs time and never correctness, since the engine itself looks up what it has.
type CacheEstimate struct {
	// MaxPrompts bounds the prompts that are remembered; zero means a default.
	MaxPrompts int

	mu          sync.Mutex
	incarnation string
	next        uint64
	order       *list.List
	byKey       map[rillreach.BlockKey]*list.Element
	salts       map[string]uint32
}

// resident is one prompt; its salt is held as a number, since many prompts have the same.
type resident struct {
	key    rillreach.BlockKey
	salt   uint32
	tokens int32
}

const defaultMostResident = 4096

// Add notes that the engine holds a prompt up to a block.
func (r *CacheEstimate) Add(key rillreach.BlockKey, salt string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil {
		r.reset()
	}
	if e := r.byKey[key]; e != nil {
		r.order.MoveToFront(e)
		return
	}
	r.byKey[key] = r.order.PushFront(resident{key: key, salt: r.numberOf(salt), tokens: int32(min(tokens, math.MaxInt32))})
	most := r.MaxPrompts
	if most == 0 {
		most = defaultMostResident
	}
	for r.order.Len() > most {
		r.remove(r.order.Back())
	}
}

// LongestPrefix is how many leading parts of a prompt the engine is believed to hold, and their tokens.
func (r *CacheEstimate) LongestPrefix(blocks []rillreach.BlockKey) (int, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := r.byKey[blocks[i]]; e != nil {
			return i + 1, int(e.Value.(resident).tokens)
		}
	}
	return 0, 0
}

// ApplyEvents takes a page of events in. A gap in the sequence, or a new incarnation, takes away everything it may cover.
func (r *CacheEstimate) ApplyEvents(page EventPage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.Incarnation != r.incarnation {
		r.reset()
		r.incarnation = page.Incarnation
		r.next = page.Next
		return
	}
	for _, e := range page.Events {
		if e.Sequence < r.next {
			continue
		}
		if e.Sequence > r.next {
			r.reset()
		}
		r.next = e.Sequence + 1
		r.drop(e.Salt)
	}
	if page.Next > r.next {
		r.reset()
		r.next = page.Next
	}
}

// NextSequence is the sequence of the event that is awaited.
func (r *CacheEstimate) NextSequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// drop takes away the oldest prompt of a salt, which the engine drops first.
func (r *CacheEstimate) drop(salt string) {
	if r.order == nil {
		return
	}
	number, known := r.salts[salt]
	if !known {
		return
	}
	for e := r.order.Back(); e != nil; e = e.Prev() {
		if e.Value.(resident).salt == number {
			r.remove(e)
			return
		}
	}
}

func (r *CacheEstimate) remove(e *list.Element) {
	delete(r.byKey, e.Value.(resident).key)
	r.order.Remove(e)
}

func (r *CacheEstimate) reset() {
	r.order = list.New()
	r.byKey = map[rillreach.BlockKey]*list.Element{}
	r.salts = map[string]uint32{}
}

func (r *CacheEstimate) numberOf(salt string) uint32 {
	number, ok := r.salts[salt]
	if !ok {
		number = uint32(len(r.salts))
		r.salts[salt] = number
	}
	return number
}
