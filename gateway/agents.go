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

// wantedAgent is an agent that is to be followed.
type wantedAgent struct {
	// runner is the address of the runner beside it.
	runner netip.AddrPort
	// sparse says that it's asked for little.
	sparse bool
}

// followed is an agent that is followed.
type followed struct {
	wanted wantedAgent
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
func (a *agents) follow(ctx context.Context, address netip.AddrPort, w wantedAgent) *followed {
	one, stop := context.WithCancel(ctx)
	g := a.gateway
	f := &followed{wanted: w, stop: stop}
	take := g.applyBulletin
	if w.sparse {
		take = g.applySparseBulletin
	}
	s := &subscribe.Subscription{
		Pool: a.pool, Agent: address, Log: g.Log,
		OnBulletin: func(b *bulletin.Bulletin, now time.Time) {
			f.heard.Store(g.Clock.Now().UnixNano())
			take(b, now)
			g.applyPermits(w.runner, b, now)
			a.applyQuotas(address, b, now)
		},
		Request: bulletin.FollowRequest{Name: rillreach.InstanceID(g.Settings.Name), Zone: g.Settings.Zone, LoadOnly: w.sparse},
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

// allotterOf is the agent among those that shares out a runner's limit, if there is one: an engine's own, for any other runner the first by a hash.
func (a *agents) allotterOf(r *roster.Runner, live []netip.AddrPort) (netip.AddrPort, bool) {
	info := r.Info()
	if a.gateway.servesModels(info.Service) {
		own := a.gateway.agentBeside(info.Address)
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

// allots reports that an agent is the one that shares out a runner's limit.
func (a *agents) allots(agent netip.AddrPort, r *roster.Runner) bool {
	allotter, ok := a.allotterOf(r, a.live(a.gateway.Clock.Now()))
	return ok && allotter == agent
}

// wanted are the agents beside runners of engines, by their addresses.
func (a *agents) wanted(groups map[rillreach.ServiceID][]*roster.Runner) map[netip.AddrPort]wantedAgent {
	wanted := map[netip.AddrPort]wantedAgent{}
	for service, group := range groups {
		local := a.gateway.local.has(service)
		for _, r := range group {
			info := r.Info()
			address := a.gateway.agentBeside(info.Address)
			wanted[address] = wantedAgent{runner: info.Address, sparse: local && info.Zone != a.gateway.Settings.Zone}
		}
	}
	return wanted
}

// agentBeside is the address of the agent beside an engine.
func (g *Gateway) agentBeside(engine netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(engine.Addr(), g.Settings.FirstPort)
}
