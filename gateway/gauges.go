package gateway

import (
	"time"

	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/telemetry"
)

// gauges returns gauges for what the entry knows and how old that is.
func (g *Gateway) gauges() []telemetry.Gauge {
	return append(g.state.Gauges(), []telemetry.Gauge{
		{Name: "rillreach.config.version", Description: "version of the configuration in force", Read: g.configVersion},
		{Name: "rillreach.config.age", Description: "seconds since the configuration was known to be the newest", Read: func() float64 { return g.configAge(time.Now()).Seconds() }},
		{Name: "rillreach.runners", Description: "runners that are listed", Read: func() float64 { return float64(g.state.Roster.Len()) }},
		{Name: "rillreach.runners.leaving", Description: "listed runners that take nothing new", Read: func() float64 { return g.countRunnersWhere(func(v roster.View) bool { return v.Leaving }) }},
		{Name: "rillreach.runners.avoided", Description: "listed runners that are left alone for their answers", Read: func() float64 { return g.countRunnersWhere(func(v roster.View) bool { return v.Ejected }) }},
		{Name: "rillreach.runners.age", Description: "seconds since the list of runners was known to be complete", Read: func() float64 { return g.listAge(time.Now()).Seconds() }},
		{Name: "rillreach.runners.cold", Description: "listed runners that get requests by permits alone", Read: func() float64 { return g.countRunnersWhere(func(v roster.View) bool { return v.Cold }) }},
		{Name: "rillreach.runners.limited", Description: "listed runners that name a limit on requests", Read: func() float64 { return g.countRunnersWhere(func(v roster.View) bool { return v.Limit.Bounded }) }},
		{Name: "rillreach.zones.evacuated", Description: "zones whose runners get nothing", Read: func() float64 { return float64(len(g.state.Evacuations())) }},
		{Name: "rillreach.requests.running", Description: "requests that run", Read: func() float64 { return float64(g.inflight.Count()) }},
		{Name: "rillreach.buffers.used", Description: "bytes of requests' bodies and of buffered answers", Read: func() float64 { return float64(g.buffers.Used()) }},
		{Name: "rillreach.requests.waiting", Description: "prompts that wait at the entry for room at a model engine", Read: func() float64 { return float64(g.queue.len()) }},
		{Name: "rillreach.requests.suspected", Description: "requests that were under way at a runner that ended, and not answered since", Read: g.suspectCount},
		{Name: "rillreach.requests.quarantined", Description: "requests that are not sent to runners, since runners have ended under them", Read: g.quarantinedCount},
		{Name: "rillreach.repeats.left", Description: "share of the retry budget that is left, for the service with the least", Read: func() float64 { return g.budgets.Remaining(g.Clock.Now()) }},
		{Name: "rillreach.entries", Description: "entries that are believed to share what is allowed to all of them", Read: func() float64 { return float64(g.entryCount()) }},
		{Name: "rillreach.connections.opened", Description: "connections to runners that were made", Read: func() float64 { return float64(g.pool.Opened.Load()) }},
		{Name: "rillreach.streams.recorded", Description: "streams that this entry began or continued and whose software version it keeps", Read: func() float64 { return float64(g.pins.table.Len()) }},
		{Name: "rillreach.streams.unreplicated", Description: "records of these that too few agents hold", Read: func() float64 { return float64(g.pins.distribution.Unreplicated()) }},
		{Name: "rillreach.stores.usable", Description: "stores of KV cache that may be asked now", Read: func() float64 { return float64(g.cache.usableStores(time.Now())) }},
	}...)
}

// configAge returns the time since the store or a relay last confirmed that the configuration is the newest.
func (g *Gateway) configAge(now time.Time) time.Duration {
	return now.Sub(g.state.ConfigConfirmedAt())
}

// listAge returns the time since the store or a relay last confirmed that the list of runners is complete.
func (g *Gateway) listAge(now time.Time) time.Duration {
	return now.Sub(g.state.Roster.CompleteAt())
}

func (g *Gateway) configVersion() float64 {
	if c := g.state.Config(); c != nil {
		return float64(c.Version)
	}
	return 0
}

// countRunnersWhere returns the number of listed runners whose view satisfies the predicate.
func (g *Gateway) countRunnersWhere(match func(roster.View) bool) float64 {
	n := 0
	now := time.Now()
	for _, r := range g.state.Roster.All() {
		if match(r.View(now)) {
			n++
		}
	}
	return float64(n)
}
