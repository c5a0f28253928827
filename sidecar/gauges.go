package sidecar

import (
	"time"

	"github.com/rillreach/rillreach/telemetry"
)

// gauges returns the gauges of the agent's runner, its followers, the stores that it owns and the list of runners.
func (s *Sidecar) gauges() []telemetry.Gauge {
	return append(s.state.Gauges(), []telemetry.Gauge{
		{Name: "rillreach.report.age", Description: "seconds since the runner's last report", Read: func() float64 {
			_, reportedAt, _ := s.publisher.latestReport()
			return time.Since(reportedAt).Seconds()
		}},
		{Name: "rillreach.runner.running", Description: "requests that run at the runner", Read: func() float64 {
			load, _, _ := s.publisher.latestReport()
			return float64(load.Running)
		}},
		{Name: "rillreach.runner.waiting", Description: "requests that wait at the runner", Read: func() float64 {
			load, _, _ := s.publisher.latestReport()
			return float64(load.Waiting)
		}},
		{Name: "rillreach.runner.holds", Description: "tokens of KV cache that the runner holds", Read: func() float64 { return float64(s.runnerHolder.tracker.TotalTokens()) }},
		{Name: "rillreach.followers", Description: "entries that follow the agent", Read: func() float64 { return float64(s.publisher.followers.Load()) }},
		{Name: "rillreach.relay", Description: "1 where the agent is a relay, which reads the object store for other processes", Read: func() float64 {
			if s.Replica != nil && s.Replica.ReadsStore() {
				return 1
			}
			return 0
		}},
		{Name: "rillreach.stores.kept", Description: "stores of KV cache that the agent looks after", Read: func() float64 { return float64(len(s.collector.ownedStores())) }},
		{Name: "rillreach.stores.holds", Description: "tokens that these stores hold", Read: s.storeTokens},
		{Name: "rillreach.streams.recorded", Description: "streams whose software version the agent keeps for entries", Read: func() float64 { return float64(s.pins.Len()) }},
		{Name: "rillreach.streams.evicted", Description: "records of streams that were given up early since there were too many", Read: func() float64 { return float64(s.pins.Evicted()) }},
		{Name: "rillreach.runners", Description: "runners that are listed", Read: func() float64 { return float64(s.state.Roster.Len()) }},
		{Name: "rillreach.runners.age", Description: "seconds since the list of runners was known to be complete", Read: func() float64 { return time.Since(s.state.Roster.CompleteAt()).Seconds() }},
	}...)
}

// storeTokens returns the number of tokens that all owned stores hold together.
func (s *Sidecar) storeTokens() float64 {
	total := 0
	for _, store := range s.collector.ownedStores() {
		total += store.tracker.TotalTokens()
	}
	return float64(total)
}
