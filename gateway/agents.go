package gateway

import (
	"cmp"
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

// followInterval is how often the set of followed agents is compared with the listed runners.
const followInterval = 200 * time.Millisecond

// agentTimeout is how long an agent may be silent and still get reports: twice the longest interval between load-only
// bulletins.
const agentTimeout = 2 * time.Second

// agentFollower subscribes to the agents of all listed runners of engine services.
type agentFollower struct {
	gateway *Gateway
	pool    *peer.Pool

	wg        conc.WaitGroup
	mu        sync.Mutex
	following map[netip.AddrPort]*followedAgent
}

// subscription is what an entry asks of an agent.
type subscription struct {
	// runner is the address of the agent's runner.
	runner netip.AddrPort
	// loadOnly means that the agent is asked for load reports only.
	loadOnly bool
}

// followedAgent is an agent that the entry is subscribed to.
type followedAgent struct {
	subscription subscription
	stop         context.CancelFunc
	// lastBulletinAt is when its last bulletin arrived, in nanoseconds on the entry's clock.
	lastBulletinAt atomic.Int64
}

// Name returns the name of the controller.
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

// reconcile subscribes to the agents of new runners, and cancels the subscriptions for runners that are gone or whose
// subscription has to change.
func (a *agentFollower) reconcile(ctx context.Context) {
	groups := a.gateway.engineGroups()
	if a.gateway.relayed() {
		groups = a.gateway.sampleGroups(groups)
	}
	a.gateway.updateLocalServices(groups)
	desired := a.desiredSubscriptions(groups)
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, f := range a.following {
		if w, ok := desired[address]; !ok || w != f.subscription {
			f.stop()
			delete(a.following, address)
		}
	}
	for address, w := range desired {
		if a.following[address] == nil {
			a.following[address] = a.follow(ctx, address, w)
		}
	}
}

// follow subscribes to an agent.
func (a *agentFollower) follow(ctx context.Context, address netip.AddrPort, w subscription) *followedAgent {
	followCtx, stop := context.WithCancel(ctx)
	g := a.gateway
	f := &followedAgent{subscription: w, stop: stop}
	apply := g.applyBulletin
	if w.loadOnly {
		apply = g.applyLoadOnlyBulletin
	}
	s := &subscribe.Subscription{
		Pool: a.pool, Agent: address, Log: g.Log,
		OnBulletin: func(b *bulletin.Bulletin, now time.Time) {
			f.lastBulletinAt.Store(g.Clock.Now().UnixNano())
			apply(b, now)
			g.applyPermits(w.runner, b, now)
			a.applyQuotas(address, b, now)
		},
		Request: bulletin.FollowRequest{Name: rillreach.InstanceID(g.Settings.Name), Zone: g.Settings.Zone, LoadOnly: w.loadOnly},
	}
	a.wg.Go(func() { s.Run(followCtx) })
	return f
}

// maxFollowed is the number of agents that an entry follows itself if it follows a relay: enough for permits and fresh
// loads, whatever the size of the deployment.
const maxFollowed = 8

// sampleGroups returns the runners of each service whose agents the entry follows itself. They are those of its own zone
// that come first by a hash of both, so that each agent has about as many followers as any other.
func (g *Gateway) sampleGroups(groups map[rillreach.ServiceID][]*roster.Runner) map[rillreach.ServiceID][]*roster.Runner {
	own := hash.String(g.Settings.Name)
	rank := func(r *roster.Runner) uint64 { return hash.Mix(own, hash.String(string(r.Info().ID))) }
	sampled := map[rillreach.ServiceID][]*roster.Runner{}
	for service, group := range groups {
		inZone := slices.DeleteFunc(slices.Clone(group), func(r *roster.Runner) bool { return r.Info().Zone != g.Settings.Zone })
		slices.SortFunc(inZone, func(a, b *roster.Runner) int { return cmp.Compare(rank(a), rank(b)) })
		sampled[service] = inZone[:min(len(inZone), maxFollowed)]
	}
	return sampled
}

// followedRunners returns the runners of a service whose agents the entry follows.
func (g *Gateway) followedRunners(service rillreach.ServiceID) []*roster.Runner {
	if g.agents == nil {
		return nil
	}
	a := g.agents
	a.mu.Lock()
	defer a.mu.Unlock()
	var runners []*roster.Runner
	for _, f := range a.following {
		if r := g.state.Roster.ByAddress(f.subscription.runner); r != nil && r.Info().Service == service {
			runners = append(runners, r)
		}
	}
	return runners
}

// liveAgents returns the agents that have sent a bulletin recently.
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

// allocatorOf returns the agent among the live ones that allocates a runner's limit to the entries, if there is one.
// For an engine that is its own agent, for any other runner the first by rendezvous hash. If the entries follow relays, there
// is none, and each entry paces its requests by itself.
func (a *agentFollower) allocatorOf(r *roster.Runner, live []netip.AddrPort) (netip.AddrPort, bool) {
	if a.gateway.relayed() {
		return netip.AddrPort{}, false // the agents that an entry follows are not those of the others
	}
	info := r.Info()
	if a.gateway.isEngineService(info.Service) {
		own := a.gateway.agentAddress(info.Address)
		return own, slices.Contains(live, own)
	}
	key := hash.String(string(info.ID))
	var chosen netip.AddrPort
	var bestRank uint64
	for _, agent := range live {
		if rank := hash.Mix(key, hash.String(agent.String())); !chosen.IsValid() || rank > bestRank {
			chosen, bestRank = agent, rank
		}
	}
	return chosen, chosen.IsValid()
}

// isAllocatorOf reports whether the agent is the one that allocates a runner's limit.
func (a *agentFollower) isAllocatorOf(agent netip.AddrPort, r *roster.Runner) bool {
	allocator, ok := a.allocatorOf(r, a.liveAgents(a.gateway.Clock.Now()))
	return ok && allocator == agent
}

// desiredSubscriptions returns the subscriptions for the runners of engine services, by the addresses of the agents.
func (a *agentFollower) desiredSubscriptions(groups map[rillreach.ServiceID][]*roster.Runner) map[netip.AddrPort]subscription {
	desired := map[netip.AddrPort]subscription{}
	for service, group := range groups {
		local := a.gateway.localServices.isLocal(service)
		for _, r := range group {
			info := r.Info()
			address := a.gateway.agentAddress(info.Address)
			desired[address] = subscription{runner: info.Address, loadOnly: local && info.Zone != a.gateway.Settings.Zone}
		}
	}
	return desired
}

// agentAddress returns the address of the agent beside an engine.
func (g *Gateway) agentAddress(engine netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(engine.Addr(), g.Settings.FirstPort)
}
