package rillreach

import (
	"cmp"
	"fmt"
)

// Revision is a position in the history of the object store. The store may come back from a copy that lacks its last writes; its era rises then, and
// the numbers are given out again.
type Revision struct {
	// Era counts the copies that the store has come back from; zero where the store tells none.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// Number is the store's counter of changes; it rises within an era.
	Number uint64 `cbor:"2,keyasint"`
}

// Compare is negative where the revision comes before the other, and positive where it comes after it: any of a later era does.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports that the revision comes after the other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// String is the revision for logs.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// MarshalText is the revision as structured logs write it.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Supersedes reports that a value with a version of its own takes the place of another: of the same era the one that was written later, of two eras
// the one with the higher version, since a copy holds older ones; of equal versions that of the later era.
func Supersedes[V cmp.Ordered](next Revision, nextVersion V, known Revision, knownVersion V) bool {
	if next.Era == known.Era {
		return next.Number > known.Number
	}
	return cmp.Or(cmp.Compare(nextVersion, knownVersion), cmp.Compare(next.Era, known.Era)) > 0
}
