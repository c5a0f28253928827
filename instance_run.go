package rillreach

import "time"

// Generation orders the runs of one instance: it is the start time of a run in Unix milliseconds by the instance's
// own clock, and later runs have greater generations. Zero means unknown. Generations of different instances are not
// comparable.
type Generation int64

// StartTime returns when the run started, by the instance's own clock.
func (g Generation) StartTime() time.Time { return time.UnixMilli(int64(g)) }

// InstanceRun identifies one run of an instance. A restart keeps ID and increases Generation.
type InstanceRun struct {
	ID         InstanceID
	Generation Generation
}

// Supersedes reports whether r is a later run of the same instance than other. If either generation is unknown, it
// returns false.
func (r InstanceRun) Supersedes(other InstanceRun) bool {
	return r.ID == other.ID && other.Generation != 0 && r.Generation > other.Generation
}
