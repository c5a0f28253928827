// Package localstate is a process's copy of what the platform's object store says of the site: the configuration, the
// runners, and the weights that the operators name. None of it ever goes back to an older version, also where the store comes back from a copy.
package localstate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/notify"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/telemetry"
)

// State is the copy; exported fields are set before use.
type State struct {
	// Log takes a line for each change of what the process believes.
	Log logr.Logger
	// Metrics count what is odd; they may be nil.
	Metrics *telemetry.Metrics
	// Roster is the list of runners.
	Roster roster.Roster
	// ConfigChanged and WeightsChanged are told of each newer value; they may be nil.
	ConfigChanged  func(*deployment.Config)
	WeightsChanged func(deployment.DesiredWeights)
	// Relays tell of changes of the configuration and of runners, nil where this process asks the store over and over; Trust is for how long
	// their word holds.
	Relays    *notify.Tracker
	NoticeTTL time.Duration
	// RelayPace gives the pace at which a relay follows both, and reports whether this process is one; it may be nil.
	RelayPace func() (follow.Pace, bool)
	// SuspendedTime is for how long the machine has been suspended until now, which package time does not count; nil where nobody knows.
	SuspendedTime func() time.Duration
	// RunnerRestarted is told of each later run that takes an earlier one's place; it may be nil.
	RunnerRestarted func(deployment.Runner)

	// configProgress and runnersProgress are what a relay tells.
	configProgress, runnersProgress notify.Progress

	stalls   stallDetector
	config   atomic.Pointer[deployment.Config]
	configAt atomic.Int64
	listed   atomic.Bool
	// unstarted are the revisions of the last records of runners that tell no start.
	unstarted map[rillreach.InstanceID]rillreach.Revision

	// entries guards that configuration and runners agree on which services are known; it's taken after mu.
	entries sync.Mutex
	// unknownService are the runners whose service the configuration doesn't name.
	unknownService map[rillreach.InstanceID]deployment.Runner

	evacuations evacuationState
	departures  departures
	peerConfig  peerConfig

	badConfig, badRunners, badWeights unreadable

	mu      sync.Mutex
	weights map[rillreach.ModelID]deployment.DesiredWeights
	named   map[rillreach.ModelID][]naming

	namingsVersion atomic.Uint64
}

// Config is the newest configuration, or nil before the first.
func (s *State) Config() *deployment.Config { return s.config.Load() }

// ConfigConfirmedAt is when the configuration was last known to be the newest.
func (s *State) ConfigConfirmedAt() time.Time { return time.Unix(0, s.configAt.Load()) }

const (
	// mostAwait bounds the wait for the first list of runners, which the configuration itself does not depend on.
	mostAwait = 2 * time.Second
	// awaitEvery is how often it is looked whether that is there.
	awaitEvery = 20 * time.Millisecond
)

// awaitRunners waits for the first list of runners where it depends on these at which pace the configuration is followed: a watch that has
// begun at the slower pace would keep a relay from telling of the configuration for 25 s.
func (s *State) awaitRunners(ctx context.Context) {
	for begun := time.Now(); s.RelayPace != nil && !s.listed.Load() && ctx.Err() == nil && time.Since(begun) < mostAwait; {
		pause.For(ctx, awaitEvery)
	}
}

// Notices are what a relay tells of how far it has followed the store.
func (s *State) Notices(now time.Time) []notify.Notice {
	var all []notify.Notice
	if n, ok := s.configProgress.Notice(notify.KindConfig, now); ok {
		all = append(all, n)
	}
	if n, ok := s.runnersProgress.Notice(notify.KindRunners, now); ok {
		all = append(all, n)
	}
	return all
}

// HasSynced reports that configuration, runners and, where they are followed, evacuated zones are known. A configuration that is older than what peers have
// in force counts as none, for a short time: this process has started while the store had lost the newer one.
func (s *State) HasSynced() bool {
	c := s.config.Load()
	return c != nil && s.listed.Load() && s.evacuations.known() && !s.peerConfig.newerThan(c, time.Now())
}

// SetConfig takes a configuration over, unless it is older than the one in force.
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
	s.setServices(c)
	s.Log.Info("configuration in force", "decision", "apply", "version", c.Version, "revision", c.Revision,
		"routes", len(c.Routes), "accounts", len(c.Accounts))
	if s.ConfigChanged != nil {
		s.ConfigChanged(c)
	}
}

// ConfigFollower keeps the configuration in step with its source.
func (s *State) ConfigFollower(source rillreach.Source[*deployment.Config], wait time.Duration) rillreach.Controller {
	take := func(u rillreach.Update[*deployment.Config], _ time.Time) {
		if admit(s.Log, "config", &s.badConfig, u) && !u.Gone {
			s.SetConfig(u.Value)
		}
	}
	return &follow.Controller[*deployment.Config]{
		Kind: "config", Source: source, WatchTimeout: wait, Log: s.Log, OnChanged: take, WaitReady: s.awaitRunners,
		PaceOverride: s.RelayPace, Relays: s.Relays, Topic: notify.KindConfig, NoticeTTL: s.NoticeTTL, Progress: &s.configProgress,
		OnListed: func(all []rillreach.Update[*deployment.Config], returned time.Time) {
			s.badConfig.retain(namesOf(all))
			for _, u := range all {
				take(u, returned)
			}
		},
		OnConfirmed: func() { s.configAt.Store(time.Now().UnixNano()) },
	}
}

// Expirer removes runners whose doubtful time is over, and ends the time in which a copy of the store isn't believed.
func (s *State) Expirer() rillreach.Controller {
	s.stalls.Suspended = s.SuspendedTime
	return expirer{s}
}
