package site

import (
	"fmt"
	"net/http"
	"net/netip"
)

// Route is a route of a configuration, with one service that is named s.
type Route struct {
	// Name is also its path's first part.
	Name      string
	Host      string
	Kind      string
	Attempts  int
	Resumable bool
}

// routeTimeout and routeTarget are the same for all routes, in milliseconds.
const (
	routeTimeout = 3000
	routeTarget  = 300
)

// ConfigOf is a configuration with one client account that has the keys.
func ConfigOf(version int, keys []string, routes ...Route) any {
	var specs []any
	for _, r := range routes {
		specs = append(specs, map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": "/" + r.Name + "/", "kind": r.Kind, "timeout_ms": routeTimeout,
			"target_latency_ms": routeTarget, "service": "s", "max_attempts": r.Attempts, "resumable": r.Resumable,
		})
	}
	return map[string]any{
		"version": version, "routes": specs,
		"services": []any{map[string]any{"name": "s", "max_connections": 300}},
		"limits":   map[string]any{"max_body_bytes": 65536, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "shop", "api_keys": keys}},
	}
}

// RecordOf is the record of a runner of the service s.
func RecordOf(address netip.AddrPort, state string) any {
	return map[string]any{"service": "s", "address": address.String(), "zone": "z", "slots": 64, "state": state}
}

// SettingsOf is the settings file of an entry.
func SettingsOf(name, callers, readiness string, store netip.AddrPort) string {
	return fmt.Sprintf(`
node_name = %q
ip = "127.0.0.1"
zone = "z"
internal_port_range = [7580,7595]
[listen]
frontend = %q
readiness = %q
[limits]
memory_mb = 284
[bounds]
grace_period_s = 8
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 54
[platform]
address = %q
`, name, callers, readiness, store)
}

// RequestID names the request, as its caller does.
func RequestID(r *http.Request) string { return r.Header.Get("X-Rillreach-Attempt-Id") }

// SetRequestID names a request.
func SetRequestID(r *http.Request, id string) { r.Header.Set("X-Rillreach-Attempt-Id", id) }
