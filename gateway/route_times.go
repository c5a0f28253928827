package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/drain"
	"github.com/rillreach/rillreach/predict"
)

const (
	// maxRoutes bounds the number of routes whose durations are kept.
	maxRoutes = 4096
	// typicalDeviations and conservativeDeviations are the numbers of mean deviations above the mean that cover most
	// and nearly all requests: 75% and 95% where durations vary as much as those of streams do.
	typicalDeviations      = 1
	conservativeDeviations = 4
)

// routeDurations estimates the duration of requests by route. The zero value has no observations.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*predict.DurationEstimator
}

// observe adds the duration of a request.
func (d *routeDurations) observe(route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byRoute == nil || len(d.byRoute) >= maxRoutes {
		d.byRoute = map[string]*predict.DurationEstimator{}
	}
	if d.byRoute[route] == nil {
		d.byRoute[route] = &predict.DurationEstimator{}
	}
	d.byRoute[route].Observe(duration)
}

// estimator returns a copy of the estimator of the route.
func (d *routeDurations) estimator(route string) predict.DurationEstimator {
	d.mu.Lock()
	defer d.mu.Unlock()
	if estimator := d.byRoute[route]; estimator != nil {
		return *estimator
	}
	return predict.DurationEstimator{}
}

// drainRequest estimates how long requests on the route take until their answer is complete. A request that must not
// run twice is lost if the shutdown deadline overtakes it, so the conservative estimate also serves as its typical one.
func (g *Gateway) drainRequest(route *deployment.Route) drain.Request {
	estimator := g.answerTimes.estimator(route.Name)
	request := drain.Request{TypicalDuration: estimator.UpperBound(typicalDeviations), ConservativeDuration: estimator.UpperBound(conservativeDeviations)}
	if route.AtMostOnce() {
		request.TypicalDuration = request.ConservativeDuration
	}
	return request
}
