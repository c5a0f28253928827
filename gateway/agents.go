package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/controller/subscribe"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/roster"
)

// followInterval is how often it is looked at whether each runner's agent is followed.
const followInterval = 200 * time.Millisecond

// agentTimeout is how long an agent may be silent and still be reported to: twice the longest pause between the bulletins of one that was
// asked for little.
const agentTimeout = 2 * time.Second

// agentFollower follows the agentFollower of all listed runners of engines.
type agentFollower struct {
	gateway *Gateway
	pool    *peer.Pool

	wg        conc.WaitGroup
	mu        sync.Mutex
	following map[netip.AddrPort]*followedAgent
}

// wantedAgent is an agent that is to be followed.
type wantedAgent struct {
	// runner is the address of the runner beside it.
	runner netip.AddrPort
	// loadOnly says that it's asked for little.
	loadOnly bool
}

// followedAgent is an agent that is followedAgent.
type followedAgent struct {
	wanted wantedAgent
	stop   context.CancelFunc
	// lastBulletinAt is when its last bulletin came, in nanoseconds by the entry's clock.
	lastBulletinAt atomic.Int64
}

// Name is the controller's name.
func (a *agentFollower) Name() string { return "follow-agents" }

// Run follows the agents until the context ends.
func (a *agentFollower) Run(ctx context.Context) error {
	a.mu.Lock()
	a.following = map[netip.AddrPort]*followedAgent{}
	a.mu.Unlock()
	pause.Every(ctx, followInterval, a.reconcile)
	a.wg.Wait()
	return nil
}

// reconcile begins to follow the agents of new runners, and ends with those of runners that are gone or that are to be asked otherwise.
func (a *agentFollower) reconcile(ctx context.Context) {
	groups := a.gateway.engineGroups()
	a.gateway.updateLocalServices(groups)
	wanted := a.wantedAgents(groups)
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, f := range a.following {
		if w, ok := wanted[address]; !ok || w != f.wanted {
			f.stop()
			delete(a.following, address)
		}
	}
	for address, w := range wanted {
		if a.following[address] == nil {
			a.following[address] = a.follow(ctx, address, w)
		}
	}
}

// follow begins to follow an agent.
func (a *agentFollower) follow(ctx context.Context, address netip.AddrPort, w wantedAgent) *followedAgent {
	one, stop := context.WithCancel(ctx)
	g := a.gateway
	f := &followedAgent{wanted: w, stop: stop}
	take := g.applyBulletin
	if w.loadOnly {
		take = g.applyLoadOnlyBulletin
	}
	s := &subscribe.Subscription{
		Pool: a.pool, Agent: address, Log: g.Log,
		Take: func(b *bulletin.Bulletin, now time.Time) {
			f.lastBulletinAt.Store(g.Clock.Now().UnixNano())
			take(b, now)
			g.applyPermits(w.runner, b, now)
			a.applyQuotas(address, b, now)
		},
		Ask: bulletin.FollowRequest{Name: rillreach.InstanceID(g.Settings.Name), Zone: g.Settings.Zone, LoadOnly: w.loadOnly},
	}
	a.wg.Go(func() { s.Run(one) })
	return f
}

// liveAgents are the agents that have spoken lately.
func (a *agentFollower) liveAgents(now time.Time) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var live []netip.AddrPort
	for address, f := range a.following {
		if now.Sub(time.Unix(0, f.lastBulletinAt.Load())) < agentTimeout {
			live = append(live, address)
		}
	}
	return live
}

// allocatorOf is the agent among those that shares out a runner's limit, if there is one: an engine's own, for any other runner the first by a hash.
func (a *agentFollower) allocatorOf(r *roster.Runner, live []netip.AddrPort) (netip.AddrPort, bool) {
	info := r.Info()
	if a.gateway.isEngineService(info.Service) {
		own := a.gateway.agentAddress(info.Address)
		return own, slices.Contains(live, own)
	}
	key := hash.String(string(info.ID))
	var chosen netip.AddrPort
	var most uint64
	for _, agent := range live {
		if rank := hash.Mix(key, hash.String(agent.String())); !chosen.IsValid() || rank > most {
			chosen, most = agent, rank
		}
	}
	return chosen, chosen.IsValid()
}

// isAllocatorOf reports that an agent is the one that shares out a runner's limit.
func (a *agentFollower) isAllocatorOf(agent netip.AddrPort, r *roster.Runner) bool {
	allotter, ok := a.allocatorOf(r, a.liveAgents(a.gateway.Clock.Now()))
	return ok && allotter == agent
}

// wantedAgents are the agents beside runners of engines, by their addresses.
func (a *agentFollower) wantedAgents(groups map[rillreach.ServiceID][]*roster.Runner) map[netip.AddrPort]wantedAgent {
	wanted := map[netip.AddrPort]wantedAgent{}
	for service, group := range groups {
		local := a.gateway.localServices.isLocal(service)
		for _, r := range group {
			info := r.Info()
			address := a.gateway.agentAddress(info.Address)
			wanted[address] = wantedAgent{runner: info.Address, loadOnly: local && info.Zone != a.gateway.Settings.Zone}
		}
	}
	return wanted
}

// agentAddress is the address of the agent beside an engine.
func (g *Gateway) agentAddress(engine netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(engine.Addr(), g.Settings.FirstPort)
}
