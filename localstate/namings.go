package localstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
)

// versionRecord is a version of a model's weights and when it became the desired one.
type versionRecord struct {
	version deployment.WeightVersion
	// desiredSince is when operators requested the version, as far as this process knows, and learnedAt when this
	// process learned of it.
	desiredSince time.Time
	learnedAt    time.Time
	// timeUnknown means that desiredSince is only an upper bound: the version was in the first list or arrived right
	// after a stall, and no other process has reported its time yet.
	timeUnknown bool
	// mayFollowGap means that earlier versions may have been desired without this process learning of them.
	mayFollowGap bool
}

// peerReportTimeout is how long other processes have to report since when a version of unknown time is desired. A
// restarted entry follows its 18 agents within 0.23 s. If none of them reports a time, none has its runner load
// the version either, and older weights are considered outdated.
const peerReportTimeout = 1500 * time.Millisecond

// minLoggedCorrection is the smallest correction of desiredSince that is logged. Smaller ones come from differing
// delivery times of messages.
const minLoggedCorrection = 200 * time.Millisecond

// maxVersionRecords bounds the versions that are remembered for a model: three a second for the 10 s in which
// replaced weights may still be used.
const maxVersionRecords = 32

// DesiredWeights returns the desired weights of a model, and when they were requested as far as this process knows.
func (s *State) DesiredWeights(model rillreach.ModelID) (deployment.DesiredWeights, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.versions[model]
	if len(records) == 0 {
		return deployment.DesiredWeights{}, time.Time{}
	}
	return s.weights[model], records[len(records)-1].desiredSince
}

// ReplacedAt returns when the given version was replaced, that is, when the first newer one was requested, as far as
// this process knows. It returns the zero time if there is no newer version, and the Unix epoch if no process has
// reported that time or this process may have missed a version in between.
func (s *State) ReplacedAt(model rillreach.ModelID, version deployment.WeightVersion) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range s.versions[model] {
		if record.version <= version {
			continue
		}
		unsure := record.timeUnknown || record.mayFollowGap && record.version > version+1
		if unsure && time.Since(record.learnedAt) > peerReportTimeout {
			return time.Unix(0, 0)
		}
		return record.desiredSince
	}
	return time.Time{}
}

// DesiredVersion is a desired or formerly desired version of a model's weights and when operators requested it.
type DesiredVersion struct {
	Model   rillreach.ModelID
	Version deployment.WeightVersion
	At      time.Time
}

// DesiredVersions returns the versions whose desiredSince is known, by model and in ascending order of version.
func (s *State) DesiredVersions() []DesiredVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []DesiredVersion
	for _, model := range slices.Sorted(maps.Keys(s.versions)) {
		for _, record := range s.versions[model] {
			if record.timeUnknown {
				continue
			}
			all = append(all, DesiredVersion{Model: model, Version: record.version, At: record.desiredSince})
		}
	}
	return all
}

// DesiredVersionsRevision returns a counter that changes whenever the result of DesiredVersions does.
func (s *State) DesiredVersionsRevision() uint64 { return s.desiredVersionsRevision.Load() }

// ApplyDesiredVersion records a version that another process has reported; this process may have started later.
func (s *State) ApplyDesiredVersion(reported DesiredVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.versions[reported.Model]
	i, known := slices.BinarySearchFunc(records, reported.Version, func(record versionRecord, v deployment.WeightVersion) int { return cmp.Compare(record.version, v) })
	switch {
	case known:
		s.correctDesiredSince(&records[i], reported)
	case i < len(records): // the desired version is taken from the object store only
		// If this process may have missed versions before the next one, it may also have missed some before this one.
		record := versionRecord{version: reported.Version, desiredSince: reported.At, learnedAt: time.Now(), mayFollowGap: records[i].mayFollowGap}
		records = slices.Insert(records, i, record)
		s.setVersions(reported.Model, records)
	}
}

// ApplyWeightsFirstSeen records when versions were requested, as agents have reported it at the given time on the runners'
// clock. A process that has just started does not know these times itself.
func (s *State) ApplyWeightsFirstSeen(clock int64, reported []bulletin.WeightsFirstSeen, now time.Time) {
	if clock == 0 {
		return
	}
	for _, seen := range reported {
		age := time.Duration(clock-seen.At) * time.Millisecond
		s.ApplyDesiredVersion(DesiredVersion{Model: seen.Model, Version: seen.Version, At: now.Add(-age)})
	}
}

// correctDesiredSince replaces desiredSince by the reported time if that is earlier. The lock must be held.
func (s *State) correctDesiredSince(record *versionRecord, reported DesiredVersion) {
	if record.timeUnknown {
		record.timeUnknown = false
		s.desiredVersionsRevision.Add(1)
	}
	if !reported.At.Before(record.desiredSince) {
		return
	}
	if correction := record.desiredSince.Sub(reported.At); correction > minLoggedCorrection {
		s.Log.Info("weights were named earlier", "decision", "apply", "model", reported.Model, "weights", reported.Version, "by", correction.String())
	}
	record.desiredSince = reported.At
	s.desiredVersionsRevision.Add(1)
}

// setVersions stores the newest records of a model. The lock must be held. The oldest remaining record takes the
// time of the oldest dropped one, so that weights which the dropped versions replaced do not count as replaced
// later than they were.
func (s *State) setVersions(model rillreach.ModelID, records []versionRecord) {
	if forgotten := len(records) - maxVersionRecords; forgotten > 0 {
		first := records[0].desiredSince
		records = slices.Clone(records[forgotten:])
		records[0].desiredSince = first
	}
	s.versions[model] = records
	s.desiredVersionsRevision.Add(1)
}

// AllDesiredWeights returns the desired weights of each model.
func (s *State) AllDesiredWeights() []deployment.DesiredWeights {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]deployment.DesiredWeights, 0, len(s.weights))
	for _, w := range s.weights {
		all = append(all, w)
	}
	return all
}

// SetWeights records desired weights of a model that have just been requested, unless they are older than the known
// ones.
func (s *State) SetWeights(w deployment.DesiredWeights) { s.setWeights(w, false) }

// SetWeightsOfUnknownAge records desired weights of a model that may have been requested at any time before,
// unless they are older than the known ones.
func (s *State) SetWeightsOfUnknownAge(w deployment.DesiredWeights) { s.setWeights(w, true) }

func (s *State) setWeights(w deployment.DesiredWeights, timeUnknown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.weights[w.Model]
	switch {
	case ok && w.Revision == known.Revision:
		s.confirmDesiredSince(w, timeUnknown)
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
	s.setVersions(w.Model, append(s.versions[w.Model], versionRecord{version: w.Version, desiredSince: now, learnedAt: now, timeUnknown: timeUnknown, mayFollowGap: timeUnknown}))
	s.Log.Info("weights named", "decision", "apply", "model", w.Model, "weights", w.Version, "revision", w.Revision, "found", timeUnknown)
	if s.WeightsChanged != nil {
		s.WeightsChanged(w)
	}
}

// confirmDesiredSince records that the desired weights of a model have just been requested. Another process had
// reported them before the object store did.
func (s *State) confirmDesiredSince(w deployment.DesiredWeights, timeUnknown bool) {
	if timeUnknown {
		return
	}
	records := s.versions[w.Model]
	records[len(records)-1].timeUnknown = false
	s.desiredVersionsRevision.Add(1)
}

// supersedes reports whether desired weights replace the known ones.
func supersedes(next, known deployment.DesiredWeights) bool {
	return rillreach.Supersedes(next.Revision, next.Version, known.Revision, known.Version)
}

// WeightsFollower returns a controller that keeps the desired weights in sync with their source.
func (s *State) WeightsFollower(source rillreach.Source[deployment.DesiredWeights], wait time.Duration) rillreach.Controller {
	apply := func(u rillreach.Update[deployment.DesiredWeights], timeUnknown bool) {
		if checkReadable(s.Log, "weights", &s.unreadableWeights, u) && !u.Deleted {
			s.setWeights(u.Value, timeUnknown)
		}
	}
	// A later list, requested because changes were missed, contains what was requested in the short time between; the
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
					continue // a list does not tell when a known version was requested
				}
				apply(u, firstList || s.stalls.mayBeDelayed(time.Now()))
			}
			firstList = false
		},
	}
}

// isKnown reports whether desired weights are already known or older than the known ones.
func (s *State) isKnown(w deployment.DesiredWeights) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.weights[w.Model]
	return ok && !supersedes(w, known)
}
