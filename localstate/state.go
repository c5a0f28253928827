// Package localstate is a process's copy of what the platform's object store says of the site: the configuration, the
// runners, and the weights that the operators name. None of it ever goes back to an older revision.
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

const (
	// returnTime is how long after the store's return a runner whose record lapsed meanwhile may take to be listed again;
	// the users name about two seconds, and this stays within the shortest bound on leaving runners.
	returnTime = 1800 * time.Millisecond
	// expireEvery is how often doubtful runners are looked at.
	expireEvery = 200 * time.Millisecond
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
	WeightsChanged func(deployment.NamedWeights)
	// Restarted is told of each later run that takes an earlier one's place; it may be nil.
	Restarted func(deployment.Runner)

	stalls   stallDetector
	config   atomic.Pointer[deployment.Config]
	configAt atomic.Int64
	listed   atomic.Bool
	// unstarted are the revisions of the last records of runners that tell no start.
	unstarted map[rillreach.InstanceID]uint64

	mu      sync.Mutex
	weights map[rillreach.ModelID]deployment.NamedWeights
	named   map[rillreach.ModelID][]naming

	namingsVersion atomic.Uint64
}

// Config is the newest configuration, or nil before the first.
func (s *State) Config() *deployment.Config { return s.config.Load() }

// ConfigConfirmed is when the configuration was last known to be the newest.
func (s *State) ConfigConfirmed() time.Time { return time.Unix(0, s.configAt.Load()) }

// Complete reports that configuration and runners are known.
func (s *State) Complete() bool { return s.config.Load() != nil && s.listed.Load() }

// SetConfig takes a configuration over, unless it is older than the one in force.
func (s *State) SetConfig(c *deployment.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.config.Load()
	if before != nil && c.Revision <= before.Revision {
		return
	}
	s.config.Store(c)
	s.Log.Info("configuration in force", "decision", "apply", "version", c.Version, "revision", c.Revision,
		"routes", len(c.Routes), "accounts", len(c.Accounts))
	if s.ConfigChanged != nil {
		s.ConfigChanged(c)
	}
}

// ConfigFollower keeps the configuration in step with its source.
func (s *State) ConfigFollower(source rillreach.Source[*deployment.Config], wait time.Duration) rillreach.Controller {
	take := func(u rillreach.Update[*deployment.Config], _ time.Time) {
		switch {
		case u.Err != nil:
			s.Log.Error(u.Err, "configuration refused, the last good one stays", "revision", u.Revision)
		case !u.Gone:
			s.SetConfig(u.Value)
		}
	}
	return &follow.Controller[*deployment.Config]{
		Kind: "config", Source: source, Wait: wait, Log: s.Log, Changed: take,
		Listed: func(all []rillreach.Update[*deployment.Config], returned time.Time) {
			for _, u := range all {
				take(u, returned)
			}
		},
		Confirmed: func() { s.configAt.Store(time.Now().UnixNano()) },
	}
}

// RunnersFollower keeps the list of runners in step with its source.
func (s *State) RunnersFollower(source rillreach.Source[*deployment.Runner], wait, gather time.Duration, kick <-chan struct{}) rillreach.Controller {
	var asked time.Time
	return &follow.Controller[*deployment.Runner]{
		Kind: "runners", Kick: kick, Source: source, Wait: wait, Gather: gather, Log: s.Log,
		Asked:  func() { asked = time.Now() },
		Listed: s.listRunners, Changed: s.changeRunner,
		Confirmed: func() { s.Roster.Confirm(s.answeredAt(asked, time.Now())) },
	}
}

// answeredAt is when a question that was asked before was answered at the earliest: its answer may have waited for this process to go on
// after a stall.
func (s *State) answeredAt(asked, now time.Time) time.Time {
	if s.stalls.stalledSince(asked, now) {
		return asked
	}
	return now
}

func (s *State) listRunners(all []rillreach.Update[*deployment.Runner], returned time.Time) {
	var list []deployment.Runner
	for _, u := range all {
		if u.Err != nil {
			s.Log.Error(u.Err, "record of a runner refused", "runner", u.Name, "revision", u.Revision)
			continue
		}
		s.noteStart(u.Value)
		list = append(list, *u.Value)
	}
	now := time.Now()
	s.noteRunners(s.Roster.Replace(now, list, doubtfulUntil(returned)))
	s.listed.Store(true)
}

func (s *State) changeRunner(u rillreach.Update[*deployment.Runner], returned time.Time) {
	now := time.Now()
	switch {
	case u.Gone:
		s.logRunners(s.Roster.Remove(now, rillreach.InstanceID(u.Name), doubtfulUntil(returned)))
	case u.Err != nil:
		s.Log.Error(u.Err, "record of a runner refused, the last good one stays", "runner", u.Name, "revision", u.Revision)
	default:
		s.noteStart(u.Value)
		s.noteRunners(s.Roster.Put(*u.Value))
	}
}

// doubtfulUntil is until when a runner that is no longer listed may still come back, zero where the store never was away.
func doubtfulUntil(returned time.Time) time.Time {
	if returned.IsZero() {
		return time.Time{}
	}
	return returned.Add(returnTime)
}

func (s *State) logRunners(changes []roster.Change) {
	for _, c := range changes {
		s.Log.Info("runner "+string(c.Event), "decision", c.Event, "runner", c.Runner.ID, "generation", c.Runner.Generation, "service", c.Runner.Service,
			"zone", c.Runner.Zone, "leaving", c.Runner.Leaving, "weights", c.Runner.Weights)
	}
}

// Expirer removes runners whose doubtful time is over.
func (s *State) Expirer() rillreach.Controller { return expirer{s} }
