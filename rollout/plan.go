package rollout

import (
	"math"
	"time"

	"github.com/rillreach/rillreach/internal/hash"
)

const (
	// canaryFraction is the part of the permitted exposure that the canary uses. The rest is left for the cutover and
	// for entries that learn late of a bad version.
	canaryFraction = 0.4
	// cutoverFraction is the part of the rollout for which all requests go to the target version before the rollout is
	// completed. The runners of the current version stop at that moment and must have finished their requests.
	cutoverFraction = 0.05
	minCutover      = 500 * time.Millisecond
	maxCutover      = 3 * time.Second
	// completionMargin is the time that the store may take to accept the completion before the deadline.
	completionMargin = 500 * time.Millisecond
	// canaryEntries is the number of entries that send canary requests, if there are more. Few entries see enough
	// answers each to recognize a bad version by themselves.
	canaryEntries = 16
	// maxEntryShare bounds the share of one entry's requests in the canary.
	maxEntryShare = 0.5
)

// Phase is a phase of a rollout.
type Phase string

// The phases of a rollout. In PhaseCanary a small share of the requests goes to the target version, in PhaseCutover all
// of them. After PhaseCompleted only the target version is used, after PhaseRolledBack only the other ones.
const (
	PhaseCanary     Phase = "canary"
	PhaseCutover    Phase = "cutover"
	PhaseCompleted  Phase = "completed"
	PhaseRolledBack Phase = "rolled-back"
)

// Plan is the schedule of a rollout. StartedAt is when the process learned of it.
type Plan struct {
	StartedAt time.Time
	Duration  time.Duration
}

// cutover returns how long all requests go to the target version before the completion.
func (p Plan) cutover() time.Duration {
	return min(max(time.Duration(cutoverFraction*float64(p.Duration)), minCutover), maxCutover, p.Duration/2)
}

// CompleteAt returns when the rollout is completed unless the target version is bad.
func (p Plan) CompleteAt() time.Time {
	return p.StartedAt.Add(p.Duration - min(completionMargin, p.Duration/4))
}

// PhaseAt returns the phase of a rollout that is neither completed nor rolled back.
func (p Plan) PhaseAt(now time.Time) Phase {
	if now.Before(p.CompleteAt().Add(-p.cutover())) {
		return PhaseCanary
	}
	return PhaseCutover
}

// CanaryShare returns the share of an entry's requests that go to the target version during the canary, so that all
// entries together stay well below the permitted exposure. The entry takes part depending on the hash of its name and
// the rollout.
func CanaryShare(exposure float64, entries int, entryHash uint64) float64 {
	total := exposure * canaryFraction
	participants := max(canaryEntries, int(math.Ceil(float64(entries)*total/maxEntryShare)))
	if entries <= participants {
		return total
	}
	probability := float64(participants) / float64(entries)
	if float64(entryHash)/math.MaxUint64 >= probability {
		return 0
	}
	return total / probability
}

// CanaryRunners returns how many of the runners with the target version serve the canary, so that each gets about as
// many requests as it will after the rollout.
func CanaryRunners(runners int, exposure float64) int {
	return min(runners, max(1, int(math.Round(float64(runners)*exposure*canaryFraction))))
}

// InCanary reports whether a conversation belongs to a share of all conversations. A conversation that does also
// belongs to each larger share.
func InCanary(conversation, target string, share float64) bool {
	return float64(hash.Mix(hash.String(conversation), hash.String(target)))/math.MaxUint64 < share
}
