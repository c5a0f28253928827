package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/completeness"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/roster"
)

const (
	// clockError is how far the estimate of the runners' clock may be off.
	clockError = 50 * time.Millisecond
	// identifyTimeout limits the wait for the answer to a health check, which a busy runner or one that has just been
	// started may take a while to give.
	identifyTimeout = 500 * time.Millisecond
	// identifyAttempts is how many health checks are sent until one is answered. A second one tells more if this process
	// stood still during the first.
	identifyAttempts = 2
)

// checkProcess returns what is known of the process that has answered the attempt, after it has closed the connection. It
// has ended if a later run is known or its address refuses connections.
func (a *attempt) checkProcess() completeness.Process {
	if a.knownToHaveEnded() {
		return completeness.ProcessEnded
	}
	return a.gateway.probe(a.target.runner)
}

// identifyProcess is like checkProcess, and also asks which process accepts connections at the runner's address, since
// another one may have been started there. It may be called while the attempt is given the exchange of another one.
func (a *attempt) identifyProcess(service *deployment.Service) completeness.Process {
	if a.knownToHaveEnded() {
		return completeness.ProcessEnded
	}
	if service.HealthPath == "" {
		return a.gateway.probe(a.target.runner)
	}
	return a.gateway.identify(a.target.runner, service)
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

// identify asks the process at the runner's address whether it is the runner, by a health check that any other one refuses.
func (g *Gateway) identify(r *roster.Runner, service *deployment.Service) completeness.Process {
	info := r.Info()
	g.pool.CloseIdle(info.Address) // those connections end at the process that has closed one
	process := completeness.ProcessUnresponsive
	for range identifyAttempts {
		if process = g.checkHealth(info, service); process != completeness.ProcessUnresponsive {
			break
		}
	}
	return process
}

// checkHealth sends a health check to the runner, and returns what its answer tells about the runner's process.
func (g *Gateway) checkHealth(info deployment.Runner, service *deployment.Service) completeness.Process {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	header := platform.RunnerHeaders{Runner: info.ID, Timeout: identifyTimeout}
	check := &forward.Request{Method: http.MethodGet, Target: service.HealthPath, Host: info.Address.String(), Header: header.Merge(http.Header{})}
	answer, err := g.pool.Do(ctx, info.Address, 0, check, func(*http.Response) bool { return true })
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
