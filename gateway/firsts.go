package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/predict"
)

// ttftEstimators predicts the time to first token for each service. The zero value has no observations.
type ttftEstimators struct {
	mu        sync.Mutex
	byService map[rillreach.ServiceID]*predict.TTFTEstimator
}

// model returns the latency model of the service's engines.
func (f *ttftEstimators) model(service rillreach.ServiceID) predict.LatencyModel {
	f.mu.Lock()
	defer f.mu.Unlock()
	if estimator := f.byService[service]; estimator != nil {
		return estimator.Model()
	}
	return predict.Prior()
}

// observe adds a request whose first token came after the given wait.
func (f *ttftEstimators) observe(x *exchange, t *target, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byService == nil {
		f.byService = map[rillreach.ServiceID]*predict.TTFTEstimator{}
	}
	estimator := f.byService[x.service.Name]
	if estimator == nil {
		estimator = &predict.TTFTEstimator{}
		f.byService[x.service.Name] = estimator
	}
	estimator.Observe(t.queuedPrefillTokens+t.prefillTokens, wait-t.plan.TransferTime)
}
