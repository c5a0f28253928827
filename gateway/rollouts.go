package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/pinning"
	"github.com/rillreach/rillreach/rollout"
	"github.com/rillreach/rillreach/roster"
)

const (
	// rolloutCheckInterval is how often the entry decides on the rollouts.
	rolloutCheckInterval = 100 * time.Millisecond
	// maxRecordDelay is the period over which entries spread their attempts to record a state, so that most of them see
	// the record of another one first.
	maxRecordDelay = 300 * time.Millisecond
)

// RolloutRecorder records the states of rollouts in the object store.
type RolloutRecorder interface {
	// RecordRolloutState records a state unless the rollout has changed since it was read.
	RecordRolloutState(ctx context.Context, r *deployment.Rollout, state deployment.RolloutState) error
}

// rolloutController decides on the rollouts of software versions, and records its decisions.
type rolloutController struct {
	gateway  *Gateway
	recorder RolloutRecorder

	mu        sync.Mutex
	byService map[rillreach.ServiceID]*activeRollout
}

// activeRollout is a rollout that the entry takes part in.
type activeRollout struct {
	known    localstate.KnownRollout
	evidence rollout.Evidence
	// decided is the state that this entry has decided on, and recordAfter when it may record that.
	decided     deployment.RolloutState
	recordAfter time.Time
}

// Name returns the name of the controller.
func (c *rolloutController) Name() string { return "roll-out" }

// Run decides until the context ends.
func (c *rolloutController) Run(ctx context.Context) error {
	pause.Every(ctx, rolloutCheckInterval, func(ctx context.Context) {
		for _, r := range c.reconcile(time.Now()) {
			c.record(ctx, r)
		}
	})
	return nil
}

// reconcile compares the rollouts with those that the entry takes part in, decides on each, and returns those whose
// state is to be recorded now.
func (c *rolloutController) reconcile(now time.Time) []*activeRollout {
	known := c.gateway.state.Rollouts()
	c.mu.Lock()
	defer c.mu.Unlock()
	for service := range c.byService {
		if _, ok := known[service]; !ok {
			delete(c.byService, service)
		}
	}
	var due []*activeRollout
	for service, k := range known {
		r := c.byService[service]
		if r == nil || r.known.Target != k.Target || r.known.LearnedAt != k.LearnedAt {
			r = &activeRollout{}
			c.add(service, r)
		}
		r.known = k
		if c.decide(r, now); r.dueForRecord(now) {
			due = append(due, r)
		}
	}
	return due
}

func (c *rolloutController) add(service rillreach.ServiceID, r *activeRollout) {
	if c.byService == nil {
		c.byService = map[rillreach.ServiceID]*activeRollout{}
	}
	c.byService[service] = r
}

// decide updates the entry's decision on a rollout. A recorded final state takes precedence.
func (c *rolloutController) decide(r *activeRollout, now time.Time) {
	state := deployment.RolloutActive
	switch {
	case r.known.State.Ended():
		state = r.known.State
	case r.decided.Ended():
		return
	case r.evidence.TargetIsBad():
		state = deployment.RolloutRolledBack
	case !now.Before(r.plan().CompleteAt()):
		state = deployment.RolloutCompleted
	}
	if state == r.decided {
		return
	}
	r.decided, r.recordAfter = state, now
	if state != deployment.RolloutRolledBack { // a bad version must be known to all entries at once
		r.recordAfter = now.Add(rand.N(maxRecordDelay))
	}
	answers, bad := r.evidence.TargetAnswers()
	c.gateway.Log.Info("rollout decided", "decision", state, "service", r.known.Service, "target", r.known.Target, "answers", answers, "bad", bad,
		"recorded", r.known.Recorded, "since", now.Sub(r.known.LearnedAt).String())
}

// dueForRecord reports whether the entry's decision is to be recorded now.
func (r *activeRollout) dueForRecord(now time.Time) bool {
	return r.decided != r.known.Recorded && !r.known.Recorded.Ended() && !now.Before(r.recordAfter)
}

func (r *activeRollout) plan() rollout.Plan {
	return rollout.Plan{StartedAt: r.known.LearnedAt, Duration: r.known.Duration}
}

// record records the entry's decision. If another entry was first, the store reports a conflict, and the change that
// this entry has not seen yet arrives by its watch.
func (c *rolloutController) record(ctx context.Context, r *activeRollout) {
	c.mu.Lock()
	known, decided := r.known.Rollout, r.decided
	r.recordAfter = time.Now().Add(maxRecordDelay + rand.N(maxRecordDelay)) // of the next attempt, if this one fails
	c.mu.Unlock()
	if err := c.recorder.RecordRolloutState(ctx, &known, decided); err != nil {
		c.gateway.Log.Info("cannot record rollout", "decision", "retry", "service", known.Service, "target", known.Target, "state", decided, "cause", err.Error())
	}
}

// phase returns the phase of the rollout.
func (r *activeRollout) phase(now time.Time) rollout.Phase {
	state := r.decided
	if r.known.State.Ended() {
		state = r.known.State
	}
	switch state {
	case deployment.RolloutCompleted:
		return rollout.PhaseCompleted
	case deployment.RolloutRolledBack:
		return rollout.PhaseRolledBack
	default:
		return r.plan().PhaseAt(now)
	}
}

// versionFilter restricts a request to runners with one of the two versions of a rollout, or with the version that has
// begun its stream. The zero value does not.
type versionFilter struct {
	// pin is the version that has begun the stream. excludesPin means that a rollout has ended the use of that version.
	pin         pinning.Pin
	excludesPin bool
	target      deployment.SoftwareVersion
	// onlyTarget restricts the request to the target version, and otherwise to all other versions.
	onlyTarget bool
	// strict means that the other runners must not be used even if no runner is left.
	strict bool
	// canaryRunners are the only runners with the target version that the request may use; nil means all.
	canaryRunners []rillreach.InstanceID
}

// excludes reports whether a runner must not take the request.
func (f versionFilter) excludes(v *roster.View) bool {
	if !f.pin.IsZero() {
		return f.excludesPin || !f.pin.Allows(v.Service, v.Software)
	}
	if f.target == "" {
		return false
	}
	if (v.Software == f.target) != f.onlyTarget {
		return true
	}
	return f.canaryRunners != nil && !slices.Contains(f.canaryRunners, v.ID)
}

// filterFor returns the restriction of a request by its stream's beginning or by a rollout of its service.
func (c *rolloutController) filterFor(x *exchange, group *serviceViews, now time.Time) versionFilter {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byService[x.service.Name]
	if !x.pin.IsZero() {
		return versionFilter{pin: x.pin, strict: true, excludesPin: r != nil && r.forbids(x.pin.Software, now)}
	}
	if r == nil {
		return versionFilter{}
	}
	f := versionFilter{target: r.known.Target}
	switch r.phase(now) {
	case rollout.PhaseCompleted:
		f.onlyTarget, f.strict = true, true
	case rollout.PhaseRolledBack:
		f.strict = true
	case rollout.PhaseCutover:
		f.onlyTarget = true
	default:
		f.onlyTarget = c.inCanary(x, r)
		if f.onlyTarget {
			f.canaryRunners = group.canaryRunners(f.target, c.gateway.Settings.Bounds.VersionExposure)
		}
		// A runner with the current version that is only busy or ejected, or not in the sample, is no reason to expose the
		// request.
		f.strict = !f.onlyTarget && (group.sampled || group.hasOtherVersion(r.known.Target))
	}
	return f
}

// forbids reports whether no request may use a version any more: the other ones after the completion, and the target
// version after the rollback.
func (r *activeRollout) forbids(version deployment.SoftwareVersion, now time.Time) bool {
	switch r.phase(now) {
	case rollout.PhaseCompleted:
		return version != r.known.Target
	case rollout.PhaseRolledBack:
		return version == r.known.Target
	default:
		return false
	}
}

// inCanary reports whether the request's conversation goes to the target version during the canary.
func (c *rolloutController) inCanary(x *exchange, r *activeRollout) bool {
	g := c.gateway
	entryHash := hash.Mix(hash.String(g.Settings.Name), hash.String(string(r.known.Target)))
	share := rollout.CanaryShare(g.Settings.Bounds.VersionExposure, g.entryCount(), entryHash)
	return rollout.InCanary(conversationID(x), string(r.known.Target), share)
}

// hasOtherVersion reports whether the service has a runner with another version than the given one.
func (s *serviceViews) hasOtherVersion(version deployment.SoftwareVersion) bool {
	return slices.ContainsFunc(s.views, func(v *roster.View) bool { return v.Software != version && !v.Leaving })
}

// canaryRunners returns the runners that serve the canary: as many as give each about the load that it has after the
// rollout, since a version may be bad only under load.
func (s *serviceViews) canaryRunners(target deployment.SoftwareVersion, exposure float64) []rillreach.InstanceID {
	var ids []rillreach.InstanceID
	for _, v := range s.views {
		if v.Software == target && v.Denied == "" {
			ids = append(ids, v.ID)
		}
	}
	slices.SortFunc(ids, func(a, b rillreach.InstanceID) int {
		return cmp.Compare(hash.String(string(a)), hash.String(string(b)))
	})
	return ids[:rollout.CanaryRunners(len(ids), exposure)]
}

// recordAnswer adds the outcome of an attempt to the evidence on its service's rollout.
func (c *rolloutController) recordAnswer(a *attempt, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byService[a.exchange.service.Name]
	if r == nil {
		return
	}
	r.evidence.Record(rollout.Answer{
		Route: a.exchange.route.Name, Target: a.target.view.Software == r.known.Target, Failed: failed,
		Latency: time.Since(a.sentAt), Predicted: a.target.choice.Estimate,
	})
}
