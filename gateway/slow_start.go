package gateway

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/permit"
)

// applyPermits takes over the permits that the agent beside the runner at an address gives this entry. They are for whichever run is there, which
// the agent may learn of later than the entry. Those of a bulletin that was long on its way end sooner.
func (g *Gateway) applyPermits(address netip.AddrPort, b *bulletin.Bulletin, now time.Time) {
	if b.Permits == 0 {
		return
	}
	r := g.state.Roster.ByAddress(address)
	if r == nil {
		return
	}
	r.AddColdPermits(b.Permits, g.permitsEnd(b, now))
}

// permitsEnd is until when the permits of a bulletin may be used.
func (g *Gateway) permitsEnd(b *bulletin.Bulletin, now time.Time) time.Time {
	until := now.Add(permit.Validity)
	if clock, known := g.cache.clock.estimate(now); known && b.Clock != 0 {
		until = until.Add(-max(0, clock.Sub(time.UnixMilli(b.Clock))))
	}
	return until
}

// spacePermits gives the entry permits for cold runners of a service without agents, as if all entries sent as often as it may.
func (g *Gateway) spacePermits(x *exchange, now time.Time) {
	rate := x.service.SlowStart.RequestsPerSecond
	if x.service.Engine != nil || rate <= 0 {
		return
	}
	space := time.Duration(float64(g.budgets.Entries()) / rate * float64(time.Second))
	for _, r := range g.state.Roster.ByService(x.service.Name) {
		r.PaceColdPermits(now, space, rand.Float64())
	}
}

// mostCold reports that most of the runners that may take a request are cold.
func (o *options) mostCold() bool {
	cold := 0
	for _, v := range o.views {
		if v.Cold {
			cold++
		}
	}
	return 2*cold > len(o.views)
}
