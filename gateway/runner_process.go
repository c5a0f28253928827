package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach/completeness"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/roster"
)

const (
	// clockError is how far the estimate of the runners' clock may be off.
	clockError = 50 * time.Millisecond
	// identifyInterval is the time between two questions to a runner that can't be asked now.
	identifyInterval = 50 * time.Millisecond
	// identifyMargin is the time before the deadline in which a request still gets its failure.
	identifyMargin = 100 * time.Millisecond
)

// checkProcess returns what is known of the process that has answered the attempt, after it has closed the connection. It
// has ended if a later run is known or its address refuses connections.
func (a *attempt) checkProcess() completeness.Process {
	if a.knownToHaveEnded() {
		return completeness.ProcessEnded
	}
	return a.gateway.probe(a.target.runner)
}

// identifyProcess returns what is known of the process that has answered the attempt of the request, whose answer has ended
// with its connection and may be truncated. It waits for as long as the request may. It may be called while the attempt is
// given the exchange of another one.
func (a *attempt) identifyProcess(x *exchange) completeness.Process {
	begun := time.Now()
	ctx, cancel := context.WithDeadline(a.ctx, x.deadline.Add(-identifyMargin))
	defer cancel()
	e := a.findEvidence(ctx, x.service)
	if a.knownToHaveEnded() { // it may have become known meanwhile
		e = processEvidence{completeness.ProcessEnded, sourceLaterRun}
	}
	a.gateway.Log.Info("end of unframed answer judged", "decision", e.process.String(), "reason", e.source, "request", x.wire.ID, "runner", a.target.view.ID,
		"took", time.Since(begun).String())
	return e.process
}

// processEvidence is what is known of a process, and what tells it.
type processEvidence struct {
	process completeness.Process
	source  processSource
}

// processSource is what tells whether a process runs.
type processSource string

// The sources.
const (
	// sourceLaterRun is a later run of the runner that is known.
	sourceLaterRun processSource = "later-run"
	// sourceConnection is another connection, which was open before the answer ended.
	sourceConnection processSource = "other-connection"
	// sourceAddress is the process that accepts connections at the runner's address.
	sourceAddress processSource = "address"
)

// findEvidence asks the process that has answered the attempt, by a connection that was open before, and at the same time
// the one that accepts connections at its address. The latter tells more if it answers soon. It may also be too busy to answer
// in time, or another process.
func (a *attempt) findEvidence(ctx context.Context, service *deployment.Service) processEvidence {
	g, r := a.gateway, a.target.runner
	switch {
	case a.knownToHaveEnded():
		return processEvidence{completeness.ProcessEnded, sourceLaterRun}
	case a.follower == nil:
		return processEvidence{g.awaitProcess(ctx, func() completeness.Process { return g.probe(r) }), sourceAddress}
	}
	check, inquiry := g.newHealthCheck(ctx, r, service), a.follower.Inquire()
	ctx, cancel := context.WithCancel(ctx)
	found := make(chan processEvidence, 2)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		if process, known := inquiry.Await(ctx, check); known {
			found <- processEvidence{process, sourceConnection}
		}
	})
	wg.Go(func() {
		found <- processEvidence{g.awaitProcess(ctx, func() completeness.Process { return g.identify(ctx, r, check) }), sourceAddress}
	})
	return <-found
}

// awaitProcess asks until it is known whether the process runs, or until the context ends.
func (g *Gateway) awaitProcess(ctx context.Context, ask func() completeness.Process) completeness.Process {
	for {
		process := ask()
		if process != completeness.ProcessUnresponsive || ctx.Err() != nil {
			return process
		}
		pause.For(ctx, identifyInterval)
	}
}

// knownToHaveEnded reports whether a later run is known than the one that the attempt has reached.
func (a *attempt) knownToHaveEnded() bool {
	return hasLaterRun(a.target.runner) && !a.reachedLaterRun()
}

// reachedLaterRun reports whether the request has reached a later run than the one that it was sent to, which had started
// before but was not known yet.
func (a *attempt) reachedLaterRun() bool {
	g, now := a.gateway, time.Now()
	latest := g.state.Roster.Find(a.target.view.ID)
	if latest == nil || latest == a.target.runner {
		return false
	}
	age, known := g.restartDelay(latest.Info().Generation, now)
	return known && now.Add(-age).Before(a.sentAt.Add(-clockError))
}

// hasLaterRun reports whether a later run of the runner is known.
func hasLaterRun(r *roster.Runner) bool {
	select {
	case <-r.Ended():
		return true
	default:
		return false
	}
}

// probe returns whether the runner's address accepts connections. Concurrent callers share one probe.
func (g *Gateway) probe(r *roster.Runner) completeness.Process {
	info := r.Info()
	probed, _, _ := g.listenProbes.Do(info.Address.String(), func() (any, error) {
		g.pool.CloseIdle(info.Address) // before the check, whose connection is kept in the pool
		return g.pool.Probe(context.Background(), info.Address), nil
	})
	switch probed {
	case forward.Accepts:
		return completeness.ProcessRunning
	case forward.Refuses:
		return completeness.ProcessEnded
	default:
		return completeness.ProcessUnresponsive
	}
}

// newHealthCheck returns a health check of the runner, which any other process refuses.
func (g *Gateway) newHealthCheck(ctx context.Context, r *roster.Runner, service *deployment.Service) *forward.Request {
	info := r.Info()
	deadline, _ := ctx.Deadline()
	header := platform.RunnerHeaders{Runner: info.ID, Timeout: time.Until(deadline)}
	return &forward.Request{Method: http.MethodGet, Target: service.HealthPath, Host: info.Address.String(), Header: header.Merge(http.Header{})}
}

// identify asks the process that accepts connections at the runner's address whether it is the runner.
func (g *Gateway) identify(ctx context.Context, r *roster.Runner, check *forward.Request) completeness.Process {
	info := r.Info()
	answer, err := g.pool.DoOnNew(ctx, info.Address, check)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return completeness.ProcessEnded
	case err != nil:
		return completeness.ProcessUnresponsive
	}
	defer answer.Close()
	state := platform.DecodeResponse(answer.Head.StatusCode, answer.Head.Header)
	if state.Misdirected || state.Instance != "" && state.Instance != info.ID {
		return completeness.ProcessEnded
	}
	return completeness.ProcessRunning
}
