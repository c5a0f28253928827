package gateway

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/weights"
)

// errStartTooLate is the cause of the cancellation of an attempt that has not started before its start window closed.
var errStartTooLate = errors.New("runner's weights were replaced too long ago for a request to begin")

// windowCheckInterval is how often the start window of a waiting request is recomputed. The weights may be replaced
// meanwhile, or turn out to have been replaced earlier than this entry had learned.
const windowCheckInterval = time.Second

// startWindow returns when requests like this one may start on the given weights.
func (g *Gateway) startWindow(x *exchange, version deployment.WeightVersion) weights.StartWindow {
	if x.wire.Prompt == nil || x.service.Engine == nil {
		return weights.StartWindow{}
	}
	return weights.StartWindow{ReplacedAt: g.state.ReplacedAt(x.wire.Prompt.Model, version), Bound: g.Settings.Bounds.WeightsRollout}
}

// startDeadline cancels an attempt that has not started when the start window of the runner's weights closes.
type startDeadline struct {
	startWindow func() weights.StartWindow
	// cancel ends the attempt.
	cancel func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// newStartDeadline starts the deadline of an attempt.
func (g *Gateway) newStartDeadline(x *exchange, t *target, cancel func()) *startDeadline {
	d := &startDeadline{
		startWindow: func() weights.StartWindow { return g.startWindow(x, t.weights) },
		cancel: func() {
			t.cancelled.Store(true)
			cancel()
		},
	}
	if x.wire.Prompt != nil && x.service.Engine != nil && g.Settings.Bounds.WeightsRollout > 0 {
		d.check()
	}
	return d
}

// check cancels the attempt if the window has closed, and schedules the next check otherwise.
func (d *startDeadline) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	wait := windowCheckInterval
	if closesAt := d.startWindow().ClosesAt(); !closesAt.IsZero() {
		wait = min(wait, time.Until(closesAt))
	}
	if wait <= 0 {
		d.stopped = true
		d.cancel()
		return
	}
	d.timer = time.AfterFunc(wait, d.check)
}

// stop disables the deadline because the request has started or ended.
func (d *startDeadline) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
