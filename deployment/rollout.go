package deployment

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// SoftwareVersion is the version of a runner's software, as the platform names it.
type SoftwareVersion string

// RolloutState is the recorded state of a rollout. It is empty if none is recorded.
type RolloutState string

// The states of a rollout.
const (
	RolloutActive     RolloutState = "active"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Ended reports whether the rollout is completed or rolled back.
func (s RolloutState) Ended() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// Rollout is an operator's request to move the traffic of a service to runners with another software version.
type Rollout struct {
	Service rillreach.ServiceID
	Target  SoftwareVersion
	// Duration is the time from the request to its deadline.
	Duration time.Duration
	// State is the state that is recorded for the target version.
	State RolloutState
	// Revision is the revision of the stored object's last change.
	Revision rillreach.Revision
}

// Check reports why the rollout cannot be carried out, if it cannot.
func (r *Rollout) Check() error {
	switch {
	case r.Service == "" || r.Target == "":
		return errors.New("rollout lacks its service or target version")
	case r.Duration <= 0:
		return errors.Newf("rollout has duration %s", r.Duration)
	case r.State != "" && r.State != RolloutActive && !r.State.Ended():
		return errors.Newf("rollout has unknown state %q", r.State)
	default:
		return nil
	}
}
