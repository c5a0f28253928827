package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/drain"
	"github.com/rillreach/rillreach/predict"
)

const (
	// mostRoutes bounds how many routes' times are remembered.
	mostRoutes = 4096
	// likelyDeviations is how many mean deviations over the mean most requests take, surelyDeviations nearly all: three in four
	// and 95 in 100 where times vary as much as those of streams do.
	likelyDeviations = 1
	surelyDeviations = 4
)

// routeTimes are how long requests usually take, by route; the zero value knows none.
type routeTimes struct {
	mu      sync.Mutex
	byRoute map[string]*predict.DurationEstimator
}

// add takes the time of one request.
func (u *routeTimes) add(route string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byRoute == nil || len(u.byRoute) >= mostRoutes {
		u.byRoute = map[string]*predict.DurationEstimator{}
	}
	if u.byRoute[route] == nil {
		u.byRoute[route] = &predict.DurationEstimator{}
	}
	u.byRoute[route].Observe(took)
}

// of is what requests on the route usually take.
func (u *routeTimes) of(route string) predict.DurationEstimator {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known := u.byRoute[route]; known != nil {
		return *known
	}
	return predict.DurationEstimator{}
}

// takes says how long requests on the route take until their whole answer. What must not run twice is lost where the end overtakes it, so
// that its likely time is the sure one.
func (g *Gateway) takes(route *deployment.Route) drain.Request {
	usual := g.answerTimes.of(route.Name)
	takes := drain.Request{TypicalDuration: usual.UpperBound(likelyDeviations), ConservativeDuration: usual.UpperBound(surelyDeviations)}
	if route.AtMostOnce() {
		takes.TypicalDuration = takes.ConservativeDuration
	}
	return takes
}
