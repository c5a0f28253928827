package gateway

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/poison"
)

const (
	// crashReportAgents is how many agents get a report of a crash. Entries follow all agents, so one would be enough,
	// but up to three may be hung or unreachable.
	crashReportAgents = 4
	// crashReportInterval is how often the choice of agents is updated.
	crashReportInterval = 500 * time.Millisecond
	// reportTimeout bounds one report, so that an agent that does not answer does not delay the reports to others.
	reportTimeout = 500 * time.Millisecond
	// maxCrashesPerReport is the maximum number of crashes in one report.
	maxCrashesPerReport = 256
)

// crashReporter reports the crashes that this entry has observed to a few agents, which pass them on to all entries.
// All entries that follow the same agents choose the same ones. On a new connection an agent gets all crashes that the
// entry knows of, since it may have restarted.
type crashReporter struct {
	gateway *Gateway
	pool    *peer.Pool
	agents  *agentFollower

	reported map[netip.AddrPort]*reportState
}

// reportState tracks what has been reported to one agent.
type reportState struct {
	address netip.AddrPort
	// conn is the connection on which the reports were sent.
	conn *peer.Conn
	// allVersion is the version of Gateway.suspects up to which crashes were reported, and observedVersion that of
	// Gateway.observedCrashes.
	allVersion, observedVersion uint64
	// allTarget is the version of Gateway.suspects when the connection was opened. Later crashes are reported from
	// observedCrashes alone.
	allTarget uint64
}

// Name returns the name of the controller.
func (c *crashReporter) Name() string { return "report-crashes" }

// Run reports until the context ends.
func (c *crashReporter) Run(ctx context.Context) error {
	c.reported = map[netip.AddrPort]*reportState{}
	ticker := time.NewTicker(crashReportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := c.gateway.crashesChanged.Wait()
		c.report(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changed:
		}
	}
	return nil
}

// report sends the chosen agents the crashes that were not reported to them before.
func (c *crashReporter) report(ctx context.Context) {
	if c.gateway.suspects.Empty() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wg conc.WaitGroup
	chosen := c.chooseAgents()
	maps.DeleteFunc(c.reported, func(address netip.AddrPort, _ *reportState) bool { return !slices.Contains(chosen, address) })
	for _, address := range chosen {
		state := c.reported[address]
		if state == nil {
			state = &reportState{address: address}
			c.reported[address] = state
		}
		wg.Go(func() { c.reportTo(ctx, state) })
	}
	wg.Wait()
}

// chooseAgents returns the agents that get the reports: the relay that the entry follows, or a few of all agents.
func (c *crashReporter) chooseAgents() []netip.AddrPort {
	if !c.gateway.relayed() {
		return selectAgents(c.agents.liveAgents(c.gateway.Clock.Now()))
	}
	if relay, ok := c.gateway.Replica.Relay(); ok {
		return []netip.AddrPort{relay.Address}
	}
	return nil
}

// selectAgents returns the first agents in order of a hash.
func selectAgents(live []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(live, func(a, b netip.AddrPort) int { return cmp.Compare(hash.String(a.String()), hash.String(b.String())) })
	return live[:min(len(live), crashReportAgents)]
}

// reportTo sends an agent the crashes that were not reported to it before.
func (c *crashReporter) reportTo(ctx context.Context, state *reportState) {
	g := c.gateway
	conn, err := c.pool.Get(ctx, state.address)
	if err != nil {
		g.Log.Info("cannot report crashes", "decision", "retry", "agent", state.address, "cause", err.Error())
		return
	}
	if state.conn != conn {
		*state = reportState{address: state.address, conn: conn}
		// This version is read first, so that a concurrent crash is reported twice rather than not at all.
		state.observedVersion = g.observedCrashes.Version()
		state.allTarget = g.suspects.Version()
	}
	for state.allVersion < state.allTarget {
		if !c.send(ctx, state, &g.suspects, &state.allVersion) {
			return
		}
	}
	for state.observedVersion < g.observedCrashes.Version() {
		if !c.send(ctx, state, &g.observedCrashes, &state.observedVersion) {
			return
		}
	}
}

// send sends an agent the next crashes of a tracker, and reports whether the agent has accepted them.
func (c *crashReporter) send(ctx context.Context, state *reportState, from *poison.Tracker, version *uint64) bool {
	g := c.gateway
	crashes, next := from.Since(g.Clock.Now(), *version, maxCrashesPerReport)
	if len(crashes) > 0 {
		if _, err := peer.Invoke[poison.Report, poison.Receipt](ctx, state.conn, peer.MethodCrashes, poison.Report{Crashes: crashes}); err != nil {
			g.Log.Info("cannot report crashes", "decision", "retry", "agent", state.address, "crashes", len(crashes), "cause", err.Error())
			return false
		}
	}
	*version = next
	return true
}
