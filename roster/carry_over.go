package roster

import (
	"time"

	"github.com/rillreach/rillreach/deployment"
)

// carryOver is a record of a later era of the store, with what was known of the run before it and only grows: a copy of the store may hold an older
// record than the one that was known.
func carryOver(known, info deployment.Runner) deployment.Runner {
	info.Leaving = info.Leaving || known.Leaving
	info.ColdUntil = earliest(known.ColdUntil, info.ColdUntil)
	info.Weights = newest(info.Weights, known.Weights)
	if sameRecord(known, info) {
		info.Revision = known.Revision // so that it goes before no record that is newer, and that the copy lacks
	}
	return info
}

// earliest is the earlier of two moments; a run that is warm is not cold again.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sameRecord reports that two records of a run say the same, whenever they were written.
func sameRecord(a, b deployment.Runner) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving
}
