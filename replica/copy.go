package replica

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/platform"
)

// maxLogChanges is the number of changes that are kept for readers. A reader that is further behind lists again.
const maxLogChanges = 2048

// kindCopy is a copy of the objects of one kind with a log of the latest changes. The zero value is empty. It is safe for
// concurrent use.
type kindCopy struct {
	// changed is signalled, and onChange is called unless it is nil, when the copy has changed.
	changed  broadcast.Signal
	onChange func()

	mu      sync.Mutex
	objects map[string]platform.Object
	// log holds the changes after logStart, up to at.
	log      []platform.Change
	logStart rillreach.Revision
	at       rillreach.Revision
	// known is set once the objects are known, and confirmedAt is when they were last known to be complete.
	known       bool
	confirmedAt time.Time
	// encoded caches the messages to subscribers by the position that they follow. It is cleared by each change.
	encoded map[rillreach.Revision][]byte
}

// replace replaces all objects. The differences are logged as changes unless the store was restored from a backup, so
// that readers need not list again. An older list than the copy is ignored.
func (c *kindCopy) replace(all []platform.Object, at rillreach.Revision, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.After(at) {
		return
	}
	next := make(map[string]platform.Object, len(all))
	for _, o := range all {
		if o.Metadata.Name != "" { // an object without a name cannot be told from others
			next[o.Metadata.Name] = o
		}
	}
	if !c.known || at.Era != c.at.Era {
		c.log, c.logStart = nil, at
	} else {
		c.appendLog(differences(c.objects, next, at))
	}
	c.objects = next
	c.advance(at, confirmedAt)
}

// differences returns the changes that turn one set of objects into another.
func differences(before, after map[string]platform.Object, at rillreach.Revision) []platform.Change {
	var changes []platform.Change
	for name, o := range after {
		if known, ok := before[name]; !ok || !sameObject(known, o) {
			changes = append(changes, platform.Change{Object: o})
		}
	}
	for name, o := range before {
		if _, ok := after[name]; !ok {
			o.Era, o.Metadata.Revision, o.Err = at.Era, at.Number, nil
			changes = append(changes, platform.Change{Deleted: true, Object: o})
		}
	}
	return changes
}

func sameObject(a, b platform.Object) bool {
	return a.Metadata == b.Metadata && a.Era == b.Era && (a.Err == nil) == (b.Err == nil) && bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status)
}

// apply applies changes that lead to a revision.
func (c *kindCopy) apply(changes []platform.Change, at rillreach.Revision, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || c.at.After(at) {
		return
	}
	named := slices.DeleteFunc(slices.Clone(changes), func(change platform.Change) bool { return change.Object.Metadata.Name == "" })
	for _, change := range named {
		if change.Deleted {
			delete(c.objects, change.Object.Metadata.Name)
		} else {
			c.objects[change.Object.Metadata.Name] = change.Object
		}
	}
	c.appendLog(named)
	c.advance(at, confirmedAt)
}

// appendLog adds changes to the log. The lock must be held.
func (c *kindCopy) appendLog(changes []platform.Change) {
	slices.SortStableFunc(changes, func(a, b platform.Change) int { return a.Object.Revision().Compare(b.Object.Revision()) })
	c.log = append(c.log, changes...)
	if over := len(c.log) - maxLogChanges; over > 0 {
		c.logStart = c.log[over-1].Object.Revision()
		c.log = slices.Clone(c.log[over:])
	}
}

// advance records that the copy is complete up to a revision. The lock must be held.
func (c *kindCopy) advance(at rillreach.Revision, confirmedAt time.Time) {
	first := !c.known
	c.known = true
	if confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmedAt
	}
	if at == c.at && !first {
		return
	}
	c.at, c.encoded = at, nil
	c.changed.Wake()
	if c.onChange != nil {
		c.onChange()
	}
}

// confirm records that the copy was complete at a time, unless it lacks changes up to the revision.
func (c *kindCopy) confirm(at rillreach.Revision, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && at.Era == c.at.Era && !at.After(c.at) {
		c.advance(c.at, confirmedAt)
	}
}

// position returns the revision of the copy and when it was last known to be complete.
func (c *kindCopy) position() (at rillreach.Revision, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at, c.confirmedAt
}

// age returns how long ago the copy was last known to be complete.
func (c *kindCopy) age(now time.Time) time.Duration {
	_, confirmedAt := c.position()
	return now.Sub(confirmedAt)
}

// list returns all objects, sorted by name.
func (c *kindCopy) list() ([]platform.Object, rillreach.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sorted(), c.at
}

// sorted returns all objects, sorted by name. The lock must be held.
func (c *kindCopy) sorted() []platform.Object {
	all := make([]platform.Object, 0, len(c.objects))
	for _, o := range c.objects {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b platform.Object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	return all
}

// since returns the changes after a revision, and false if the log does not reach back to it.
func (c *kindCopy) since(after rillreach.Revision) ([]platform.Change, rillreach.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sinceLocked(after)
}

func (c *kindCopy) sinceLocked(after rillreach.Revision) ([]platform.Change, rillreach.Revision, bool) {
	if !c.known || after.Era != c.at.Era || c.logStart.After(after) {
		return nil, c.at, false
	}
	i, _ := slices.BinarySearchFunc(c.log, after, func(change platform.Change, after rillreach.Revision) int {
		if change.Object.Revision().After(after) {
			return 1
		}
		return -1
	})
	return slices.Clone(c.log[i:]), c.at, true
}

// message returns the encoded message that brings a subscriber from a position up to date, and its new position. The
// message is nil if the subscriber is up to date.
func (c *kindCopy) message(kind string, after rillreach.Revision, encode func(Message) ([]byte, error)) ([]byte, rillreach.Revision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || !c.at.After(after) {
		return nil, after, nil
	}
	if encoded, ok := c.encoded[after]; ok {
		return encoded, c.at, nil
	}
	m := Message{Kind: kind, At: c.at}
	changes, _, ok := c.sinceLocked(after)
	if !ok {
		m.Replace = true
		for _, o := range c.sorted() {
			changes = append(changes, platform.Change{Object: o})
		}
	}
	for _, change := range changes {
		m.Objects = append(m.Objects, encodeObject(change))
	}
	encoded, err := encode(m)
	if err != nil {
		return nil, after, err
	}
	if c.encoded == nil {
		c.encoded = map[rillreach.Revision][]byte{}
	}
	c.encoded[after] = encoded
	return encoded, c.at, nil
}
