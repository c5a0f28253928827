package gateway

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/permit"
)

// applyPermits adds the permits that the agent of the runner at an address allocates to this entry. They apply to
// whichever process has the address, since the agent may learn of a new one later than the entry does. Permits of a
// bulletin that was delayed expire sooner.
func (g *Gateway) applyPermits(address netip.AddrPort, b *bulletin.Bulletin, now time.Time) {
	if b.Permits == 0 {
		return
	}
	r := g.state.Roster.ByAddress(address)
	if r == nil {
		return
	}
	r.AddColdPermits(b.Permits, g.permitExpiry(b, now))
}

// permitExpiry returns when the permits of a bulletin expire.
func (g *Gateway) permitExpiry(b *bulletin.Bulletin, now time.Time) time.Time {
	expiry := now.Add(permit.Validity)
	if clock, known := g.cache.clock.estimate(now); known && b.Clock != 0 {
		expiry = expiry.Add(-max(0, clock.Sub(time.UnixMilli(b.Clock))))
	}
	return expiry
}

// paceColdPermits adds permits for the cold runners of a service without agents, at a rate that assumes that all
// entries send as much as this one may.
func (g *Gateway) paceColdPermits(x *exchange, now time.Time) {
	rate := x.service.SlowStart.RequestsPerSecond
	if x.service.Engine != nil || rate <= 0 {
		return
	}
	interval := time.Duration(float64(g.entryCount()) / rate * float64(time.Second))
	for _, r := range g.state.Roster.ByService(x.service.Name) {
		r.PaceColdPermits(now, interval, rand.Float64())
	}
}

// mostlyCold reports whether most of the runners that may take the request are cold.
func (o *options) mostlyCold() bool {
	cold := 0
	for _, v := range o.views {
		if v.Cold {
			cold++
		}
	}
	return 2*cold > len(o.views)
}
