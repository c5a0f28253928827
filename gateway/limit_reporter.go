package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/roster"
)

const (
	// limitReportInterval is how often limits are reported if none has changed.
	limitReportInterval = 500 * time.Millisecond
	// permitInterval is how often the entry issues permits to itself for runners whose limit no agent allocates.
	permitInterval = 100 * time.Millisecond
)

// limitReporter reports the limits of runners to the agents that allocate them: for an engine the agent beside it, for
// any other runner an agent that all entries choose by the same hash. It reports what the answers to this entry said
// and what an agent seems not to know. If the agent is silent, the entry paces its requests by itself.
type limitReporter struct {
	gateway *Gateway
	pool    *peer.Pool
	agents  *agentFollower

	lastReport time.Time
}

// Name returns the name of the controller.
func (l *limitReporter) Name() string { return "report-limits" }

// Run reports until the context ends.
func (l *limitReporter) Run(ctx context.Context) error {
	limitChanged := true
	for ctx.Err() == nil {
		changed := l.gateway.limited.changed.Wait()
		now := time.Now()
		runners := l.gateway.limited.current(&l.gateway.state.Roster, now)
		l.pacePermits(runners, now)
		if limitChanged || now.Sub(l.lastReport) >= limitReportInterval {
			l.lastReport = now
			l.report(ctx, l.gateway.limited.unreported(runners, now), now)
		}
		limitChanged = l.waitForNext(ctx, len(runners) > 0, changed)
	}
	return nil
}

// waitForNext waits until the next round is due, and reports whether a limit has changed.
func (l *limitReporter) waitForNext(ctx context.Context, anyLimited bool, changed <-chan struct{}) bool {
	var next <-chan time.Time
	if anyLimited {
		timer := time.NewTimer(permitInterval)
		defer timer.Stop()
		next = timer.C
	}
	select {
	case <-ctx.Done():
	case <-next:
	case <-changed:
		return true
	}
	return false
}

// pacePermits issues permits for runners whose agent is silent.
func (l *limitReporter) pacePermits(runners []*roster.Runner, now time.Time) {
	g := l.gateway
	for _, r := range runners {
		if r.PaceLimitPermits(now, g.entryCount(), rand.Float64()) {
			g.queue.notify()
		}
	}
}

// report sends each agent the limits that it allocates.
func (l *limitReporter) report(ctx context.Context, runners []*roster.Runner, now time.Time) {
	if len(runners) == 0 {
		return
	}
	live := l.agents.liveAgents(l.gateway.Clock.Now())
	byAgent := map[netip.AddrPort][]*roster.Runner{}
	for _, r := range runners {
		if agent, ok := l.agents.allocatorOf(r, live); ok {
			byAgent[agent] = append(byAgent[agent], r)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for agent, group := range byAgent {
		wg.Go(func() { l.reportTo(ctx, agent, group, now) })
	}
	wg.Wait()
}

// reportTo reports limits to one agent.
func (l *limitReporter) reportTo(ctx context.Context, agent netip.AddrPort, runners []*roster.Runner, now time.Time) {
	g := l.gateway
	var report bulletin.LimitReport
	for _, r := range runners {
		observation, known := g.cache.clock.toShared(r.Limit(), now)
		if !known {
			return
		}
		run := r.Info().Run()
		report.Limits = append(report.Limits, bulletin.RunnerLimit{
			Runner: run.ID, Generation: run.Generation, Limit: observation.Limit, SentAt: observation.Sent.UnixMilli(), ReceivedAt: observation.Received.UnixMilli(),
		})
	}
	conn, err := l.pool.Get(ctx, agent)
	if err == nil {
		_, err = peer.Invoke[bulletin.LimitReport, bulletin.LimitReceipt](ctx, conn, peer.MethodLimits, report)
	}
	if err != nil {
		g.Log.Info("cannot report limits", "decision", "retry", "agent", agent, "limits", len(report.Limits), "cause", err.Error())
		return
	}
	g.limited.markReported(runners, now)
}
