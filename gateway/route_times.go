package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/drain"
	"github.com/rillreach/rillreach/predict"
)

const (
	// maxRoutes bounds how many routes' times are remembered.
	maxRoutes = 4096
	// typicalDeviations is how many mean deviations over the mean most requests take, surelyDeviations nearly all: three in four
	// and 95 in 100 where times vary as much as those of streams do.
	typicalDeviations      = 1
	conservativeDeviations = 4
)

// routeDurations are how long requests usually take, by route; the zero value knows none.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*predict.DurationEstimator
}

// observe takes the time of one request.
func (u *routeDurations) observe(route string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byRoute == nil || len(u.byRoute) >= maxRoutes {
		u.byRoute = map[string]*predict.DurationEstimator{}
	}
	if u.byRoute[route] == nil {
		u.byRoute[route] = &predict.DurationEstimator{}
	}
	u.byRoute[route].Observe(took)
}

// estimator is what requests on the route usually take.
func (u *routeDurations) estimator(route string) predict.DurationEstimator {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known := u.byRoute[route]; known != nil {
		return *known
	}
	return predict.DurationEstimator{}
}

// drainRequest says how long requests on the route take until their whole answer. What must not run twice is lost where the end overtakes it, so
// that its likely time is the sure one.
func (g *Gateway) drainRequest(route *deployment.Route) drain.Request {
	usual := g.usual.estimator(route.Name)
	takes := drain.Request{TypicalDuration: usual.UpperBound(typicalDeviations), ConservativeDuration: usual.UpperBound(conservativeDeviations)}
	if route.AtMostOnce() {
		takes.TypicalDuration = takes.ConservativeDuration
	}
	return takes
}
