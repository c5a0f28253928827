package holdings

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// Key names a part of a prompt under the salt that keeps it apart.
type Key struct {
	Salt string
	Part string
}

// Change says how many tokens of a part a holder now holds; none means that the part is gone.
type Change struct {
	Key    Key
	Tokens int
}

// Check reports a change that cannot be.
func (c Change) Check() error {
	if c.Tokens < 0 {
		return errors.Newf("part %q has %d tokens", c.Key.Part, c.Tokens)
	}
	return nil
}

// maxLog is how many changes are kept for readers; one that has fallen behind further gets everything anew.
const maxLog = 4096

// Tracker is what one holder holds, with the changes that led there; its zero value is empty.
type Tracker struct {
	mu   sync.Mutex
	held map[Key]int
	log  []Change
	// base is the position of the first change in the log.
	base uint64
}

// Replace sets everything that is held.
func (t *Tracker) Replace(all []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = make(map[Key]int, len(all))
	for _, c := range all {
		t.held[c.Key] = c.Tokens
	}
	t.base += uint64(len(t.log)) + 1 // a position that no reader has reached
	t.log = nil
}

// Apply takes changes over.
func (t *Tracker) Apply(changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held == nil {
		t.held = map[Key]int{}
	}
	for _, c := range changes {
		if c.Tokens == 0 {
			delete(t.held, c.Key)
		} else {
			t.held[c.Key] = c.Tokens
		}
	}
	t.log = append(t.log, changes...)
	if over := len(t.log) - maxLog; over > 0 {
		t.log = slices.Clone(t.log[over:])
		t.base += uint64(over)
	}
}

// Since returns the changes after a position, and the position to go on from; whole says that they are everything that is
// held, since the position is unknown.
func (t *Tracker) Since(position uint64) (changes []Change, next uint64, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next = t.base + uint64(len(t.log))
	if position < t.base || position > next {
		for key, tokens := range t.held {
			changes = append(changes, Change{Key: key, Tokens: tokens})
		}
		return changes, next, true
	}
	return slices.Clone(t.log[position-t.base:]), next, false
}

// TotalTokens is how many tokens are held.
func (t *Tracker) TotalTokens() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, tokens := range t.held {
		total += tokens
	}
	return total
}

// TokensBySalt returns how many tokens are held under each salt.
func (t *Tracker) TokensBySalt() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	salts := map[string]int{}
	for key, tokens := range t.held {
		salts[key.Salt] += tokens
	}
	return salts
}

// KeysUnder returns the parts that are held under a salt.
func (t *Tracker) KeysUnder(salt string) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []Key
	for key := range t.held {
		if key.Salt == salt {
			keys = append(keys, key)
		}
	}
	return keys
}
