package roster

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backpressure"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/permit"
)

const (
	// avoidFirst is how long a runner is left alone after a failure that speaks against it, doubled with each further one
	// up to avoidMost; the list drops a dead runner after some four seconds.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 2400 * time.Millisecond
	// failureMemory is how many of the last answers are looked at, as the weight of the newest in a moving average.
	failureMemory = 0.15
	// reportAge is how old a runner's own report may be and still count.
	reportAge = 2 * time.Second
	// reportLag is how long before its arrival a report was made at the most: an agent asks its runner every 40 ms, and its word takes some
	// milliseconds from another zone. Among hundreds of runners it asks every 100 ms, and an entry seldom sends one of them two requests.
	reportLag = 60 * time.Millisecond
)

// Report is what a runner's agent says of it.
type Report struct {
	Load deployment.Load
	// ReceivedAt is when the report arrived, by this process's clock.
	ReceivedAt time.Time
	// WeightLoadAt is when the runner's next load of weights is scheduled, by this process's clock; zero where none is known.
	WeightLoadAt time.Time
}

// Runner is one listed runner and what is known of it.
type Runner struct {
	// resettle has the roster decide anew who has the runner's address.
	resettle func()
	// over ends with the run, once end says so.
	over context.Context
	end  context.CancelFunc

	mu     sync.Mutex
	info   deployment.Runner
	gone   time.Time
	report Report
	// running are this process's requests there, reading their tokens without a first event, held all their tokens.
	running   int
	reading   int
	held      int
	wait      waitEstimate
	heard     time.Time
	avoid     time.Time
	ejections int
	// failures is the moving share of requests that the runner failed though it took them.
	failures float64
	// weights were told by the runner's own answers; they go before the list where they are newer.
	weights map[rillreach.ModelID]deployment.WeightVersion
	leaving bool
	// displaced says that a record which was written later names the runner's address.
	displaced bool
	// coldUntil is when the runner is no longer cold at the latest, permits are those to send to it until then.
	coldUntil time.Time
	permits   permit.Set
	// spacer spaces those where the runner has no agent.
	spacer permit.Pacer
	// restUntil is when the rest ends that the runner has asked for.
	restUntil time.Time
	// throttle keeps this process within the limit that the runner names.
	throttle backpressure.Throttle
	// sent are this process's latest requests, which the report may not show yet.
	sent recentSends
}

// View is a copy of what is known of a runner at one moment.
type View struct {
	deployment.Runner
	// RunningRequests, Reading and Held are this process's requests there, the tokens that they still read, and all their tokens.
	RunningRequests int
	PrefillTokens   int
	KVTokens        int
	// ExpectedWait is how long a request that is sent now is expected to wait there for its first token.
	ExpectedWait time.Duration
	// Ejected says that the runner's answers, or their lack, speak against it.
	Ejected bool
	// FailureRate is the share of requests that it lately failed.
	FailureRate float64
	// Load is the runner's own report, ReportAge how old that is, and Reported says that it is recent.
	Load         deployment.Load
	ReportAge    time.Duration
	ReportFresh  bool
	LastResponse time.Time
	// WeightLoadScheduled says that the runner's agent has told when its next load of weights begins, and LoadIn how long it is until then;
	// that is zero from the start of the load until its end.
	WeightLoadScheduled bool
	TimeToWeightLoad    time.Duration
	// UnreportedKVTokens and SentReading are what this process's requests take and read that the report may not show yet, in tokens.
	UnreportedKVTokens      int
	UnreportedPrefillTokens int
	// Cold says that the runner bears few requests, and Limit is the one that it names: under both each request takes a permit.
	Cold  bool
	Limit backpressure.Limit
	// Denied is why the runner may not be given a request now, and RestUntil when the rest ends that it has asked for.
	Denied       Denial
	BackoffUntil time.Time
}

// newRunner is a run of which nothing is known but its record, which lapses at the given moment unless that is zero.
func newRunner(info deployment.Runner, gone time.Time) *Runner {
	r := &Runner{info: info, gone: gone, coldUntil: info.ColdUntil}
	r.over, r.end = context.WithCancel(context.Background())
	return r
}

// Ended is closed once the run is known to have ended, since a later one of the same runner is known. One that is no longer listed
// may go on until it has drained, and so may one whose address another record names.
func (r *Runner) Ended() <-chan struct{} { return r.over.Done() }

// AfterEnd calls the function once the run is known to have ended; stop takes that back.
func (r *Runner) AfterEnd(f func()) (stop func() bool) { return context.AfterFunc(r.over, f) }

// View copies what is known.
func (r *Runner) View(now time.Time) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{
		Runner: r.info, RunningRequests: r.running, PrefillTokens: r.reading, KVTokens: r.held, Ejected: now.Before(r.avoid), FailureRate: r.failures,
		ExpectedWait: r.wait.expected(now), Load: r.report.Load, ReportFresh: r.reported(now), LastResponse: r.heard,
	}
	if !r.report.ReceivedAt.IsZero() {
		v.ReportAge = now.Sub(r.report.ReceivedAt)
	}
	v.UnreportedKVTokens, v.UnreportedPrefillTokens = r.sent.since(r.report.ReceivedAt.Add(-reportLag))
	v.Cold = now.Before(r.coldUntil)
	v.Limit = r.throttle.Observed().Limit
	v.Denied, v.BackoffUntil = r.denial(now), r.restUntil
	v.Leaving = r.isLeaving(now)
	v.Weights = newest(v.Weights, r.weights)
	if v.ReportFresh && !r.report.WeightLoadAt.IsZero() {
		v.WeightLoadScheduled, v.TimeToWeightLoad = true, max(0, r.report.WeightLoadAt.Sub(now))
	}
	if v.ReportFresh {
		v.Weights = newest(v.Weights, r.report.Load.Weights)
	}
	return v
}

// newest is the newer of both versions of each model; it is the known map itself where the other says nothing newer, since a view
// is made of each runner for each request.
func newest(known, other map[rillreach.ModelID]deployment.WeightVersion) map[rillreach.ModelID]deployment.WeightVersion {
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

// BeginRequest counts a request that is sent to the runner, with the tokens that it has to read and those that it holds.
func (r *Runner) BeginRequest(now time.Time, reading, held int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wait.sent(now)
	r.sent.add(now, reading, held)
	r.running++
	r.reading += reading
	r.held += held
}

// RecordFirstToken records that the request that was sent at the given time has its first event.
func (r *Runner) RecordFirstToken(now, sent time.Time, reading int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wait.begun(now, sent)
	r.reading -= reading
	r.heard = now
}

// AbandonWait records that the request that was sent at the given time will not have a first event.
func (r *Runner) AbandonWait(sent time.Time, reading int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wait.dropped(sent)
	r.reading -= reading
}

// EndRequest counts a request that has left the runner.
func (r *Runner) EndRequest(held int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.held -= held
}

// RecordSuccess records an answer that speaks for the runner.
func (r *Runner) RecordSuccess(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = now
	r.ejections = 0
	r.avoid = time.Time{}
	r.failures *= 1 - failureMemory
}

// RecordFailure records an answer that says that the runner failed a request.
func (r *Runner) RecordFailure(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = now
	r.failures += (1 - r.failures) * failureMemory
	return r.failures
}

// Eject leaves the runner alone for a while after a failure that speaks against it, longer with each further one, and returns for how long.
func (r *Runner) Eject(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.avoid) {
		return r.avoid.Sub(now)
	}
	pause := min(avoidFirst<<min(r.ejections, 8), avoidMost)
	r.ejections++
	r.avoid = now.Add(pause)
	return pause
}

// MarkLeaving records that the runner itself says that it ends, or another one at its address that it is over; where a further record names the
// address, that one's runner has it then.
func (r *Runner) MarkLeaving() {
	r.setLeaving()
	r.resettle()
}

// setLeaving records what Leaves does where the roster decides by itself who has the address.
func (r *Runner) setLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

func (r *Runner) left() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

func (r *Runner) setDisplaced(displaced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.displaced = displaced
}

// SetWeights records the weights that the runner itself says it has.
func (r *Runner) SetWeights(model rillreach.ModelID, version deployment.WeightVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.weights == nil {
		r.weights = map[rillreach.ModelID]deployment.WeightVersion{}
	}
	r.weights[model] = max(r.weights[model], version)
}

// SetReport records what the runner's agent says of it, and reports whether it answers again after a silence of its own or of its agent.
func (r *Runner) SetReport(report Report) (returned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := report.ReceivedAt.Sub(r.report.ReceivedAt)
	returned = !r.report.ReceivedAt.IsZero() && !report.Load.Unresponsive && (r.report.Load.Unresponsive || age >= reportAge)
	r.report = report
	r.sent.forget(report.ReceivedAt.Add(-reportLag))
	return returned
}
