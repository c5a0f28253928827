package gateway

import (
	"net/netip"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/pinning"
)

// streamPins is what the entry knows of the software versions at which streams began.
type streamPins struct {
	// table contains the streams that this entry has begun or continued, and distribution passes them on to replicas.
	table        pinning.Table
	distribution pinning.Distribution
	// versions are the software versions that the listed runners of each service have had, and services those services
	// to which the routes of resumable streams have led.
	versions pinning.History[rillreach.ServiceID, deployment.SoftwareVersion]
	services pinning.History[string, rillreach.ServiceID]
}

// pinLifetimeSlack is how much longer than its caller waits a stream's record is kept, since clocks and networks delay
// the caller's next request.
const pinLifetimeSlack = 2 * time.Second

// pinLifetime returns for how long a caller may take a stream of the request up.
func pinLifetime(x *exchange) time.Duration {
	return min(max(x.route.Timeout, x.wire.Timeout)+pinLifetimeSlack, pinning.MaxLifetime)
}

// streamOf returns the identity of a stream by the request that began it.
func (x *exchange) streamOf(request rillreach.RequestID) pinning.Stream {
	return pinning.Stream{Account: x.accountName(), Request: request}
}

// recordPin records at which version the request's stream began, under its own ID, and under that of the stream that it
// takes up, so that callers may name either.
func (g *Gateway) recordPin(x *exchange) {
	if x.route.Kind != deployment.EventStream || !x.route.Resumable {
		return
	}
	now := time.Now()
	for _, request := range []rillreach.RequestID{x.wire.ID, x.wire.Resumes} {
		record := pinning.Record{Stream: x.streamOf(request), Pin: x.pin, Left: pinLifetime(x)}
		if record.Check() != nil {
			continue // a request without an ID cannot be named either
		}
		g.pins.table.Put(now, record)
		g.pins.distribution.Add(now, record)
	}
}

// hasSeveralVersions reports whether any service has had runners of several software versions lately.
func (g *Gateway) hasSeveralVersions(now time.Time) bool {
	config := g.state.Config()
	if config == nil {
		return false
	}
	for name := range config.Services {
		if g.pins.versions.Several(name, now.Add(-pinning.MaxLifetime)) {
			return true
		}
	}
	return false
}

// observeVersions records which software versions the services have, and which services the routes lead to.
func (g *Gateway) observeVersions() {
	g.pins.versions.Observe(g.state.Roster.CompleteAt(), g.listedVersions())
	config := g.state.Config()
	if config == nil {
		return
	}
	services := map[string][]rillreach.ServiceID{}
	for _, route := range config.Routes {
		for _, s := range route.WeightedServices {
			services[route.Name] = append(services[route.Name], s.Service)
		}
	}
	g.pins.services.Observe(g.state.ConfigConfirmedAt(), services)
}

// listedVersions returns the software versions of the listed runners of each service.
func (g *Gateway) listedVersions() map[rillreach.ServiceID][]deployment.SoftwareVersion {
	listed := map[rillreach.ServiceID][]deployment.SoftwareVersion{}
	for _, r := range g.state.Roster.All() {
		info := r.Info()
		listed[info.Service] = append(listed[info.Service], info.Software)
	}
	return listed
}

// pinPlacement returns the placement of the records of streams on agents. The agent of a leaving runner ends soon.
func (g *Gateway) pinPlacement() *pinning.Placement {
	zones := map[netip.AddrPort]rillreach.ZoneID{}
	for _, group := range g.engineGroups() {
		for _, r := range group {
			if info := r.Info(); !info.Leaving {
				zones[g.agentAddress(info.Address)] = info.Zone
			}
		}
	}
	agents := make([]pinning.Replica, 0, len(zones))
	for address, zone := range zones {
		agents = append(agents, pinning.Replica{Address: address, Zone: zone})
	}
	return pinning.NewPlacement(agents)
}
