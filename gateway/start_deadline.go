package gateway

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/weights"
)

// errWeightsReplaced is why a request is withdrawn from a runner at which it has not begun.
var errWeightsReplaced = errors.New("runner's weights were replaced too long ago for a request to begin")

// windowCheck is how often the window of a request that waits is looked at anew: newer weights may be named meanwhile, or turn out to
// have been named earlier than this entry heard.
const windowCheck = time.Second

// window is when requests like this one may begin on weights of their model.
func (g *Gateway) window(x *exchange, version deployment.WeightVersion) weights.Window {
	if x.wire.Prompt == nil || x.service.Engine == nil {
		return weights.Window{}
	}
	return weights.Window{Replaced: g.state.Replaced(x.wire.Prompt.Model, version), Bound: g.Settings.Bounds.Weights}
}

// expired reports that the runner's weights were replaced so long ago that the request, which waits there for a while, would begin
// on them too late.
func (g *Gateway) expired(x *exchange, v *roster.View, now time.Time) bool {
	if x.wire.Prompt == nil {
		return false
	}
	return !g.window(x, v.Weights[x.wire.Prompt.Model]).Admits(now, v.Wait)
}

// withdrawal takes a request back from its runner where it has not begun when the window on the runner's weights closes.
type withdrawal struct {
	window func() weights.Window
	// end ends the attempt.
	end func()

	mu    sync.Mutex
	timer *time.Timer
	over  bool
}

// boundBeginning has the attempt end where the request does not begin in time.
func (g *Gateway) boundBeginning(x *exchange, t *target, end func()) *withdrawal {
	w := &withdrawal{
		window: func() weights.Window { return g.window(x, t.weights) },
		end: func() {
			t.withdrawn.Store(true)
			end()
		},
	}
	if x.wire.Prompt != nil && x.service.Engine != nil && g.Settings.Bounds.Weights > 0 {
		w.check()
	}
	return w
}

// check ends the attempt where the window has closed, or looks again later.
func (w *withdrawal) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	left := windowCheck
	if end := w.window().Close(); !end.IsZero() {
		left = min(left, time.Until(end))
	}
	if left <= 0 {
		w.over = true
		w.end()
		return
	}
	w.timer = time.AfterFunc(left, w.check)
}

// stop leaves the request where it is, since it has begun or ended.
func (w *withdrawal) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
