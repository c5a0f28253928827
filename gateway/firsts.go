package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/predict"
)

// ttftEstimators learns for each service how long prompts take to their first token; its zero value knows nothing.
type ttftEstimators struct {
	mu        sync.Mutex
	byService map[rillreach.ServiceID]*predict.TTFTEstimator
}

// model is how fast the service's engines are.
func (f *ttftEstimators) model(service rillreach.ServiceID) predict.LatencyModel {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.byService[service]; known != nil {
		return known.Model()
	}
	return predict.Prior()
}

// observe learns from a request that had its first token after the wait.
func (f *ttftEstimators) observe(x *exchange, t *target, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byService == nil {
		f.byService = map[rillreach.ServiceID]*predict.TTFTEstimator{}
	}
	known := f.byService[x.service.Name]
	if known == nil {
		known = &predict.TTFTEstimator{}
		f.byService[x.service.Name] = known
	}
	known.Observe(t.queuedPrefillTokens+t.prefillTokens, wait-t.plan.TransferTime)
}
