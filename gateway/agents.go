package gateway

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/controller/subscribe"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/roster"
)

// followEvery is how often it is looked at whether each runner's agent is followed.
const followEvery = 200 * time.Millisecond

// speaksWithin is how long an agent may be silent and still be reported to: twice the longest pause between the bulletins of one that was
// asked for little.
const speaksWithin = 2 * time.Second

// agents follows the agents of all listed runners of engines.
type agents struct {
	gateway *Gateway
	pool    *peer.Pool

	wg        conc.WaitGroup
	mu        sync.Mutex
	following map[netip.AddrPort]*followed
}

// followed is an agent that is followed.
type followed struct {
	// sparse says that it was asked for little.
	sparse bool
	stop   context.CancelFunc
	// heard is when its last bulletin came, in nanoseconds by the entry's clock.
	heard atomic.Int64
}

// Name is the controller's name.
func (a *agents) Name() string { return "follow-agents" }

// Run follows the agents until the context ends.
func (a *agents) Run(ctx context.Context) error {
	a.mu.Lock()
	a.following = map[netip.AddrPort]*followed{}
	a.mu.Unlock()
	pause.Every(ctx, followEvery, a.look)
	a.wg.Wait()
	return nil
}

// look begins to follow the agents of new runners, and ends with those of runners that are gone or that are to be asked otherwise.
func (a *agents) look(ctx context.Context) {
	groups := a.gateway.engineGroups()
	a.gateway.updateLocalServices(groups)
	wanted := a.wanted(groups)
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, f := range a.following {
		if sparse, ok := wanted[address]; !ok || sparse != f.sparse {
			f.stop()
			delete(a.following, address)
		}
	}
	for address, sparse := range wanted {
		if a.following[address] == nil {
			a.following[address] = a.follow(ctx, address, sparse)
		}
	}
}

// follow begins to follow an agent.
func (a *agents) follow(ctx context.Context, address netip.AddrPort, sparse bool) *followed {
	one, stop := context.WithCancel(ctx)
	g := a.gateway
	f := &followed{sparse: sparse, stop: stop}
	take := g.learn
	if sparse {
		take = g.learnSparse
	}
	s := &subscribe.Subscription{
		Pool: a.pool, Agent: address, Log: g.Log,
		Take: func(b *bulletin.Bulletin, now time.Time) {
			f.heard.Store(g.Clock.Now().UnixNano())
			take(b, now)
		},
		Ask: bulletin.Follow{Name: rillreach.InstanceID(g.Settings.Name), Zone: g.Settings.Zone, Sparse: sparse},
	}
	a.wg.Go(func() { s.Run(one) })
	return f
}

// live are the agents that have spoken lately.
func (a *agents) live(now time.Time) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var live []netip.AddrPort
	for address, f := range a.following {
		if now.Sub(time.Unix(0, f.heard.Load())) < speaksWithin {
			live = append(live, address)
		}
	}
	return live
}

// wanted are the addresses of the agents beside runners of engines, and whether they are asked for little.
func (a *agents) wanted(groups map[rillreach.ServiceID][]*roster.Runner) map[netip.AddrPort]bool {
	wanted := map[netip.AddrPort]bool{}
	for service, group := range groups {
		local := a.gateway.local.has(service)
		for _, r := range group {
			info := r.Info()
			wanted[netip.AddrPortFrom(info.Address.Addr(), a.gateway.Settings.FirstPort)] = local && info.Zone != a.gateway.Settings.Zone
		}
	}
	return wanted
}
