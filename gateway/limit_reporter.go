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
	// limitReportEvery is how often limits are reported of which there is something to report.
	limitReportEvery = 500 * time.Millisecond
	// limitLookEvery is how often permits are given where no agent allots them.
	limitLookEvery = 100 * time.Millisecond
)

// limitReporter reports the limits of runners to the agents that share them out: for an engine the one beside it, for any other runner one that is
// chosen by a hash, so that all entries choose the same. What is reported is what the entry's own answers said, and what an agent seems not to know.
// Where the agent is silent, the entry spaces its requests by itself.
type limitReporter struct {
	gateway *Gateway
	pool    *peer.Pool
	agents  *agents

	reported time.Time
}

// Name is the controller's name.
func (l *limitReporter) Name() string { return "report-limits" }

// Run reports until the context ends.
func (l *limitReporter) Run(ctx context.Context) error {
	woken := true
	for ctx.Err() == nil {
		changed := l.gateway.limited.changed.Wait()
		now := time.Now()
		runners := l.gateway.limited.current(&l.gateway.state.Roster, now)
		l.space(runners, now)
		if woken || now.Sub(l.reported) >= limitReportEvery {
			l.reported = now
			l.report(ctx, l.gateway.limited.unreported(runners, now), now)
		}
		woken = l.await(ctx, len(runners) > 0, changed)
	}
	return nil
}

// await waits until the limits are to be looked at again, and reports whether one has changed.
func (l *limitReporter) await(ctx context.Context, some bool, changed <-chan struct{}) bool {
	var next <-chan time.Time
	if some {
		timer := time.NewTimer(limitLookEvery)
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

// space gives permits for runners whose agent is silent.
func (l *limitReporter) space(runners []*roster.Runner, now time.Time) {
	g := l.gateway
	for _, r := range runners {
		if r.PaceLimitPermits(now, g.budgets.Entries(), rand.Float64()) {
			g.line.changed()
		}
	}
}

// report tells each agent of the limits that it shares out.
func (l *limitReporter) report(ctx context.Context, runners []*roster.Runner, now time.Time) {
	if len(runners) == 0 {
		return
	}
	live := l.agents.live(l.gateway.Clock.Now())
	byAgent := map[netip.AddrPort][]*roster.Runner{}
	for _, r := range runners {
		if agent, ok := l.agents.allotterOf(r, live); ok {
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
		o, known := g.stores.clock.toShared(r.Limit(), now)
		if !known {
			return
		}
		run := r.Info().Run()
		report.Limits = append(report.Limits, bulletin.RunnerLimit{
			Runner: run.ID, Generation: run.Generation, Limit: o.Limit, SentAt: o.Sent.UnixMilli(), ReceivedAt: o.Received.UnixMilli(),
		})
	}
	conn, err := l.pool.Get(ctx, agent)
	if err == nil {
		_, err = peer.Invoke[bulletin.LimitReport, bulletin.LimitReceipt](ctx, conn, peer.MethodLimits, report)
	}
	if err != nil {
		g.Log.Info("limits not reported", "decision", "retry", "agent", agent, "limits", len(report.Limits), "cause", err.Error())
		return
	}
	g.limited.setReported(runners, now)
}
