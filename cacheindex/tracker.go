package cacheindex

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// Key identifies a prompt part. Equal parts under different cache salts are distinct.
type Key struct {
	Salt string
	Part string
}

// Change is the number of tokens of a part that a holder now has; zero means that the part is gone.
type Change struct {
	Key    Key
	Tokens int
}

// Check returns an error if the number of tokens is negative.
func (c Change) Check() error {
	if c.Tokens < 0 {
		return errors.Newf("part %q has %d tokens", c.Key.Part, c.Tokens)
	}
	return nil
}

// maxLogChanges is the number of changes kept for readers. A reader that is further behind gets a snapshot.
const maxLogChanges = 4096

// Tracker records the parts that one holder has and a log of recent changes. Its zero value is empty and ready to use.
type Tracker struct {
	mu   sync.Mutex
	held map[Key]int
	log  []Change
	// logStart is the position of the first change in the log.
	logStart uint64
}

// Replace sets all parts that the holder has. Every reader gets a snapshot next.
func (t *Tracker) Replace(all []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = make(map[Key]int, len(all))
	for _, c := range all {
		t.held[c.Key] = c.Tokens
	}
	t.logStart += uint64(len(t.log)) + 1 // past the position of every reader
	t.log = nil
}

// Apply applies changes and appends them to the log.
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
	if over := len(t.log) - maxLogChanges; over > 0 {
		t.log = slices.Clone(t.log[over:])
		t.logStart += uint64(over)
	}
}

// Since returns the changes after a position and the position to continue from. If the position is not in the log, it
// returns every part that is held and sets snapshot.
func (t *Tracker) Since(position uint64) (changes []Change, next uint64, snapshot bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next = t.logStart + uint64(len(t.log))
	if position < t.logStart || position > next {
		for key, tokens := range t.held {
			changes = append(changes, Change{Key: key, Tokens: tokens})
		}
		return changes, next, true
	}
	return slices.Clone(t.log[position-t.logStart:]), next, false
}

// TotalTokens returns the number of tokens that are held.
func (t *Tracker) TotalTokens() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, tokens := range t.held {
		total += tokens
	}
	return total
}

// TokensBySalt returns the number of tokens held under each salt.
func (t *Tracker) TokensBySalt() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	salts := map[string]int{}
	for key, tokens := range t.held {
		salts[key.Salt] += tokens
	}
	return salts
}

// KeysUnder returns the keys of the parts held under a salt.
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
