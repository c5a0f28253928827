package gateway

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/weights"
)

// errStartTooLate is why a request is cancelled at a runner at which it has not begun.
var errStartTooLate = errors.New("runner's weights were replaced too long ago for a request to begin")

// windowCheckInterval is how often the window of a request that waits is looked at anew: newer weights may be named meanwhile, or turn out to
// have been named earlier than this entry heard.
const windowCheckInterval = time.Second

// startWindow is when requests like this one may begin on weights of their model.
func (g *Gateway) startWindow(x *exchange, version deployment.WeightVersion) weights.StartWindow {
	if x.wire.Prompt == nil || x.service.Engine == nil {
		return weights.StartWindow{}
	}
	return weights.StartWindow{ReplacedAt: g.state.ReplacedAt(x.wire.Prompt.Model, version), Bound: g.Settings.Bounds.WeightsRollout}
}

// startDeadline cancels a request at its runner where it has not begun when the window on the runner's weights closes.
type startDeadline struct {
	startWindow func() weights.StartWindow
	// cancel ends the attempt.
	cancel func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// newStartDeadline has the attempt end where the request does not begin in time.
func (g *Gateway) newStartDeadline(x *exchange, t *target, end func()) *startDeadline {
	d := &startDeadline{
		startWindow: func() weights.StartWindow { return g.startWindow(x, t.weights) },
		cancel: func() {
			t.cancelled.Store(true)
			end()
		},
	}
	if x.wire.Prompt != nil && x.service.Engine != nil && g.Settings.Bounds.WeightsRollout > 0 {
		d.check()
	}
	return d
}

// check ends the attempt where the window has closed, or looks again later.
func (d *startDeadline) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	left := windowCheckInterval
	if end := d.startWindow().ClosesAt(); !end.IsZero() {
		left = min(left, time.Until(end))
	}
	if left <= 0 {
		d.stopped = true
		d.cancel()
		return
	}
	d.timer = time.AfterFunc(left, d.check)
}

// stop leaves the request where it is, since it has begun or ended.
func (d *startDeadline) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
