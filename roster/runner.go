package roster

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backpressure"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/permit"
)

const (
	// initialEjection is how long a runner is ejected after a failure. It doubles with each further failure up to
	// maxEjection; the list drops a dead runner after about four seconds.
	initialEjection = 300 * time.Millisecond
	maxEjection     = 2400 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the moving average of failures.
	failureWeight = 0.15
	// maxReportAge is the age from which a runner's report is no longer used.
	maxReportAge = 2 * time.Second
	// maxReportLag is the maximum time between the making and the arrival of a report: an agent polls its runner
	// every 40 ms, and its reports take a few milliseconds from another zone. With hundreds of runners it polls
	// every 100 ms, but then an entry seldom sends two requests to the same runner in that time.
	maxReportLag = 60 * time.Millisecond
)

// Report is the report of a runner's agent.
type Report struct {
	Load deployment.Load
	// ReceivedAt is when the report arrived, by this process's clock.
	ReceivedAt time.Time
	// WeightLoadAt is when the runner is scheduled to load new weights, by this process's clock; zero if no
	// load is scheduled.
	WeightLoadAt time.Time
}

// Runner is one run of a listed runner and what this process knows about it.
type Runner struct {
	// resolveAddress lets the roster decide again which runner owns this runner's address.
	resolveAddress func()
	// endedCtx is canceled by end once the run is known to have ended.
	endedCtx context.Context
	end      context.CancelFunc
	// lastHeard is when data of the runner last arrived, nil before.
	lastHeard atomic.Pointer[time.Time]

	mu       sync.Mutex
	info     deployment.Runner
	removeAt time.Time
	report   Report
	// running counts this process's requests at the runner, queuedPrefillTokens the prompt tokens of those without a
	// first token, and usedTokens the tokens that all of them occupy in its KV cache.
	running             int
	queuedPrefillTokens int
	usedTokens          int
	waits               waitEstimate
	lastResponse        time.Time
	ejectedUntil        time.Time
	ejections           int
	// failureRate is the moving average of the share of accepted requests that the runner failed.
	failureRate float64
	// weights holds the versions that the runner's own responses named. They override the record where they are newer.
	weights map[rillreach.ModelID]deployment.WeightVersion
	leaving bool
	// leavingSince is when the runner's record or its agent first said that it is leaving. It is zero if it is not, or if
	// that was said before this process knew the runner.
	leavingSince time.Time
	// displaced means that another runner's record owns this runner's address.
	displaced bool
	// coldUntil is when the runner stops being cold at the latest, and coldPermits are the slow-start permits to
	// use until then.
	coldUntil   time.Time
	coldPermits permit.Set
	// coldSpacer spaces slow-start permits for a runner without an agent.
	coldSpacer permit.Pacer
	// backoffUntil is when the backoff that the runner has asked for ends.
	backoffUntil time.Time
	// throttle keeps this process within the runner's rate limit.
	throttle backpressure.Throttle
	// recentSends are this process's latest requests, which the report may not cover yet.
	recentSends recentSends
}

// View is a snapshot of what is known about a runner.
type View struct {
	deployment.Runner
	// RunningRequests counts this process's requests at the runner, QueuedPrefillTokens is the number of prompt
	// tokens of those without a first token, and UsedTokens the number of tokens that all of them occupy in its KV
	// cache.
	RunningRequests     int
	QueuedPrefillTokens int
	UsedTokens          int
	// ExpectedWait is the estimated time to the first token for a request that is sent now.
	ExpectedWait time.Duration
	// Ejected means that the runner is avoided because requests to it failed or timed out: it is chosen only if there
	// is no other.
	Ejected bool
	// FailureRate is the recent share of requests that the runner failed.
	FailureRate float64
	// Load is the load that the runner last reported, ReportAge the age of that report, and ReportFresh means that
	// it is recent enough to be used.
	Load         deployment.Load
	ReportAge    time.Duration
	ReportFresh  bool
	LastResponse time.Time
	// WeightLoadScheduled means that the runner's agent has scheduled a load of new weights, and TimeToWeightLoad
	// is the time until it begins; that is zero from the start of the load to its end.
	WeightLoadScheduled bool
	TimeToWeightLoad    time.Duration
	// UnreportedUsedTokens and UnreportedPrefillTokens are the tokens of this process's requests that the report
	// may not cover yet.
	UnreportedUsedTokens    int
	UnreportedPrefillTokens int
	// Cold means that the runner is in its slow start, and Limit is the rate limit that it has set. Under either,
	// each request needs a permit.
	Cold  bool
	Limit backpressure.Limit
	// Denied is why the runner must not be sent a request now, and BackoffUntil when the backoff that it
	// has asked for ends.
	Denied       Denial
	BackoffUntil time.Time
	// restDenied is why the runner must not be sent the rest of a stream now, and leavingSince when it was first known to
	// leave.
	restDenied   Denial
	leavingSince time.Time
}

// newRunner returns a run of which only the record is known. It is scheduled for removal at removeAt
// unless that is zero.
func newRunner(info deployment.Runner, removeAt time.Time) *Runner {
	r := &Runner{info: info, removeAt: removeAt, coldUntil: info.ColdUntil}
	r.endedCtx, r.end = context.WithCancel(context.Background())
	return r
}

// Ended returns a channel that is closed once the run is known to have ended because a later run of the
// same runner is known. A run that is no longer listed, or whose address another record names, may continue
// until it has drained.
func (r *Runner) Ended() <-chan struct{} { return r.endedCtx.Done() }

// AfterEnd calls f in its own goroutine once the run is known to have ended; stop cancels that.
func (r *Runner) AfterEnd(f func()) (stop func() bool) { return context.AfterFunc(r.endedCtx, f) }

// RecordHeard records that data of the runner has arrived.
func (r *Runner) RecordHeard(now time.Time) { r.lastHeard.Store(&now) }

// LastHeard returns when data of the runner last arrived, zero if none has.
func (r *Runner) LastHeard() time.Time {
	if at := r.lastHeard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// RespondedAt returns when the latest report of its agent arrived, zero if there is none or if it says that the runner does
// not respond.
func (r *Runner) RespondedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Load.Unresponsive {
		return time.Time{}
	}
	return r.report.ReceivedAt
}

// HasAnnouncedStop reports whether the runner's record or its agent has said that the runner is leaving.
func (r *Runner) HasAnnouncedStop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info.Leaving || r.report.Load.Leaving || !r.leavingSince.IsZero()
}

// View returns a snapshot of what is known about the runner.
func (r *Runner) View(now time.Time) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{
		Runner: r.info, RunningRequests: r.running, QueuedPrefillTokens: r.queuedPrefillTokens, UsedTokens: r.usedTokens, Ejected: now.Before(r.ejectedUntil), FailureRate: r.failureRate,
		ExpectedWait: r.waits.expected(now), Load: r.report.Load, ReportFresh: r.reportFresh(now), LastResponse: r.lastResponse,
	}
	if !r.report.ReceivedAt.IsZero() {
		v.ReportAge = now.Sub(r.report.ReceivedAt)
	}
	v.UnreportedUsedTokens, v.UnreportedPrefillTokens = r.recentSends.tokensSince(r.report.ReceivedAt.Add(-maxReportLag))
	v.Cold = now.Before(r.coldUntil)
	v.Limit = r.throttle.Observed().Limit
	v.Denied, v.BackoffUntil = r.denial(now), r.backoffUntil
	v.Leaving = r.isLeaving(now)
	v.restDenied, v.leavingSince = r.restDenial(now), r.leavingSince
	v.Weights = newestWeights(v.Weights, r.weights)
	if v.ReportFresh && !r.report.WeightLoadAt.IsZero() {
		v.WeightLoadScheduled, v.TimeToWeightLoad = true, max(0, r.report.WeightLoadAt.Sub(now))
	}
	if v.ReportFresh {
		v.Weights = newestWeights(v.Weights, r.report.Load.Weights)
	}
	return v
}

// newestWeights returns the newer version of each model. It returns the known map itself if the other has nothing
// newer, since it runs for each runner and request.
func newestWeights(known, other map[rillreach.ModelID]deployment.WeightVersion) map[rillreach.ModelID]deployment.WeightVersion {
	copied := false
	for model, version := range other {
		if version <= known[model] {
			continue
		}
		if !copied {
			known = cloneOrMake(known)
			copied = true
		}
		known[model] = version
	}
	return known
}

func cloneOrMake(weights map[rillreach.ModelID]deployment.WeightVersion) map[rillreach.ModelID]deployment.WeightVersion {
	if weights == nil {
		return map[rillreach.ModelID]deployment.WeightVersion{}
	}
	return maps.Clone(weights)
}

// BeginRequest counts a request that is sent to the runner, with the prompt tokens to prefill and the tokens that
// it occupies in the KV cache.
func (r *Runner) BeginRequest(now time.Time, prefillTokens, usedTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits.addSent(now)
	r.recentSends.add(now, prefillTokens, usedTokens)
	r.running++
	r.queuedPrefillTokens += prefillTokens
	r.usedTokens += usedTokens
}

// RecordFirstToken records the first token of the request that was sent at the given time.
func (r *Runner) RecordFirstToken(now, sent time.Time, prefillTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits.addFirstToken(now, sent)
	r.queuedPrefillTokens -= prefillTokens
	r.lastResponse = now
}

// AbandonWait records that the request that was sent at the given time will get no first token.
func (r *Runner) AbandonWait(sent time.Time, prefillTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits.removePending(sent)
	r.queuedPrefillTokens -= prefillTokens
}

// EndRequest removes a request that has ended from the counts.
func (r *Runner) EndRequest(usedTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.usedTokens -= usedTokens
}

// RecordSuccess records a response that shows the runner to be healthy.
func (r *Runner) RecordSuccess(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponse = now
	r.ejections = 0
	r.ejectedUntil = time.Time{}
	r.failureRate *= 1 - failureWeight
}

// RecordFailure records a request that the runner failed, and returns the failure rate.
func (r *Runner) RecordFailure(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponse = now
	r.failureRate += (1 - r.failureRate) * failureWeight
	return r.failureRate
}

// Eject has the runner avoided after a failure, for longer with each further one, and returns for how long. A runner
// that is already ejected stays so for the rest of its time: requests that failed together count as one failure.
func (r *Runner) Eject(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.ejectedUntil) {
		return r.ejectedUntil.Sub(now)
	}
	duration := min(initialEjection<<min(r.ejections, 8), maxEjection)
	r.ejections++
	r.ejectedUntil = now.Add(duration)
	return duration
}

// MarkLeaving records that the runner says that it is shutting down, or that another run answers at its
// address. If another record names the address, its runner becomes the owner.
func (r *Runner) MarkLeaving() {
	r.setLeaving()
	r.resolveAddress()
}

// setLeaving is MarkLeaving for callers that resolve the address themselves.
func (r *Runner) setLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

func (r *Runner) markedLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

func (r *Runner) setDisplaced(displaced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.displaced = displaced
}

// SetWeights records the version of a model's weights that a response of the runner named.
func (r *Runner) SetWeights(model rillreach.ModelID, version deployment.WeightVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.weights == nil {
		r.weights = map[rillreach.ModelID]deployment.WeightVersion{}
	}
	r.weights[model] = max(r.weights[model], version)
}

// ReportedAt returns when the latest report of the runner's agent arrived, zero before the first.
func (r *Runner) ReportedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.ReceivedAt
}

// SetReport records the latest report of the runner's agent, and reports whether the runner has recovered from a
// silence of its own or of its agent.
func (r *Runner) SetReport(report Report) (recovered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := report.ReceivedAt.Sub(r.report.ReceivedAt)
	recovered = !r.report.ReceivedAt.IsZero() && !report.Load.Unresponsive && (r.report.Load.Unresponsive || age >= maxReportAge)
	if report.Load.Leaving && !r.report.Load.Leaving {
		r.recordLeaving(true, false, report.ReceivedAt)
	}
	r.report = report
	r.recentSends.dropReported(report.ReceivedAt.Add(-maxReportLag))
	return recovered
}
