package localstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
)

// versionRecord is a version of a model's weights and when operators named it as the one to serve.
type versionRecord struct {
	version deployment.WeightVersion
	// namedAt is when the version was named, as far as this process knows, and learnedAt when this
	// process learned of it.
	namedAt   time.Time
	learnedAt time.Time
	// timeUnknown means that namedAt is only an upper bound: the version was in the first list or arrived right
	// after a stall, and no other process has reported its time yet.
	timeUnknown bool
	// mayFollowGap means that earlier versions may have been named without this process learning of them.
	mayFollowGap bool
}

// peerReportTimeout is how long other processes have to report when a version of unknown time was named. A
// restarted entry follows its 18 agents within 0.23 s. If none of them reports a time, none has its runner load
// the version either, and older weights are considered outdated.
const peerReportTimeout = 1500 * time.Millisecond

// minLoggedCorrection is the smallest correction of a naming time that is logged. Smaller ones come from differing
// delivery times of messages.
const minLoggedCorrection = 200 * time.Millisecond

// maxVersionRecords bounds the versions that are remembered for a model: three a second for the 10 s in which
// replaced weights may still be used.
const maxVersionRecords = 32

// NamedWeights returns the newest named version of a model, and when it was named as far as this process knows.
func (s *State) NamedWeights(model rillreach.ModelID) (deployment.DesiredWeights, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.versions[model]
	if len(records) == 0 {
		return deployment.DesiredWeights{}, time.Time{}
	}
	return s.weights[model], records[len(records)-1].namedAt
}

// ReplacedAt returns when the given version was replaced, that is, when the first newer one was named, as far as
// this process knows. It returns the zero time if there is no newer version, and the Unix epoch if no process has
// reported that time or this process may have missed a version in between.
func (s *State) ReplacedAt(model rillreach.ModelID, version deployment.WeightVersion) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.versions[model] {
		if n.version <= version {
			continue
		}
		unsure := n.timeUnknown || n.mayFollowGap && n.version > version+1
		if unsure && time.Since(n.learnedAt) > peerReportTimeout {
			return time.Unix(0, 0)
		}
		return n.namedAt
	}
	return time.Time{}
}

// NamedVersion is a version of a model's weights and when it was named.
type NamedVersion struct {
	Model   rillreach.ModelID
	Version deployment.WeightVersion
	At      time.Time
}

// NamedVersions returns the versions whose naming time is known, by model and in ascending order of version.
func (s *State) NamedVersions() []NamedVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []NamedVersion
	for _, model := range slices.Sorted(maps.Keys(s.versions)) {
		for _, n := range s.versions[model] {
			if n.timeUnknown {
				continue
			}
			all = append(all, NamedVersion{Model: model, Version: n.version, At: n.namedAt})
		}
	}
	return all
}

// NamedVersionsRevision returns a counter that changes whenever the result of NamedVersions does.
func (s *State) NamedVersionsRevision() uint64 { return s.namedVersionsRevision.Load() }

// ApplyNamedVersion records a naming time that another process has reported; this process may have started later.
func (s *State) ApplyNamedVersion(reported NamedVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.versions[reported.Model]
	i, known := slices.BinarySearchFunc(records, reported.Version, func(n versionRecord, v deployment.WeightVersion) int { return cmp.Compare(n.version, v) })
	switch {
	case known:
		s.correctNamedAt(&records[i], reported)
	case i < len(records): // the newest version is taken from the object store only
		// If this process may have missed versions before the next one, it may also have missed some before this one.
		record := versionRecord{version: reported.Version, namedAt: reported.At, learnedAt: time.Now(), mayFollowGap: records[i].mayFollowGap}
		records = slices.Insert(records, i, record)
		s.setVersions(reported.Model, records)
	}
}

// correctNamedAt replaces a naming time by the reported one if that is earlier. The lock must be held.
func (s *State) correctNamedAt(record *versionRecord, reported NamedVersion) {
	if record.timeUnknown {
		record.timeUnknown = false
		s.namedVersionsRevision.Add(1)
	}
	if !reported.At.Before(record.namedAt) {
		return
	}
	if correction := record.namedAt.Sub(reported.At); correction > minLoggedCorrection {
		s.Log.Info("weights were named earlier", "decision", "apply", "model", reported.Model, "weights", reported.Version, "by", correction.String())
	}
	record.namedAt = reported.At
	s.namedVersionsRevision.Add(1)
}

// setVersions stores the newest records of a model. The lock must be held. The oldest remaining record takes the
// time of the oldest dropped one, so that weights which the dropped versions replaced do not count as replaced
// later than they were.
func (s *State) setVersions(model rillreach.ModelID, records []versionRecord) {
	if forgotten := len(records) - maxVersionRecords; forgotten > 0 {
		first := records[0].namedAt
		records = slices.Clone(records[forgotten:])
		records[0].namedAt = first
	}
	s.versions[model] = records
	s.namedVersionsRevision.Add(1)
}

// AllNamedWeights returns the newest named version of each model.
func (s *State) AllNamedWeights() []deployment.DesiredWeights {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]deployment.DesiredWeights, 0, len(s.weights))
	for _, w := range s.weights {
		all = append(all, w)
	}
	return all
}

// SetWeights records a version of a model's weights that has just been named, unless it is older than the known one.
func (s *State) SetWeights(w deployment.DesiredWeights) { s.setWeights(w, false) }

// SetWeightsOfUnknownAge records a version of a model's weights that may have been named at any time before,
// unless it is older than the known one.
func (s *State) SetWeightsOfUnknownAge(w deployment.DesiredWeights) { s.setWeights(w, true) }

func (s *State) setWeights(w deployment.DesiredWeights, timeUnknown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.weights[w.Model]
	switch {
	case ok && w.Revision == known.Revision:
		s.confirmNamedAt(w, timeUnknown)
		return
	case ok && !supersedes(w, known):
		return
	case ok && w.Version == known.Version:
		s.weights[w.Model] = w // the same version, written again
		return
	}
	if s.weights == nil {
		s.weights, s.versions = map[rillreach.ModelID]deployment.DesiredWeights{}, map[rillreach.ModelID][]versionRecord{}
	}
	s.weights[w.Model] = w
	now := time.Now()
	s.setVersions(w.Model, append(s.versions[w.Model], versionRecord{version: w.Version, namedAt: now, learnedAt: now, timeUnknown: timeUnknown, mayFollowGap: timeUnknown}))
	s.Log.Info("weights named", "decision", "apply", "model", w.Model, "weights", w.Version, "revision", w.Revision, "found", timeUnknown)
	if s.WeightsChanged != nil {
		s.WeightsChanged(w)
	}
}

// confirmNamedAt records that the newest version of a model's weights has just been named. Another process had
// reported it before the object store did.
func (s *State) confirmNamedAt(w deployment.DesiredWeights, timeUnknown bool) {
	if timeUnknown {
		return
	}
	records := s.versions[w.Model]
	records[len(records)-1].timeUnknown = false
	s.namedVersionsRevision.Add(1)
}

// supersedes reports whether a named version replaces the known one.
func supersedes(next, known deployment.DesiredWeights) bool {
	return rillreach.Supersedes(next.Revision, next.Version, known.Revision, known.Version)
}

// WeightsFollower returns a controller that keeps the named weights in sync with their source.
func (s *State) WeightsFollower(source rillreach.Source[deployment.DesiredWeights], wait time.Duration) rillreach.Controller {
	apply := func(u rillreach.Update[deployment.DesiredWeights], timeUnknown bool) {
		if checkReadable(s.Log, "weights", &s.unreadableWeights, u) && !u.Deleted {
			s.setWeights(u.Value, timeUnknown)
		}
	}
	// A later list, requested because changes were missed, contains what was named in the short time between; the
	// first list may contain older versions.
	firstList := true
	return &follow.Controller[deployment.DesiredWeights]{
		Kind: "weights", Source: source, WatchTimeout: wait, Log: s.Log,
		BeforeRequest: func() { s.stalls.requestSent(time.Now()) },
		OnChanged: func(u rillreach.Update[deployment.DesiredWeights], _ time.Time) {
			apply(u, s.stalls.mayBeDelayed(time.Now()))
		},
		OnConfirmed: func() { s.stalls.responseApplied(time.Now()) },
		OnListed: func(all []rillreach.Update[deployment.DesiredWeights], _ time.Time) {
			s.unreadableWeights.retain(namesOf(all))
			for _, u := range all {
				if u.Err == nil && s.isKnown(u.Value) {
					s.unreadableWeights.remove(u.Name)
					continue // a list does not tell when a known version was named
				}
				apply(u, firstList || s.stalls.mayBeDelayed(time.Now()))
			}
			firstList = false
		},
	}
}

// isKnown reports whether a named version is already known or older than the known one.
func (s *State) isKnown(w deployment.DesiredWeights) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.weights[w.Model]
	return ok && !supersedes(w, known)
}
