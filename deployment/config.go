package deployment

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// RouteKind says what may be done again with the requests of a route.
type RouteKind int

// The kinds of routes.
const (
	// Repeatable requests may run any number of times.
	Repeatable RouteKind = iota + 1
	// RunOnce requests run at most once.
	RunOnce
	// EventStream requests are answered by a series of events, and run at most once unless the route is resumable.
	EventStream
)

// String names the kind for logs and metrics.
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

// WeightedService is a service and its share of a route's requests, in parts of the sum of all shares.
type WeightedService struct {
	Service rillreach.ServiceID
	Weight  float64
}

// Route says which requests it takes, by host and path, and how they are treated.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is how long a request may be held, from its arrival to the end of its answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a stream, that callers expect.
	TargetLatency time.Duration
	// TargetEventGap is the longest pause between events that callers expect; zero where the route does not stream.
	TargetEventGap time.Duration
	// MaxRunners is how many runners one request may be sent to.
	MaxRunners int
	// Priority ranks requests; zero is the most urgent.
	Priority int
	// WeightedServices are the services that take the route's requests.
	WeightedServices []WeightedService
	// Public says that requests need no key.
	Public bool
	// Resumable says that a stream may go on at another runner.
	Resumable bool
	// Regions are those in which its requests may run and their KV cache may be kept, nil for all.
	Regions []rillreach.RegionID
}

// AtMostOnce reports that a request of the route must not run twice.
func (r *Route) AtMostOnce() bool {
	return r.Kind == RunOnce || r.Kind == EventStream && !r.Resumable
}

const (
	// quietLeast, quietTargets and quietPauses make up how long callers of streams wait for the next event: the longest of a time,
	// of that expected for the first event, and of that between two (the users' page on requests).
	quietLeast   = 2 * time.Second
	quietTargets = 4
	quietPauses  = 8
)

// CallerIdleTimeout is how long a caller stays while nothing of its answer comes; zero says that it does so until its patience ends.
func (r *Route) CallerIdleTimeout() time.Duration {
	if r.Kind != EventStream {
		return 0
	}
	return max(quietLeast, quietTargets*r.TargetLatency, quietPauses*r.TargetEventGap)
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots              int
	CapacityTokens     int
	CacheBytesPerToken float64
	// LinkBitsPerSecond is the rate at which a runner moves KV cache.
	LinkBitsPerSecond float64
	Models            []rillreach.ModelID
}

// CacheStore is a store of kept KV cache.
type CacheStore struct {
	Address           netip.AddrPort
	Zone              rillreach.ZoneID
	CapacityTokens    int
	LinkBitsPerSecond float64
	// TransferStartDelay passes before each move begins.
	TransferStartDelay time.Duration
	// Managed says that the store drops nothing by itself.
	Managed bool
}

// SlowStart is how long runners are cold after a start, and how many requests a second one bears then; zero where that is not bounded.
type SlowStart struct {
	Duration          time.Duration
	RequestsPerSecond float64
}

// Service is a group of runners, or a store.
type Service struct {
	Name rillreach.ServiceID
	// MaxConns is how many connections a runner takes from all callers together.
	MaxConns int
	// SlowStart says how little a runner bears after its start.
	SlowStart SlowStart
	// Engine is set where the runners are model engines.
	Engine *Engine
	// CacheStore is set where the service is a store of KV cache.
	CacheStore *CacheStore
}

// Account is a client account and its keys.
type Account struct {
	Name rillreach.AccountID
	Keys []string
	// Priority goes before the route's; nil leaves the route's.
	Priority *int
	// Isolated says that the account shares no KV cache with others.
	Isolated bool
	// Regions are those in which its requests may run and their KV cache may be kept, nil for all.
	Regions []rillreach.RegionID
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeader int
	MaxBody   int64
	// HeaderTimeout bounds the time that a caller takes for a request's head, IdleTimeout a connection's rest.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	// Revision is that of the object which holds the configuration.
	Revision rillreach.Revision
	Routes   []Route
	Services map[rillreach.ServiceID]*Service
	Accounts []Account
	Limits   Limits

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// ConfigVersion names one version of the configuration, and where the store had it.
type ConfigVersion struct {
	Version  int64              `cbor:"1,keyasint"`
	Revision rillreach.Revision `cbor:"2,keyasint"`
}

// ConfigVersion is the version of the configuration.
func (c *Config) ConfigVersion() ConfigVersion {
	return ConfigVersion{Version: c.Version, Revision: c.Revision}
}

// Check reports what is wrong with the configuration, and prepares it for look-ups.
func (c *Config) Check() error {
	c.byHost = map[string][]*Route{}
	c.byKey = map[string]*Account{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.WeightedServices) == 0 || r.Timeout <= 0 || r.MaxRunners < 1 || r.Kind == 0 || !strings.HasPrefix(r.PathPrefix, "/") {
			return errors.Newf("route %q has no service, time-out, number of runners, kind or path", r.Name)
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
	}
	return nil
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// AccountByKey returns the account that holds the key, or nil.
func (c *Config) AccountByKey(key string) *Account { return c.byKey[key] }

// NeedsKeys reports whether the configuration knows accounts at all.
func (c *Config) NeedsKeys() bool { return len(c.Accounts) > 0 }

// CacheStores returns the stores of kept KV cache.
func (c *Config) CacheStores() []*CacheStore {
	var stores []*CacheStore
	for _, s := range c.Services {
		if s.CacheStore != nil {
			stores = append(stores, s.CacheStore)
		}
	}
	return stores
}
