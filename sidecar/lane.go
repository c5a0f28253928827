package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/controller/subscribe"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/weights"
)

// reportAge is how old the word of the runner ahead may be and still count.
const reportAge = time.Second

// lane follows the agent of the runner that loads just before this one, while there is something to load.
type lane struct {
	sidecar *Sidecar
	wg      conc.WaitGroup

	mu    sync.Mutex
	agent netip.AddrPort
	stop  context.CancelFunc
	load  bulletin.Load
	heard time.Time
}

// follow has the lane follow the agent beside the runner; no runner at all ends that.
func (l *lane) follow(ctx context.Context, runner netip.AddrPort) {
	var agent netip.AddrPort
	if runner.IsValid() {
		agent = netip.AddrPortFrom(runner.Addr(), l.sidecar.Settings.FirstPort)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if agent == l.agent {
		return
	}
	if l.stop != nil {
		l.stop()
	}
	l.agent, l.heard, l.stop = agent, time.Time{}, nil
	if !agent.IsValid() {
		return
	}
	ctx, l.stop = context.WithCancel(ctx)
	s := &subscribe.Subscription{
		Pool: l.sidecar.pool, Agent: agent, Log: l.sidecar.Log,
		Ask:  bulletin.Follow{Name: rillreach.InstanceID(l.sidecar.Settings.Name), Agent: true},
		Take: func(b *bulletin.Bulletin, now time.Time) { l.take(agent, b, now) },
	}
	l.wg.Go(func() { s.Run(ctx) })
}

func (l *lane) take(agent netip.AddrPort, b *bulletin.Bulletin, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if agent == l.agent {
		l.load, l.heard = b.Load, now
	}
}

// ahead says how far the runner ahead is with the version.
func (l *lane) ahead(model rillreach.ModelID, version deployment.WeightVersion) weights.Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.heard.IsZero() || time.Since(l.heard) > reportAge:
		return weights.ProgressUnknown
	case l.load.Weights[model] >= version && !l.load.Loading:
		return weights.ProgressDone
	case l.load.Loading && l.load.Running == 0:
		return weights.ProgressLoads
	default:
		return weights.ProgressBefore
	}
}
