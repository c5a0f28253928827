package site

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// Model is the one that engines serve.
const Model = "m"

// runnerVersion is that of the runners' software.
const runnerVersion = "1.7.3"

// services of the configurations.
const (
	plainService  = "s"
	engineService = "e"
)

// Route is a route of a configuration, before plain runners or before engines.
type Route struct {
	// Name is also its path's first part.
	Name      string
	Host      string
	Kind      string
	Attempts  int
	Resumable bool
	// UsesEngines says that engines serve the route.
	UsesEngines bool
	// Timeout is the longest that a request may take; zero means three seconds.
	Timeout time.Duration
}

const (
	routeTimeout = 3 * time.Second
	// routeTarget is the same for all routes, in milliseconds.
	routeTarget = 300
)

// NewConfig is a configuration with one client account that has the keys.
func NewConfig(version int, keys []string, routes ...Route) any {
	specs := []any{}
	for _, r := range routes {
		service := plainService
		if r.UsesEngines {
			service = engineService
		}
		specs = append(specs, map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": "/" + r.Name + "/", "kind": r.Kind, "timeout_ms": cmp.Or(r.Timeout, routeTimeout).Milliseconds(),
			"target_latency_ms": routeTarget, "service": service, "max_attempts": r.Attempts, "resumable": r.Resumable,
		})
	}
	return map[string]any{
		"version": version, "routes": specs,
		"services": []any{
			map[string]any{"name": plainService, "max_connections": 300},
			map[string]any{"name": engineService, "max_connections": 300, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 40000, "kv_token_bytes": 18432, "link_mbps": 130000, "models": []any{map[string]any{"name": Model}},
			}},
		},
		"limits":  map[string]any{"max_body_bytes": 65536, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": keys}},
	}
}

// NewRunnerRecord is the record of a plain runner.
func NewRunnerRecord(address netip.AddrPort, state string) map[string]any {
	return map[string]any{
		"service": plainService, "address": address.String(), "zone": "z", "slots": 64, "state": state,
		"version": runnerVersion, "cold_remaining_ms": 0, "sequence": 1,
	}
}

// NewEngineRecord is the record of an engine with the weights.
func NewEngineRecord(address netip.AddrPort, state string, weights uint64) map[string]any {
	return map[string]any{
		"service": engineService, "address": address.String(), "zone": "z", "slots": 64, "state": state,
		"version": runnerVersion, "cold_remaining_ms": 0, "sequence": 1,
		"models": []any{map[string]any{"name": Model, "version": weights}},
	}
}

// NewModelWeights names a version of the model's weights.
func NewModelWeights(version uint64) any { return map[string]any{"model": Model, "version": version} }

// Settings are what a settings file says of one process.
type Settings struct {
	Name string
	Host netip.Addr
	// PeerPort is the first of the ports between processes.
	PeerPort        uint16
	PlatformAddress netip.AddrPort
	// FrontendAddress and Readiness are an entry's.
	FrontendAddress  string
	ReadinessAddress string
	// RunnerAddress is an agent's.
	RunnerAddress netip.AddrPort
}

// TOML is the settings file.
func (s *Settings) TOML() string {
	runner := ""
	if s.RunnerAddress.IsValid() {
		runner = s.RunnerAddress.String()
	}
	return fmt.Sprintf(`
node_name = %q
ip = %q
app = %q
zone = "z"
internal_port_range = [%d,%d]
[listen]
frontend = %q
readiness = %q
[limits]
memory_mb = 284
[bounds]
contact_ms = 3000
drain_timeout_ms = 2000
grace_period_s = 8
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 54
version_ms = 10000
evacuation_ms = 5000
[platform]
address = %q
`, s.Name, s.Host, runner, s.PeerPort, s.PeerPort, s.FrontendAddress, s.ReadinessAddress, s.PlatformAddress)
}

// SetPromptHeaders gives a request the prompt of an engine's route.
func SetPromptHeaders(r *http.Request, conversation string) {
	r.Header.Set("X-Rillreach-Model", Model)
	r.Header.Set("X-Rillreach-Token-Usage", "1460,80")
	r.Header.Set("X-Rillreach-Prompt-Prefix", "5c1e07a2:800,"+conversation+":410,e4402b7d:250")
}

// RequestID names the request, as its caller does.
func RequestID(r *http.Request) string { return r.Header.Get("X-Rillreach-Attempt-Id") }

// SetRequestID names a request.
func SetRequestID(r *http.Request, id string) { r.Header.Set("X-Rillreach-Attempt-Id", id) }
