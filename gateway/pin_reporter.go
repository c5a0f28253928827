package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/pinning"
)

const (
	// pinReportInterval is how often records are sent while a service has runners of several software versions, or the
	// entry shuts down, and uniformPinReportInterval otherwise: then the records matter only to entries that have just
	// started.
	pinReportInterval        = 50 * time.Millisecond
	uniformPinReportInterval = time.Second
	// pinCheckInterval is the longest time until a change of that is noticed.
	pinCheckInterval = 200 * time.Millisecond
	// pinRefreshInterval is how often the replicas and the versions are read from the list of runners if that has not
	// changed.
	pinRefreshInterval = time.Second
)

// pinReporter passes the records of streams on to the agents that hold replicas of them, so that any entry finds them
// there, also after this one has ended. An agent gets all its records again on a new connection, since it may have
// restarted.
type pinReporter struct {
	gateway *Gateway

	wg            conc.WaitGroup
	refreshedAt   time.Time
	rosterVersion uint64
	// reportedAt is when records were last sent.
	reportedAt time.Time
	// severalVersions reports whether a service has had runners of several software versions lately.
	severalVersions bool

	mu    sync.Mutex
	conns map[netip.AddrPort]*peer.Conn
}

// Name returns the name of the controller.
func (p *pinReporter) Name() string { return "report-streams" }

// Run reports until the context ends.
func (p *pinReporter) Run(ctx context.Context) error {
	p.conns = map[netip.AddrPort]*peer.Conn{}
	for ctx.Err() == nil {
		p.report(ctx, time.Now())
		pause.For(ctx, min(p.interval(), pinCheckInterval))
	}
	p.wg.Wait()
	return nil
}

// interval returns how often records are sent now.
func (p *pinReporter) interval() time.Duration {
	if p.severalVersions || p.gateway.shuttingDown.Load() {
		return pinReportInterval
	}
	return uniformPinReportInterval
}

// report begins to send all replicas what they lack.
func (p *pinReporter) report(ctx context.Context, now time.Time) {
	g := p.gateway
	p.refresh(now)
	if now.Sub(p.reportedAt) < p.interval() {
		return
	}
	p.reportedAt = now
	p.dropClosed()
	for address, report := range g.pins.distribution.Due(now) {
		p.wg.Go(func() { p.send(ctx, address, report) })
	}
}

// refresh updates the replicas and the observed versions from the list of runners.
func (p *pinReporter) refresh(now time.Time) {
	g := p.gateway
	version := g.state.Roster.Version()
	if version == p.rosterVersion && now.Sub(p.refreshedAt) < pinRefreshInterval {
		return
	}
	p.rosterVersion, p.refreshedAt = version, now
	g.pins.distribution.SetPlacement(g.pinPlacement())
	g.observeVersions()
	p.severalVersions = g.hasSeveralVersions(now)
}

// dropClosed finds the replicas whose connection has ended.
func (p *pinReporter) dropClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		select {
		case <-conn.Done():
			delete(p.conns, address)
			p.gateway.pins.distribution.Lost(address)
		default: // still connected
		}
	}
}

// send sends a report to a replica.
func (p *pinReporter) send(ctx context.Context, address netip.AddrPort, report pinning.Report) {
	g := p.gateway
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	conn, err := g.peers.Get(callCtx, address)
	if err == nil {
		p.use(address, conn)
		_, err = peer.Invoke[pinning.Report, pinning.Receipt](callCtx, conn, peer.MethodReportPins, report)
	}
	if err != nil {
		g.pins.distribution.Failed(time.Now(), address)
		g.Log.Info("cannot report streams", "decision", "retry", "agent", address, "streams", len(report.Records), "cause", err.Error())
		return
	}
	g.pins.distribution.Delivered(address, report)
}

// use records the connection on which a replica gets its records. What it got on another one may be lost.
func (p *pinReporter) use(address netip.AddrPort, conn *peer.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if before := p.conns[address]; before != nil && before != conn {
		p.gateway.pins.distribution.Lost(address)
	}
	p.conns[address] = conn
}
