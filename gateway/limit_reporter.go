package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/roster"
)

const (
	// limitReportEvery is how often a limit is reported while it holds, a quarter of the lease that agents give.
	limitReportEvery = 500 * time.Millisecond
	// limitLookEvery is how often permits are given where no agent allots them.
	limitLookEvery = 100 * time.Millisecond
	// limitLiftedFor is for how long it is reported that a runner names no limit any more, longer than agents keep one that nobody reports.
	limitLiftedFor = 3 * time.Second
)

// limitedRunners are the runners that name a limit, or lately named one; the zero value has none.
type limitedRunners struct {
	// changed is told when the limit of a runner has changed.
	changed broadcast.Signal

	mu    sync.Mutex
	since map[*roster.Runner]time.Time
}

// add has a runner's limit looked at whose limit has just changed.
func (l *limitedRunners) add(r *roster.Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == nil {
		l.since = map[*roster.Runner]time.Time{}
	}
	l.since[r] = time.Now()
}

// current are the runners whose limits are to be looked at; those that are no longer listed, or have named no limit for long, are left out from now on.
func (l *limitedRunners) current(list *roster.Roster, now time.Time) []*roster.Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*roster.Runner
	for r, since := range l.since {
		lifted := !r.Limit().Limit.Bounded && now.Sub(since) >= limitLiftedFor
		if lifted || list.Find(r.Info().ID) != r {
			delete(l.since, r)
			continue
		}
		all = append(all, r)
	}
	return all
}

// limitReporter reports the limits of runners to the agents that share them out: for an engine the one beside it, for any other runner one that is
// chosen by a hash, so that all entries choose the same. Where that agent is silent, the entry spaces its requests by itself.
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
			l.report(ctx, runners, now)
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
		if r.SpaceLimit(now, g.budgets.Entries(), rand.Float64()) {
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
	reports := map[netip.AddrPort]*bulletin.LimitReport{}
	for _, r := range runners {
		agent, limit, ok := l.reportOf(r, live, now)
		if !ok {
			continue
		}
		if reports[agent] == nil {
			reports[agent] = &bulletin.LimitReport{}
		}
		reports[agent].Limits = append(reports[agent].Limits, limit)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for agent, report := range reports {
		wg.Go(func() { l.send(ctx, agent, report) })
	}
	wg.Wait()
}

// reportOf is what is to be reported of a runner, and to which agent.
func (l *limitReporter) reportOf(r *roster.Runner, live []netip.AddrPort, now time.Time) (netip.AddrPort, bulletin.RunnerLimit, bool) {
	g := l.gateway
	agent, ok := l.agentFor(r, live)
	o, known := g.stores.clock.toShared(r.Limit(), now)
	run := r.Info().Run()
	return agent, bulletin.RunnerLimit{
		Runner: run.ID, Generation: run.Generation, Limit: o.Limit, SentAt: o.Sent.UnixMilli(), ReceivedAt: o.Received.UnixMilli(),
	}, ok && known
}

// agentFor is the agent that shares out a runner's limit, if it speaks.
func (l *limitReporter) agentFor(r *roster.Runner, live []netip.AddrPort) (netip.AddrPort, bool) {
	info := r.Info()
	if l.gateway.servesModels(info.Service) {
		own := l.gateway.agentBeside(info.Address)
		return own, slices.Contains(live, own)
	}
	key := hash.String(string(info.ID))
	var chosen netip.AddrPort
	var most uint64
	for _, agent := range live {
		if rank := hash.Mix(key, hash.String(agent.String())); !chosen.IsValid() || rank > most {
			chosen, most = agent, rank
		}
	}
	return chosen, chosen.IsValid()
}

// send reports to one agent.
func (l *limitReporter) send(ctx context.Context, agent netip.AddrPort, report *bulletin.LimitReport) {
	conn, err := l.pool.Get(ctx, agent)
	if err == nil {
		_, err = peer.Ask[bulletin.LimitReport, bulletin.LimitReceipt](ctx, conn, peer.MethodLimits, *report)
	}
	if err != nil {
		l.gateway.Log.Info("limits not reported", "decision", "retry", "agent", agent, "limits", len(report.Limits), "cause", err.Error())
	}
}
