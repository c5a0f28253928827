package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/completeness"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/poison"
	"github.com/rillreach/rillreach/roster"
)

const (
	// silenceCheckInterval is the interval of the checks whether silent runs have ended.
	silenceCheckInterval = 250 * time.Millisecond
	// silenceReportLag is how long a report of an agent may have been on its way, also if this process stood still meanwhile
	// for a moment.
	silenceReportLag = 500 * time.Millisecond
	// silenceIdentifyTimeout bounds the wait for a silent run to say who it is.
	silenceIdentifyTimeout = 500 * time.Millisecond
)

// silentRunChecker finds out whether runs have ended that have not answered requests. Often that is known only after the
// requests were given up, since a machine that goes down closes no connections.
type silentRunChecker struct {
	gateway *Gateway
	silent  poison.SilentRuns

	mu sync.Mutex
	// runners are those of the silent runs.
	runners map[rillreach.InstanceRun]*roster.Runner
}

// Name returns the name of the controller.
func (c *silentRunChecker) Name() string { return "check-silent-runs" }

// Run checks until the context ends.
func (c *silentRunChecker) Run(ctx context.Context) error {
	pause.Every(ctx, silenceCheckInterval, c.check)
	return nil
}

// add remembers a request that a run has not answered.
func (c *silentRunChecker) add(r *roster.Runner, run rillreach.InstanceRun, u poison.Unanswered) {
	c.mu.Lock()
	if c.runners == nil {
		c.runners = map[rillreach.InstanceRun]*roster.Runner{}
	}
	c.runners[run] = r
	c.mu.Unlock()
	c.apply(r, c.silent.Add(u.GivenUp, run, u))
	if hasLaterRun(r) {
		c.apply(r, c.silent.Ended(u.GivenUp, run))
	}
}

// check checks all silent runs.
func (c *silentRunChecker) check(ctx context.Context) {
	if c.silent.Empty() {
		return
	}
	runs, findings := c.silent.Update(time.Now())
	c.takeBack(findings)
	var wg conc.WaitGroup
	for run, r := range c.retain(runs) {
		wg.Go(func() { c.checkRun(ctx, r, run) })
	}
	wg.Wait()
}

// retain forgets the runners of all other runs, and returns those of the given ones.
func (c *silentRunChecker) retain(runs []rillreach.InstanceRun) map[rillreach.InstanceRun]*roster.Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.runners, func(run rillreach.InstanceRun, _ *roster.Runner) bool { return !slices.Contains(runs, run) })
	return maps.Clone(c.runners)
}

// checkRun checks one run: by the list, by the report of its agent, by what it has sent since, and otherwise by a probe.
func (c *silentRunChecker) checkRun(ctx context.Context, r *roster.Runner, run rillreach.InstanceRun) {
	latest := c.gateway.state.Roster.Find(run.ID)
	if hasLaterRun(r) || latest != nil && latest.Info().Run().Supersedes(run) {
		c.apply(r, c.silent.Ended(time.Now(), run))
		return
	}
	c.apply(r, c.silent.Listed(time.Now(), run, latest != nil))
	responded := r.RespondedAt().Add(-silenceReportLag)
	c.takeBack(c.silent.Alive(run, responded))
	givenUp, needsProbe := c.silent.NeedsProbe(run)
	switch {
	case !needsProbe:
	case time.Since(responded) < 2*silenceReportLag: // the next report tells more
	case r.LastHeard().After(givenUp):
		c.apply(r, c.silent.Probed(time.Now(), run, poison.Accepted))
	default:
		c.apply(r, c.silent.Probed(time.Now(), run, c.probe(ctx, r)))
	}
}

// probe finds out whether a silent run, or another process at its address, responds.
func (c *silentRunChecker) probe(ctx context.Context, r *roster.Runner) poison.Response {
	g, info := c.gateway, r.Info()
	switch g.pool.Probe(ctx, info.Address) {
	case forward.Refuses:
		return poison.Refused
	case forward.NoResponse:
		return poison.NoResponse
	default:
	}
	if c.isReplaced(ctx, r, &info) {
		return poison.Refused
	}
	return poison.Accepted
}

// isReplaced reports whether another runner says that it has the address of a silent one.
func (c *silentRunChecker) isReplaced(ctx context.Context, r *roster.Runner, info *deployment.Runner) bool {
	g := c.gateway
	config := g.state.Config()
	if config == nil || config.Services[info.Service] == nil || config.Services[info.Service].HealthPath == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, silenceIdentifyTimeout)
	defer cancel()
	return g.identify(ctx, r, g.newHealthCheck(ctx, r, config.Services[info.Service])) == completeness.ProcessEnded
}

// apply records what has become known of a runner's run.
func (c *silentRunChecker) apply(r *roster.Runner, f poison.Findings) {
	for _, s := range f.Confirmed {
		if !r.HasAnnouncedStop() {
			c.gateway.recordSuspicion(r, s)
		}
	}
	for _, s := range f.Presumed {
		c.presume(r, s)
	}
	c.takeBack(f)
}

// presume records what is held against a request whose run has probably ended.
func (c *silentRunChecker) presume(r *roster.Runner, s poison.Suspicion) {
	g := c.gateway
	now := g.Clock.Now()
	g.suspects.Presume(now, g.findOutage(now, r, s.Crashes)...)
	g.logSuspicion(now, "runner has probably ended under a request", s)
}

// takeBack takes back what was held against requests whose runs have not ended.
func (c *silentRunChecker) takeBack(f poison.Findings) {
	g := c.gateway
	for _, run := range f.Withdrawn {
		g.suspects.Withdraw(run)
		g.Log.Info("runner has probably not ended", "decision", "clear", "runner", run.ID, "generation", run.Generation)
	}
	for _, run := range f.Returned {
		now := g.Clock.Now()
		cleared := g.suspects.ClearRun(now, run)
		g.observedCrashes.Record(now, cleared...)
		g.crashesChanged.Wake()
		g.Log.Info("runner has not ended", "decision", "clear", "runner", run.ID, "generation", run.Generation, "crashes", len(cleared))
	}
}

// wasReceived reports whether the runner has received the whole request of an attempt that has failed.
func (a *attempt) wasReceived(err error) bool {
	return a.answer != nil || errors.Is(err, forward.ErrReceived)
}

// recordUnanswered remembers that the runner has not answered the request, until it is known whether it has ended.
func (a *attempt) recordUnanswered() {
	r, now := a.target.runner, time.Now()
	if r.HasAnnouncedStop() {
		return
	}
	heard := r.LastHeard()
	if heard.Before(a.sentAt) {
		heard = a.sentAt
	}
	a.gateway.silentRuns.add(r, a.sentTo(), poison.Unanswered{Suspicion: a.suspicion(), Sent: a.sentAt, GivenUp: now, LastHeard: heard})
}

// sentTo returns the run that the request was sent to.
func (a *attempt) sentTo() rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: a.target.view.ID, Generation: a.target.view.Generation}
}

// recordHeard records that the runner has sent part of its answer.
func (a *attempt) recordHeard(now time.Time) {
	c := &a.gateway.silentRuns
	a.target.runner.RecordHeard(now)
	if !c.silent.Empty() {
		c.takeBack(c.silent.Heard(a.sentTo(), a.answer.ConnOpenedAt()))
	}
}
