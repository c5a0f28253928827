package sidecar

import "github.com/rillreach/rillreach/slowstart"

// slowStartLimits are the limits on what the runner beside the agent gets while it is cold, none before the first configuration.
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
