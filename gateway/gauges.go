package gateway

import "time"

// gauge is a figure that is read whenever the metrics are.
type gauge struct {
	name        string
	description string
	read        func() float64
}

// addGauges has the metrics show what the entry knows, and how old that is.
func (g *Gateway) addGauges() error {
	for _, one := range g.gauges() {
		if err := g.Metrics.Gauge(one.name, one.description, one.read); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) gauges() []gauge {
	return []gauge{
		{"rillreach.config.version", "version of the configuration in force", g.configVersion},
		{"rillreach.config.age", "seconds since the configuration was known to be the newest", func() float64 { return time.Since(g.state.ConfigConfirmed()).Seconds() }},
		{"rillreach.runners", "runners that are listed", func() float64 { return float64(g.state.Roster.Len()) }},
		{"rillreach.runners.leaving", "listed runners that take nothing new", func() float64 { return float64(g.countRunners(true)) }},
		{"rillreach.runners.avoided", "listed runners that are left alone for their answers", func() float64 { return float64(g.countRunners(false)) }},
		{"rillreach.runners.age", "seconds since the list of runners was known to be complete", func() float64 { return time.Since(g.state.Roster.Updated()).Seconds() }},
		{"rillreach.requests.running", "requests that run", func() float64 { return float64(g.running.Count()) }},
		{"rillreach.connections.opened", "connections to runners that were made", func() float64 { return float64(g.pool.Opened.Load()) }},
		{"rillreach.stores.usable", "stores of KV cache that may be asked now", func() float64 { return float64(g.stores.count(time.Now())) }},
	}
}

func (g *Gateway) configVersion() float64 {
	if c := g.state.Config(); c != nil {
		return float64(c.Version)
	}
	return 0
}

// countRunners counts the runners that leave, or those that are avoided.
func (g *Gateway) countRunners(leaving bool) int {
	n := 0
	now := time.Now()
	for _, r := range g.state.Roster.All() {
		v := r.View(now)
		if leaving && v.Leaving || !leaving && v.Avoid {
			n++
		}
	}
	return n
}
