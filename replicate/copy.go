package replicate

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Watermark is the state that a replica of one kind has reached: it has every change up to Version, and Version was the
// platform's latest at Time by the platform's clock.
type Watermark struct {
	Kind    rillreach.ObjectKind `cbor:"1,keyasint"`
	Version uint64               `cbor:"2,keyasint"`
	Time    time.Time            `cbor:"3,keyasint"`
}

// Delta moves a replica from one watermark to another.
type Delta struct {
	// From is the version that the receiver must already have reached. A snapshot can be merged at any version.
	From uint64 `cbor:"1,keyasint"`
	// To is the receiver's watermark after the merge.
	To Watermark `cbor:"2,keyasint"`
	// Snapshot means that Objects lists all existing objects.
	Snapshot bool `cbor:"3,keyasint,omitempty"`
	// Objects are the objects that changed, or all existing ones in a snapshot.
	Objects []rillreach.Object `cbor:"4,keyasint,omitempty"`
}

// Check returns an error if the delta is inconsistent.
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

// MergeResult is the outcome of merging a delta.
type MergeResult string

// The results of merging a delta.
const (
	// MergeApplied means that the delta changed objects.
	MergeApplied MergeResult = "applied"
	// MergeConfirmed means that no object changed, only the watermark advanced.
	MergeConfirmed MergeResult = "confirmed"
	// MergeStale means that the replica had already reached the delta's watermark.
	MergeStale MergeResult = "stale"
	// MergeGap means that the replica lacks changes before the delta.
	MergeGap MergeResult = "gap"
)

// maxTombstones is the number of removals that a replica keeps in order to send them to other replicas.
const maxTombstones = 4096

// Replica is a process's replica of the platform's objects of some kinds.
type Replica struct {
	kinds map[rillreach.ObjectKind]*kindReplica
}

// kindReplica is the replica of one kind.
type kindReplica struct {
	mu         sync.RWMutex
	watermark  Watermark
	objects    map[string]rillreach.Object
	tombstones []rillreach.Object
	// tombstoneFloor is the version below which tombstones may be missing.
	tombstoneFloor uint64
	onChange       func(rillreach.Object)
	onAdvance      func(Watermark)
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{kinds: map[rillreach.ObjectKind]*kindReplica{}}
}

// AddKind adds a kind to replicate. onChange is called with each changed object, in order; onAdvance, which may be
// nil, is called with the new watermark after them. Add all kinds before using the replica.
func (r *Replica) AddKind(kind rillreach.ObjectKind, onChange func(rillreach.Object), onAdvance func(Watermark)) {
	r.kinds[kind] = &kindReplica{
		watermark: Watermark{Kind: kind},
		objects:   map[string]rillreach.Object{},
		onChange:  onChange,
		onAdvance: onAdvance,
	}
}

// Kinds returns the replicated kinds.
func (r *Replica) Kinds() []rillreach.ObjectKind {
	kinds := make([]rillreach.ObjectKind, 0, len(r.kinds))
	for kind := range r.kinds {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Watermark returns the watermark of a kind.
func (r *Replica) Watermark(kind rillreach.ObjectKind) Watermark {
	k := r.kinds[kind]
	if k == nil {
		return Watermark{Kind: kind}
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.watermark
}

// Watermarks returns the watermarks of all kinds.
func (r *Replica) Watermarks() []Watermark {
	watermarks := make([]Watermark, 0, len(r.kinds))
	for kind := range r.kinds {
		watermarks = append(watermarks, r.Watermark(kind))
	}
	return watermarks
}

// Objects returns the existing objects of a kind.
func (r *Replica) Objects(kind rillreach.ObjectKind) []rillreach.Object {
	k := r.kinds[kind]
	k.mu.RLock()
	defer k.mu.RUnlock()
	objects := make([]rillreach.Object, 0, len(k.objects))
	for _, o := range k.objects {
		objects = append(objects, o)
	}
	return objects
}

// Merge applies a delta unless it is stale or changes before it are missing.
func (r *Replica) Merge(d Delta) MergeResult {
	k := r.kinds[d.To.Kind]
	if k == nil {
		return MergeStale
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.merge(d)
}

// DeltaSince returns the delta that a replica with the given watermark lacks. It returns false if there is none.
func (r *Replica) DeltaSince(watermark Watermark) (Delta, bool) {
	k := r.kinds[watermark.Kind]
	if k == nil {
		return Delta{}, false
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	if !k.isAheadOf(watermark) {
		return Delta{}, false
	}
	return k.deltaSince(watermark.Version), true
}

// isAheadOf reports whether the replica is newer than the watermark, in version or time.
func (k *kindReplica) isAheadOf(watermark Watermark) bool {
	if k.watermark.Version != watermark.Version {
		return k.watermark.Version > watermark.Version
	}
	return k.watermark.Time.After(watermark.Time)
}

// deltaSince returns the changes after a version, or a snapshot if tombstones after it may be missing.
func (k *kindReplica) deltaSince(version uint64) Delta {
	d := Delta{From: version, To: k.watermark, Snapshot: version < k.tombstoneFloor || version == 0}
	for _, o := range k.objects {
		if d.Snapshot || o.Version > version {
			d.Objects = append(d.Objects, o)
		}
	}
	if d.Snapshot {
		return d
	}
	for _, o := range k.tombstones {
		if o.Version > version {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

func (k *kindReplica) merge(d Delta) MergeResult {
	switch {
	case d.To.Version < k.watermark.Version, !k.isBehind(d):
		return MergeStale
	case !d.Snapshot && d.From > k.watermark.Version:
		return MergeGap
	}
	changed := k.applyObjects(d.Objects)
	if d.Snapshot {
		changed = k.removeMissing(d) || changed
		k.tombstoneFloor = max(k.tombstoneFloor, d.To.Version)
	}
	k.watermark = Watermark{Kind: k.watermark.Kind, Version: d.To.Version, Time: latest(k.watermark.Time, d.To.Time)}
	if k.onAdvance != nil {
		k.onAdvance(k.watermark)
	}
	if changed {
		return MergeApplied
	}
	return MergeConfirmed
}

// isBehind reports whether the delta is newer than the replica, in version or time.
func (k *kindReplica) isBehind(d Delta) bool {
	return d.To.Version > k.watermark.Version || d.To.Time.After(k.watermark.Time)
}

// applyObjects applies the objects that are newer than the replica and reports whether there were any.
func (k *kindReplica) applyObjects(objects []rillreach.Object) bool {
	changed := false
	for _, o := range objects {
		if o.Version > k.watermark.Version && o.Version > k.objects[o.Name].Version {
			k.applyObject(o)
			changed = true
		}
	}
	return changed
}

func (k *kindReplica) applyObject(o rillreach.Object) {
	if o.Deleted {
		delete(k.objects, o.Name)
		k.addTombstone(o)
	} else {
		k.objects[o.Name] = o
	}
	k.onChange(o)
}

// addTombstone keeps a removal for other replicas and discards the oldest one beyond maxTombstones.
func (k *kindReplica) addTombstone(o rillreach.Object) {
	k.tombstones = append(k.tombstones, o)
	if len(k.tombstones) > maxTombstones {
		k.tombstoneFloor = max(k.tombstoneFloor, k.tombstones[0].Version+1)
		k.tombstones = append(k.tombstones[:0:0], k.tombstones[1:]...)
	}
}

// removeMissing removes the objects that a snapshot doesn't list.
func (k *kindReplica) removeMissing(d Delta) bool {
	present := make(map[string]struct{}, len(d.Objects))
	for _, o := range d.Objects {
		present[o.Name] = struct{}{}
	}
	changed := false
	for name, o := range k.objects {
		if _, ok := present[name]; ok {
			continue
		}
		o.Deleted = true
		o.Version = d.To.Version
		k.applyObject(o)
		changed = true
	}
	return changed
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
