package replicate

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Watermark says how far a copy of one kind goes: it holds everything up to Version, which was all there was at Time of the
// platform's clock.
type Watermark struct {
	Kind    rillreach.Kind `cbor:"1,keyasint"`
	Version uint64         `cbor:"2,keyasint"`
	Time    time.Time      `cbor:"3,keyasint"`
}

// Delta carries a copy from one mark to another.
type Delta struct {
	// From is the version that a receiver must hold already; a snapshot needs none.
	From uint64 `cbor:"1,keyasint"`
	// To is the mark that the receiver then has.
	To Watermark `cbor:"2,keyasint"`
	// Snapshot says that Objects are all there are.
	Snapshot bool `cbor:"3,keyasint,omitempty"`
	// Objects are those that changed.
	Objects []rillreach.Object `cbor:"4,keyasint,omitempty"`
}

// Check reports the first fault of the delta.
func (d Delta) Check() error {
	if d.To.Kind == "" {
		return errors.New("delta has no kind")
	}
	if d.From > d.To.Version {
		return errors.Newf("delta goes back from version %d to %d", d.From, d.To.Version)
	}
	for _, o := range d.Objects {
		if o.Kind != d.To.Kind || o.Version > d.To.Version {
			return errors.Newf("delta to version %d of %s holds %s %s of version %d", d.To.Version, d.To.Kind, o.Kind, o.Name, o.Version)
		}
	}
	return nil
}

// MergeResult says what became of a delta.
type MergeResult string

// The verdicts on a delta.
const (
	// MergeApplied says that objects were new.
	MergeApplied MergeResult = "applied"
	// MergeConfirmed says that nothing was new but the time.
	MergeConfirmed MergeResult = "confirmed"
	// MergeStale says that the copy was at least as far.
	MergeStale MergeResult = "stale"
	// MergeGap says that something is missing before the delta.
	MergeGap MergeResult = "gap"
)

// tombstones is how many removals a copy remembers for others.
const tombstones = 4096

// Replica is a process's copy of some kinds of objects.
type Replica struct {
	kinds map[rillreach.Kind]*kindCopy
}

type kindCopy struct {
	mu      sync.RWMutex
	mark    Watermark
	objects map[string]rillreach.Object
	removed []rillreach.Object
	// floor is the version below which removals have been forgotten.
	floor uint64
	apply func(rillreach.Object)
	moved func(Watermark)
}

// NewReplica returns an empty copy.
func NewReplica() *Replica {
	return &Replica{kinds: map[rillreach.Kind]*kindCopy{}}
}

// AddKind adds a kind. The function apply gets each object as it changes, in order; moved, which may be nil, gets each
// new mark after that. It must be called before the copy is used.
func (c *Replica) AddKind(kind rillreach.Kind, apply func(rillreach.Object), moved func(Watermark)) {
	c.kinds[kind] = &kindCopy{
		mark:    Watermark{Kind: kind},
		objects: map[string]rillreach.Object{},
		apply:   apply,
		moved:   moved,
	}
}

// Kinds returns the kinds that are followed.
func (c *Replica) Kinds() []rillreach.Kind {
	kinds := make([]rillreach.Kind, 0, len(c.kinds))
	for kind := range c.kinds {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Watermark returns how far the copy of a kind goes.
func (c *Replica) Watermark(kind rillreach.Kind) Watermark {
	k := c.kinds[kind]
	if k == nil {
		return Watermark{Kind: kind}
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.mark
}

// Watermarks returns how far the copy goes, for every kind.
func (c *Replica) Watermarks() []Watermark {
	marks := make([]Watermark, 0, len(c.kinds))
	for kind := range c.kinds {
		marks = append(marks, c.Watermark(kind))
	}
	return marks
}

// Objects returns the objects of a kind that exist.
func (c *Replica) Objects(kind rillreach.Kind) []rillreach.Object {
	k := c.kinds[kind]
	k.mu.RLock()
	defer k.mu.RUnlock()
	objects := make([]rillreach.Object, 0, len(k.objects))
	for _, o := range k.objects {
		objects = append(objects, o)
	}
	return objects
}

// Merge takes a delta in.
func (c *Replica) Merge(d Delta) MergeResult {
	k := c.kinds[d.To.Kind]
	if k == nil {
		return MergeStale
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.merge(d)
}

// DeltaSince returns what a copy with the mark lacks, and whether that is anything.
func (c *Replica) DeltaSince(mark Watermark) (Delta, bool) {
	k := c.kinds[mark.Kind]
	if k == nil {
		return Delta{}, false
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	if !k.ahead(mark) {
		return Delta{}, false
	}
	return k.since(mark.Version), true
}

func (k *kindCopy) ahead(mark Watermark) bool {
	if k.mark.Version != mark.Version {
		return k.mark.Version > mark.Version
	}
	return k.mark.Time.After(mark.Time)
}

func (k *kindCopy) since(version uint64) Delta {
	d := Delta{From: version, To: k.mark, Snapshot: version < k.floor || version == 0}
	for _, o := range k.objects {
		if d.Snapshot || o.Version > version {
			d.Objects = append(d.Objects, o)
		}
	}
	if d.Snapshot {
		return d
	}
	for _, o := range k.removed {
		if o.Version > version {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

func (k *kindCopy) merge(d Delta) MergeResult {
	switch {
	case d.To.Version < k.mark.Version, !k.aheadOf(d):
		return MergeStale
	case !d.Snapshot && d.From > k.mark.Version:
		return MergeGap
	}
	changed := k.takeAll(d.Objects)
	if d.Snapshot {
		changed = k.removeMissing(d) || changed
		k.floor = max(k.floor, d.To.Version)
	}
	k.mark = Watermark{Kind: k.mark.Kind, Version: d.To.Version, Time: later(k.mark.Time, d.To.Time)}
	if k.moved != nil {
		k.moved(k.mark)
	}
	if changed {
		return MergeApplied
	}
	return MergeConfirmed
}

// aheadOf reports whether the delta goes further than the copy.
func (k *kindCopy) aheadOf(d Delta) bool {
	return d.To.Version > k.mark.Version || d.To.Time.After(k.mark.Time)
}

func (k *kindCopy) takeAll(objects []rillreach.Object) bool {
	changed := false
	for _, o := range objects {
		if o.Version > k.mark.Version && o.Version > k.objects[o.Name].Version {
			k.take(o)
			changed = true
		}
	}
	return changed
}

func (k *kindCopy) take(o rillreach.Object) {
	if o.Deleted {
		delete(k.objects, o.Name)
		k.remember(o)
	} else {
		k.objects[o.Name] = o
	}
	k.apply(o)
}

// remember keeps a removal for others, and forgets the oldest one when there are too many.
func (k *kindCopy) remember(o rillreach.Object) {
	k.removed = append(k.removed, o)
	if len(k.removed) > tombstones {
		k.floor = max(k.floor, k.removed[0].Version+1)
		k.removed = append(k.removed[:0:0], k.removed[1:]...)
	}
}

// removeMissing removes the objects that a snapshot no longer holds.
func (k *kindCopy) removeMissing(d Delta) bool {
	there := make(map[string]struct{}, len(d.Objects))
	for _, o := range d.Objects {
		there[o.Name] = struct{}{}
	}
	changed := false
	for name, o := range k.objects {
		if _, ok := there[name]; ok {
			continue
		}
		o.Deleted = true
		o.Version = d.To.Version
		k.take(o)
		changed = true
	}
	return changed
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
