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
	// reportAgents is how many agents are told of a crash: entries follow all agents, so that one would do, and three may be frozen or cut off.
	reportAgents = 4
	// reportEvery is how often it is looked at whether other agents are to be told than before.
	reportEvery = 500 * time.Millisecond
	// reportTimeout bounds one report, so that an agent that doesn't answer holds up no other for long.
	reportTimeout = 500 * time.Millisecond
	// reportSize is how many crashes one report tells of.
	reportSize = 256
)

// crashReporter tells a few agents of the crashes that this entry has seen; they tell all entries. All entries choose the same agents, as
// long as they hear the same ones. An agent that is connected to anew is told all that the entry knows, since it may have started again.
type crashReporter struct {
	gateway *Gateway
	pool    *peer.Pool
	agents  *agents

	reported map[netip.AddrPort]*reportState
}

// reportState is how far an agent has been told.
type reportState struct {
	address netip.AddrPort
	// conn is the connection on which it was told.
	conn *peer.Conn
	// all is how far it has been told of all crashes that the entry knew then, and own of those that the entry has seen.
	all, own uint64
	// until is where the telling of all ends.
	until uint64
}

// Name is the controller's name.
func (c *crashReporter) Name() string { return "report-crashes" }

// Run reports until the context ends.
func (c *crashReporter) Run(ctx context.Context) error {
	c.reported = map[netip.AddrPort]*reportState{}
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		crashed := c.gateway.crashed.Wait()
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
	chosen := chosenAgents(c.agents.live(c.gateway.Clock.Now()))
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

// chosenAgents are the first by a hash.
func chosenAgents(live []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(live, func(a, b netip.AddrPort) int { return cmp.Compare(hash.String(a.String()), hash.String(b.String())) })
	return live[:min(len(live), reportAgents)]
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
		t.own = g.observed.Version() // asked first: what is seen meanwhile is told twice rather than not at all
		t.until = g.suspects.Version()
	}
	for t.all < t.until {
		if !c.send(ctx, t, &g.suspects, &t.all) {
			return
		}
	}
	for t.own < g.observed.Version() {
		if !c.send(ctx, t, &g.observed, &t.own) {
			return
		}
	}
}

// send tells an agent the next crashes of a tracker, and reports whether it has taken them.
func (c *crashReporter) send(ctx context.Context, t *reportState, from *poison.Tracker, version *uint64) bool {
	g := c.gateway
	crashes, next := from.Since(g.Clock.Now(), *version, reportSize)
	if len(crashes) > 0 {
		if _, err := peer.Invoke[poison.Report, poison.Receipt](ctx, t.conn, peer.MethodCrashes, poison.Report{Crashes: crashes}); err != nil {
			g.Log.Info("crashes not reported", "decision", "retry", "agent", t.address, "crashes", len(crashes), "cause", err.Error())
			return false
		}
	}
	*version = next
	return true
}
