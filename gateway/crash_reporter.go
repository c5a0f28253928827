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
	// crashReportAgents is how many agents are told of a crash: entries follow all agents, so that one would do, and three may be frozen or cut off.
	crashReportAgents = 4
	// crashReportInterval is how often it is looked at whether other agents are to be told than before.
	crashReportInterval = 500 * time.Millisecond
	// reportTimeout bounds one report, so that an agent that doesn't answer holds up no other for long.
	reportTimeout = 500 * time.Millisecond
	// maxCrashesPerReport is how many crashes one report tells of.
	maxCrashesPerReport = 256
)

// crashReporter tells a few agents of the crashes that this entry has seen; they tell all entries. All entries choose the same agents, as
// long as they hear the same ones. An agent that is connected to anew is told all that the entry knows, since it may have started again.
type crashReporter struct {
	gateway *Gateway
	pool    *peer.Pool
	agents  *agentFollower

	reported map[netip.AddrPort]*reportState
}

// reportState is how far an agent has been told.
type reportState struct {
	address netip.AddrPort
	// conn is the connection on which it was told.
	conn *peer.Conn
	// allVersion is how far it has been told of allVersion crashes that the entry knew then, and observedVersion of those that the entry has seen.
	allVersion, observedVersion uint64
	// allTarget is where the telling of all ends.
	allTarget uint64
}

// Name is the controller's name.
func (c *crashReporter) Name() string { return "report-crashes" }

// Run reports until the context ends.
func (c *crashReporter) Run(ctx context.Context) error {
	c.reported = map[netip.AddrPort]*reportState{}
	ticker := time.NewTicker(crashReportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		crashed := c.gateway.crashesChanged.Wait()
		c.report(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-crashed:
		}
	}
	return nil
}

// report tells the chosen agents what they haven't been told.
func (c *crashReporter) report(ctx context.Context) {
	if c.gateway.suspects.Empty() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wg conc.WaitGroup
	chosen := selectAgents(c.agents.liveAgents(c.gateway.Clock.Now()))
	maps.DeleteFunc(c.reported, func(address netip.AddrPort, _ *reportState) bool { return !slices.Contains(chosen, address) })
	for _, address := range chosen {
		t := c.reported[address]
		if t == nil {
			t = &reportState{address: address}
			c.reported[address] = t
		}
		wg.Go(func() { c.reportTo(ctx, t) })
	}
	wg.Wait()
}

// selectAgents are the first by a hash.
func selectAgents(live []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(live, func(a, b netip.AddrPort) int { return cmp.Compare(hash.String(a.String()), hash.String(b.String())) })
	return live[:min(len(live), crashReportAgents)]
}

// reportTo reports to one agent what it hasn't been told.
func (c *crashReporter) reportTo(ctx context.Context, t *reportState) {
	g := c.gateway
	conn, err := c.pool.Get(ctx, t.address)
	if err != nil {
		g.Log.Info("crashes not reported", "decision", "retry", "agent", t.address, "cause", err.Error())
		return
	}
	if t.conn != conn {
		*t = reportState{address: t.address, conn: conn}
		t.observedVersion = g.observedCrashes.Version() // asked first: what is seen meanwhile is told twice rather than not at all
		t.allTarget = g.suspects.Version()
	}
	for t.allVersion < t.allTarget {
		if !c.send(ctx, t, &g.suspects, &t.allVersion) {
			return
		}
	}
	for t.observedVersion < g.observedCrashes.Version() {
		if !c.send(ctx, t, &g.observedCrashes, &t.observedVersion) {
			return
		}
	}
}

// send tells an agent the next crashes of a tracker, and reports whether it has taken them.
func (c *crashReporter) send(ctx context.Context, t *reportState, from *poison.Tracker, version *uint64) bool {
	g := c.gateway
	crashes, next := from.Since(g.Clock.Now(), *version, maxCrashesPerReport)
	if len(crashes) > 0 {
		if _, err := peer.Ask[poison.Report, poison.Receipt](ctx, t.conn, peer.MethodCrashes, poison.Report{Crashes: crashes}); err != nil {
			g.Log.Info("crashes not reported", "decision", "retry", "agent", t.address, "crashes", len(crashes), "cause", err.Error())
			return false
		}
	}
	*version = next
	return true
}
