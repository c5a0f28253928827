package rillreach

import "time"

// Generation orders the runs of one instance: it is the millisecond of a run's start by that instance's clock, and that of a later
// run is greater. Zero says that it is unknown. Those of different instances tell nothing about one another.
type Generation int64

// StartTime is the start by the instance's own clock.
func (g Generation) StartTime() time.Time { return time.UnixMilli(int64(g)) }

// InstanceRun names one run of an instance by its identifier, which a restart keeps, and its generation, which a restart raises.
type InstanceRun struct {
	ID         InstanceID
	Generation Generation
}

// Supersedes reports that r is a later run of the same instance than other; where either generation is unknown, it is not.
func (r InstanceRun) Supersedes(other InstanceRun) bool {
	return r.ID == other.ID && other.Generation != 0 && r.Generation > other.Generation
}
