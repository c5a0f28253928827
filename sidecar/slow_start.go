package sidecar

import "github.com/rillreach/rillreach/slowstart"

// slowStartLimits returns the limits on requests to the agent's runner while it is cold. There are none before the
// first configuration.
func (s *Sidecar) slowStartLimits() slowstart.Limits {
	config := s.state.Config()
	if config == nil {
		return slowstart.Limits{}
	}
	service := config.Services[s.Settings.Service]
	if service == nil {
		return slowstart.Limits{}
	}
	bounds := s.Settings.Bounds
	return slowstart.Limits{PerSecond: service.SlowStart.RequestsPerSecond, Factor: bounds.SlowStartFactor, Slack: bounds.SlowStartSlack}
}
