package roster

import (
	"time"

	"github.com/rillreach/rillreach/deployment"
)

// mergeRecord returns a record from a later era of the store, merged with those facts about the same run that
// never revert. A store that was restored from a backup may hold an older record than the one that is known.
func mergeRecord(known, info deployment.Runner) deployment.Runner {
	info.Leaving = info.Leaving || known.Leaving
	info.ColdUntil = earliest(known.ColdUntil, info.ColdUntil)
	info.Weights = newestWeights(info.Weights, known.Weights)
	if sameContent(known, info) {
		info.Revision = known.Revision // so that it does not take precedence over newer records that the backup lacks
	}
	return info
}

// earliest returns the earlier of two times. It merges the ends of cold periods: a run that has warmed up does not
// become cold again.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sameContent reports whether two records of a run have the same content, whatever their revisions.
func sameContent(a, b deployment.Runner) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving
}
