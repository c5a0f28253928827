package rillreach

import (
	"cmp"
	"fmt"
)

// Revision is a position in the history of the object store. When the store is restored from a backup that lacks its
// last writes, its era increases and the numbers of the lost writes are used again.
type Revision struct {
	// Era is the number of times that the store was restored from a backup, or zero if the store does not report it.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// Number is the store's counter of changes. It increases within an era.
	Number uint64 `cbor:"2,keyasint"`
}

// Compare returns a negative number if the revision is before the other, and a positive number if it is after. All
// revisions of an era are before those of a later era.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether the revision is after the other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// String returns the revision as era/number.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// MarshalText returns the same text as String, for structured logs.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Supersedes reports whether the next value replaces the known one, where each value has a version of its own besides
// its revision. Within an era, the later write wins. Between eras, the higher version wins, because a store restored
// from a backup may contain an older value; if the versions are equal, the later era wins.
func Supersedes[V cmp.Ordered](next Revision, nextVersion V, known Revision, knownVersion V) bool {
	if next.Era == known.Era {
		return next.Number > known.Number
	}
	return cmp.Or(cmp.Compare(nextVersion, knownVersion), cmp.Compare(next.Era, known.Era)) > 0
}
