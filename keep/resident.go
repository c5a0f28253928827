package keep

import (
	"container/list"
	"math"
	"sync"

	"github.com/rillreach/rillreach"
)

// Event is one change of an engine's cache as the engine publishes it, late and with gaps.
type Event struct {
	// Sequence grows by one from event to event of one incarnation of the engine.
	Sequence uint64 `json:"sequence"`
	// Salt names the scope whose state was dropped, in whole or in part.
	Salt string `json:"salt"`
}

// Events is a page of events.
type Events struct {
	Incarnation string  `json:"incarnation"`
	Events      []Event `json:"events"`
	// Next is the sequence that the next event will have.
	Next uint64 `json:"next"`
}

// Resident is what an engine's memory is believed to hold: the prompts answered lately, less what its events have
// taken away. Belief that is wrong costs time and never correctness, since the engine itself looks up what it has.
type Resident struct {
	// Most bounds the prompts that are remembered; zero means a default.
	Most int

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
func (r *Resident) Add(key rillreach.BlockKey, salt string, tokens int) {
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
	most := r.Most
	if most == 0 {
		most = defaultMostResident
	}
	for r.order.Len() > most {
		r.remove(r.order.Back())
	}
}

// Longest is how many leading parts of a prompt the engine is believed to hold, and their tokens.
func (r *Resident) Longest(blocks []rillreach.BlockKey) (int, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := r.byKey[blocks[i]]; e != nil {
			return i + 1, int(e.Value.(resident).tokens)
		}
	}
	return 0, 0
}

// Take takes a page of events in. A gap in the sequence, or a new incarnation, takes away everything it may cover.
func (r *Resident) Take(page Events) {
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

// Next is the sequence of the event that is awaited.
func (r *Resident) Next() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// drop takes away the oldest prompt of a salt, which the engine drops first.
func (r *Resident) drop(salt string) {
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

func (r *Resident) remove(e *list.Element) {
	delete(r.byKey, e.Value.(resident).key)
	r.order.Remove(e)
}

func (r *Resident) reset() {
	r.order = list.New()
	r.byKey = map[rillreach.BlockKey]*list.Element{}
	r.salts = map[string]uint32{}
}

func (r *Resident) numberOf(salt string) uint32 {
	number, ok := r.salts[salt]
	if !ok {
		number = uint32(len(r.salts))
		r.salts[salt] = number
	}
	return number
}
