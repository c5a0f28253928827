package site

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Model is the name of the model that engines serve.
const Model = "m"

// DefaultSoftware is the version of the runners' software unless they set another one.
const DefaultSoftware = "1.7.3"

// Names of the services in configurations.
const (
	plainServiceName  = "s"
	engineServiceName = "e"
)

// Route is a route of a configuration to plain runners or engines.
type Route struct {
	// Name is also the first segment of the route's path.
	Name      string
	Host      string
	Kind      string
	Attempts  int
	Resumable bool
	// UsesEngines reports whether engines rather than plain runners serve the route.
	UsesEngines bool
	// Timeout is the maximum duration of a request; zero means defaultRouteTimeout.
	Timeout time.Duration
}

const (
	defaultRouteTimeout = 3 * time.Second
	// routeTargetLatencyMS is the target latency of all routes.
	routeTargetLatencyMS = 300
)

// NewConfig returns a configuration with one client account that has the API keys.
func NewConfig(version int, keys []string, routes ...Route) any {
	specs := []any{}
	for _, r := range routes {
		service := plainServiceName
		if r.UsesEngines {
			service = engineServiceName
		}
		specs = append(specs, map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": "/" + r.Name + "/", "kind": r.Kind, "timeout_ms": cmp.Or(r.Timeout, defaultRouteTimeout).Milliseconds(),
			"target_latency_ms": routeTargetLatencyMS, "service": service, "max_attempts": r.Attempts, "resumable": r.Resumable,
		})
	}
	return map[string]any{
		"version": version, "routes": specs,
		"services": []any{
			map[string]any{"name": plainServiceName, "max_connections": 300, "health_check": HealthPath},
			map[string]any{"name": engineServiceName, "max_connections": 300, "health_check": HealthPath, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 40000, "kv_token_bytes": 18432, "link_mbps": 130000, "models": []any{map[string]any{"name": Model}},
			}},
		},
		"limits":  map[string]any{"max_body_bytes": 65536, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": keys}},
	}
}

// NewRunnerRecord returns the record of a plain runner.
func NewRunnerRecord(address netip.AddrPort, state string) map[string]any {
	return map[string]any{
		"service": plainServiceName, "address": address.String(), "zone": "z", "slots": 64, "state": state,
		"version": DefaultSoftware, "cold_remaining_ms": 0, "sequence": 1,
	}
}

// NewEngineRecord returns the record of an engine with a version of the weights.
func NewEngineRecord(address netip.AddrPort, state string, weights uint64) map[string]any {
	return map[string]any{
		"service": engineServiceName, "address": address.String(), "zone": "z", "slots": 64, "state": state,
		"version": DefaultSoftware, "cold_remaining_ms": 0, "sequence": 1,
		"models": []any{map[string]any{"name": Model, "version": weights}},
	}
}

// NewModelWeights returns the object that sets the version of the model's weights.
func NewModelWeights(version uint64) any { return map[string]any{"model": Model, "version": version} }

// Settings are the contents of a process's settings file.
type Settings struct {
	Name string
	Host netip.Addr
	// PeerPort is the only port of the range for connections between processes.
	PeerPort        uint16
	PlatformAddress netip.AddrPort
	// FrontendAddress and ReadinessAddress are the listen addresses of an entry.
	FrontendAddress  string
	ReadinessAddress string
	// RunnerAddress is the address of an agent's runner.
	RunnerAddress netip.AddrPort
}

// TOML returns the contents of the settings file.
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

// SetPromptHeaders sets the headers that describe a prompt in a conversation.
func SetPromptHeaders(r *http.Request, conversation string) {
	r.Header.Set("X-Rillreach-Model", Model)
	r.Header.Set("X-Rillreach-Token-Usage", "1460,80")
	r.Header.Set("X-Rillreach-Prompt-Prefix", OpeningPart+":800,"+conversation+":410,e4402b7d:250")
}

// OpeningPart is the part with which the prompts of SetPromptHeaders begin.
const OpeningPart = "5c1e07a2"

// partTokens is the number of tokens in each part of SetPromptParts.
const partTokens = 400

// SetPromptParts sets the headers that describe a prompt with the given parts.
func SetPromptParts(r *http.Request, parts ...string) {
	var sizes []string
	for _, part := range parts {
		sizes = append(sizes, fmt.Sprintf("%s:%d", part, partTokens))
	}
	r.Header.Set("X-Rillreach-Model", Model)
	r.Header.Set("X-Rillreach-Token-Usage", fmt.Sprintf("%d,80", len(parts)*partTokens))
	r.Header.Set("X-Rillreach-Prompt-Prefix", strings.Join(sizes, ","))
}

// PromptParts returns the IDs of the parts of a request's prompt.
func PromptParts(r *http.Request) []string {
	var ids []string
	for part := range strings.SplitSeq(r.Header.Get("X-Rillreach-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(part, ":")
		ids = append(ids, id)
	}
	return ids
}

// RequestID returns the request ID that the caller has set.
func RequestID(r *http.Request) string { return r.Header.Get("X-Rillreach-Attempt-Id") }

// SetRequestID sets the request ID.
func SetRequestID(r *http.Request, id string) { r.Header.Set("X-Rillreach-Attempt-Id", id) }

// SetResumeHeaders sets the headers of a request that takes up the stream that another one began, after an event.
func SetResumeHeaders(r *http.Request, begun string, lastEvent int) {
	r.Header.Set("Resumes", begun)
	r.Header.Set("Last-Event-Id", EventID(lastEvent))
}

// IsSealed reports whether a response has the seal of a runner.
func IsSealed(resp *http.Response) bool { return resp.Header.Get("X-Rillreach-Response-Seal") != "" }

// RetryAfter returns when a response asks its caller to come back, or zero if it does not.
func RetryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
