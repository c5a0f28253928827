package rillreach

// Generation orders the runs of one instance: that of a later run is greater. Zero says that it is unknown. Those of different
// instances, and a clock, tell nothing about one another.
type Generation int64

// InstanceRun names one run of an instance by its identifier, which a restart keeps, and its generation, which a restart raises.
type InstanceRun struct {
	ID         InstanceID
	Generation Generation
}

// Supersedes reports that r is a later run of the same instance than other; where either generation is unknown, it is not.
func (r InstanceRun) Supersedes(other InstanceRun) bool {
	return r.ID == other.ID && other.Generation != 0 && r.Generation > other.Generation
}
