// Package localstate is a process's copy of what the platform's object store says about the site: the
// configuration, the runners, and the desired weights of the models. None of it ever
// reverts to an older version, even if the store is restored from a backup.
package localstate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/telemetry"
)

// State is the local copy. Exported fields are set before use.
type State struct {
	// Log receives a line for each change of the state.
	Log logr.Logger
	// Metrics counts anomalies; it may be nil.
	Metrics *telemetry.Metrics
	// Roster is the list of runners.
	Roster roster.Roster
	// ConfigChanged and WeightsChanged are called with each newer value; they may be nil.
	ConfigChanged  func(*deployment.Config)
	WeightsChanged func(deployment.DesiredWeights)
	// Pace returns the pace at which the process follows the store, and whether that overrides the usual one; it may be
	// nil.
	Pace func() (follow.Pace, bool)
	// SuspendedTime returns how long the machine has been suspended in total, which the clock of package time does
	// not count; nil if unknown.
	SuspendedTime func() time.Duration
	// RunnerRestarted is called for each run that replaces an earlier one; it may be nil.
	RunnerRestarted func(deployment.Runner)

	stalls            stallDetector
	config            atomic.Pointer[deployment.Config]
	configConfirmedAt atomic.Int64
	runnersListed     atomic.Bool
	// missingGeneration holds the revisions of those runners' latest records that lack a generation.
	missingGeneration map[rillreach.InstanceID]rillreach.Revision

	// runnersMu keeps the configuration and the runners consistent about which services are known. It
	// is locked after mu.
	runnersMu sync.Mutex
	// unknownServiceRunners holds the runners whose service the configuration does not name.
	unknownServiceRunners map[rillreach.InstanceID]deployment.Runner

	evacuations    evacuationState
	rollouts       rolloutState
	removedRunners removedRunners
	peerConfig     peerConfig

	unreadableConfigs, unreadableRunners, unreadableWeights unreadableObjects

	mu       sync.Mutex
	weights  map[rillreach.ModelID]deployment.DesiredWeights
	versions map[rillreach.ModelID][]versionRecord

	desiredVersionsRevision atomic.Uint64
}

// Config returns the newest configuration, or nil before the first.
func (s *State) Config() *deployment.Config { return s.config.Load() }

// ConfigConfirmedAt returns when the configuration was last known to be the newest.
func (s *State) ConfigConfirmedAt() time.Time { return time.Unix(0, s.configConfirmedAt.Load()) }

// HasSynced reports whether the configuration, the runners and, if they are followed, the evacuated zones and the
// rollouts are known. A configuration that is older than that of the peers does not count for a short time: this process was
// started after the store had lost the newer one.
func (s *State) HasSynced() bool {
	c := s.config.Load()
	return c != nil && s.runnersListed.Load() && s.evacuations.synced() && s.rollouts.synced() && !s.peerConfig.newerThan(c, time.Now())
}

// SetConfig puts a configuration in force unless it is older than the current one.
func (s *State) SetConfig(c *deployment.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.config.Load()
	if before != nil && !rillreach.Supersedes(c.Revision, c.Version, before.Revision, before.Version) {
		if c.Version != before.Version {
			s.Log.Info("configuration not taken", "decision", "keep", "version", c.Version, "revision", c.Revision, "kept", before.Version, "keptRevision", before.Revision)
		}
		return
	}
	s.applyConfig(c)
	s.Log.Info("configuration in force", "decision", "apply", "version", c.Version, "revision", c.Revision,
		"routes", len(c.Routes), "accounts", len(c.Accounts))
	if s.ConfigChanged != nil {
		s.ConfigChanged(c)
	}
}

// ConfigFollower returns a controller that keeps the configuration in sync with its source.
func (s *State) ConfigFollower(source rillreach.Source[*deployment.Config], wait time.Duration) rillreach.Controller {
	apply := func(u rillreach.Update[*deployment.Config], _ time.Time) {
		if checkReadable(s.Log, "config", &s.unreadableConfigs, u) && !u.Deleted {
			s.SetConfig(u.Value)
		}
	}
	return &follow.Controller[*deployment.Config]{
		Kind: "config", Source: source, WatchTimeout: wait, Log: s.Log, OnChanged: apply, PaceOverride: s.Pace,
		OnListed: func(all []rillreach.Update[*deployment.Config], regainedAt time.Time) {
			s.unreadableConfigs.retain(namesOf(all))
			for _, u := range all {
				apply(u, regainedAt)
			}
		},
		OnConfirmed: func() { s.configConfirmedAt.Store(time.Now().UnixNano()) },
	}
}

// Expirer returns a controller that removes runners whose removal time has passed and ends the grace periods after
// a restore of the store.
func (s *State) Expirer() rillreach.Controller {
	s.stalls.SuspendedTime = s.SuspendedTime
	return expirer{s}
}
