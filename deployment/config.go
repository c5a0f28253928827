package deployment

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// RouteKind determines whether requests of a route may be retried.
type RouteKind int

const (
	// Repeatable requests may run any number of times.
	Repeatable RouteKind = iota + 1
	// RunOnce requests run at most once.
	RunOnce
	// EventStream requests are answered with a stream of events. They run at most once unless the route is resumable.
	EventStream
)

// String returns the name of the kind in logs and metrics.
func (k RouteKind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case RunOnce:
		return "run-once"
	case EventStream:
		return "event-stream"
	default:
		return "unknown"
	}
}

// WeightedService is a service and its weight in the split of a route's requests. Its share is its weight divided by
// the sum of the weights of the route.
type WeightedService struct {
	Service rillreach.ServiceID
	Weight  float64
}

// Route matches requests by host and path prefix and sets how they are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout limits a request from its arrival to the end of its response.
	Timeout time.Duration
	// TargetLatency is the time to the response, or to the first event of a stream, that callers expect.
	TargetLatency time.Duration
	// TargetEventGap is the longest gap between events that callers expect. It is zero if the route does not stream.
	TargetEventGap time.Duration
	// MaxRunners is the maximum number of runners that one request may be sent to.
	MaxRunners int
	// Priority orders requests; zero is the most urgent.
	Priority int
	// WeightedServices are the services that the route's requests are split between.
	WeightedServices []WeightedService
	// Public routes need no API key.
	Public bool
	// Resumable reports whether another runner may continue an interrupted stream.
	Resumable bool
	// Regions are the regions in which requests may run and their KV cache may be stored; nil allows all.
	Regions []rillreach.RegionID
}

// AtMostOnce reports whether a request of the route must not run more than once.
func (r *Route) AtMostOnce() bool {
	return r.Kind == RunOnce || r.Kind == EventStream && !r.Resumable
}

const (
	// Callers of streams wait for the next event for the longest of minCallerIdleTimeout, idleTargetLatencies times
	// the target latency and idleEventGaps times the target event gap. The user documentation states these values.
	minCallerIdleTimeout = 2 * time.Second
	idleTargetLatencies  = 4
	idleEventGaps        = 8
)

// CallerIdleTimeout returns how long a caller is expected to stay connected without receiving any part of its response.
// Zero means that only the request's timeout applies.
func (r *Route) CallerIdleTimeout() time.Duration {
	if r.Kind != EventStream {
		return 0
	}
	return max(minCallerIdleTimeout, idleTargetLatencies*r.TargetLatency, idleEventGaps*r.TargetEventGap)
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at the same time.
	Slots int
	// CapacityTokens is the size of an engine's KV cache in tokens.
	CapacityTokens     int
	CacheBytesPerToken float64
	// LinkBitsPerSecond is the rate at which a runner transfers KV cache.
	LinkBitsPerSecond float64
	Models            []rillreach.ModelID
}

// CacheStore describes an external KV cache store.
type CacheStore struct {
	Address           netip.AddrPort
	Zone              rillreach.ZoneID
	CapacityTokens    int
	LinkBitsPerSecond float64
	// TransferStartDelay is the fixed delay before each transfer begins.
	TransferStartDelay time.Duration
	// Managed stores evict nothing by themselves: an agent frees what is no longer needed.
	Managed bool
}

// SlowStart limits the request rate of a runner for some time after its start, while it is cold. Its zero value sets no
// limit.
type SlowStart struct {
	Duration          time.Duration
	RequestsPerSecond float64
}

// Service is a group of runners or a KV cache store.
type Service struct {
	Name rillreach.ServiceID
	// MaxConns is the number of connections that a runner accepts from all clients together.
	MaxConns int
	// HealthPath is the path of the runners' health checks, empty if it is not known.
	HealthPath string
	SlowStart  SlowStart
	// Engine is set if the runners are model engines.
	Engine *Engine
	// CacheStore is set if the service is a KV cache store.
	CacheStore *CacheStore
}

// Account is a client account and its API keys.
type Account struct {
	Name rillreach.AccountID
	Keys []string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// Isolated accounts share no KV cache with other accounts.
	Isolated bool
	// Regions are the regions in which requests may run and their KV cache may be stored; nil allows all.
	Regions []rillreach.RegionID
}

// Limits apply to connections and requests of callers. MaxHeader and MaxBody are in bytes.
type Limits struct {
	MaxHeader int
	MaxBody   int64
	// HeaderTimeout limits how long a caller may take to send the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout limits how long a connection may stay idle between requests.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	// Revision is the revision of the stored object that contains the configuration.
	Revision rillreach.Revision
	Routes   []Route
	Services map[rillreach.ServiceID]*Service
	Accounts []Account
	Limits   Limits

	routesByHost  map[string][]*Route
	accountsByKey map[string]*Account
	cacheStores   []*CacheStore
	checked       bool
}

// ConfigVersion identifies a version of the configuration and the revision of the stored object that contains it.
type ConfigVersion struct {
	Version  int64              `cbor:"1,keyasint"`
	Revision rillreach.Revision `cbor:"2,keyasint"`
}

// ConfigVersion returns the version and the revision of the configuration.
func (c *Config) ConfigVersion() ConfigVersion {
	return ConfigVersion{Version: c.Version, Revision: c.Revision}
}

// Check validates the configuration and builds the indexes for Match and AccountByKey.
func (c *Config) Check() error {
	c.routesByHost = map[string][]*Route{}
	c.accountsByKey = map[string]*Account{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.WeightedServices) == 0 || r.Timeout <= 0 || r.MaxRunners < 1 || r.Kind == 0 || !strings.HasPrefix(r.PathPrefix, "/") {
			return errors.Newf("route %q must have a service, a timeout, a maximum number of runners, a kind and an absolute path prefix", r.Name)
		}
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.accountsByKey[key] = &c.Accounts[i]
		}
	}
	c.cacheStores, c.checked = c.findCacheStores(), true
	return nil
}

// Match returns the route of the host with the longest matching path prefix, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// AccountByKey returns the account that the API key belongs to, or nil.
func (c *Config) AccountByKey(key string) *Account { return c.accountsByKey[key] }

// NeedsKeys reports whether requests need an API key, which they do once any account is configured.
func (c *Config) NeedsKeys() bool { return len(c.Accounts) > 0 }

// CacheStores returns the KV cache stores of all services. The slice must not be modified.
func (c *Config) CacheStores() []*CacheStore {
	if c.checked {
		return c.cacheStores
	}
	return c.findCacheStores()
}

func (c *Config) findCacheStores() []*CacheStore {
	var stores []*CacheStore
	for _, s := range c.Services {
		if s.CacheStore != nil {
			stores = append(stores, s.CacheStore)
		}
	}
	return stores
}
