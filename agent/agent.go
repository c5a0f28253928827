package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backend"
	"github.com/rillreach/rillreach/blockstore"
	"github.com/rillreach/rillreach/controller/epochs"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/kept"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/peer"
)

const (
	// DefaultSlots is how many requests run at the backend server at once.
	DefaultSlots  = 64
	releasePoll   = 50 * time.Millisecond
	releaseLinger = time.Second
	// DefaultMaxWaiting is how many requests wait at the most.
	DefaultMaxWaiting = 256
)

// Agent is one agent; exported fields are set before Run.
type Agent struct {
	// Node is the common part of the process.
	Node *node.Node
	// Backend takes the requests.
	Backend rillreach.Backend
	// Engine is the same server as a model engine; nil beside a plain service.
	Engine rillreach.Engine
	// Secret is the fleet's.
	Secret []byte
	// Slots and MaxWaiting bound the requests that run and wait; zero means the defaults.
	Slots      int
	MaxWaiting int
	// Grace is how long a planned stop waits for running requests; zero means node.DefaultGrace.
	Grace time.Duration

	keeper  *kept.Keeper
	slots   *slots
	ledger  *once.Ledger
	signer  once.Signer
	running node.Inflight
	load    loadReport
}

// Run serves until the context ends, then leaves in order: it says so, takes nothing new and finishes what runs.
func (a *Agent) Run(ctx context.Context) error {
	if a.Backend == nil {
		return errors.New("run agent: no backend server is set")
	}
	a.setDefaults()
	a.Node.RowChanged = a.rowChanged
	a.Node.Start()
	a.makeKeeper()
	a.Node.Mux.Handle(peer.MethodDispatch, a.serve)
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	stop := context.AfterFunc(ctx, func() {
		a.leave(life)
		end()
	})
	defer stop()
	return a.Node.Run(life, a.controllers()...)
}

func (a *Agent) setDefaults() {
	if a.Slots == 0 {
		a.Slots = DefaultSlots
	}
	if a.MaxWaiting == 0 {
		a.MaxWaiting = DefaultMaxWaiting
	}
	if a.Grace == 0 {
		a.Grace = node.DefaultGrace
	}
	a.slots = newSlots(a.Slots, a.MaxWaiting, a.Node.Clock)
	a.ledger = &once.Ledger{}
	a.signer = once.NewSigner(a.Secret)
}

// makeKeeper makes what works on kept state, beside an engine.
func (a *Agent) makeKeeper() {
	if a.Engine == nil {
		return
	}
	a.keeper = &kept.Keeper{
		Self: a.Node.Self, Engine: a.Engine, Members: a.Node.Members, Clock: a.Node.Clock, Log: a.Node.Log,
		Stores: &blockstore.Client{HTTP: backend.NewHTTP()},
		Sealer: keep.NewSealer(a.Secret),
	}
	if events, ok := a.Engine.(kept.EventSource); ok {
		a.keeper.Events = events
	}
	a.keeper.Start()
}

func (a *Agent) rowChanged(before, after rillreach.Row) {
	if a.keeper != nil && before.Account != "" {
		a.keeper.Shifted(before, after)
	}
}

func (a *Agent) controllers() []rillreach.Controller {
	if a.Engine != nil {
		return []rillreach.Controller{&loadWatcher{engine: a.Engine, report: &a.load, node: a.Node}, a.keeper}
	}
	return []rillreach.Controller{&epochs.Controller{
		Self: a.Node.Self, Store: a.Node.Store, Owners: a.Node.Owners, Members: a.Node.Members, Clock: a.Node.Clock, Log: a.Node.Log,
		KeyTTL: 2 * KeyLifetime,
	}}
}

// errEnding is why requests are given up that cannot end within the grace.
var errEnding = errors.New("agent ends, its grace is over")

// leave ends the agent's work within the grace. What cannot end by then gets its final answer before the connections close.
func (a *Agent) leave(ctx context.Context) {
	a.Node.Log.Info("leaving", "instance", a.Node.Self.ID)
	a.slots.close()
	a.Node.Leave(ctx)
	end := time.Now().Add(a.Grace - node.FinalAnswerTime(a.Grace))
	a.awaitRelease(end)
	if !a.running.Wait(time.Until(end)) {
		a.Node.Log.Info("grace is over, requests are given up", "decision", "give-up", "requests", a.running.Count())
		a.slots.giveUp()
		a.running.GiveUp(errEnding)
	}
	a.Node.Settle(ctx, a.Grace)
	a.Node.Removed(ctx)
}

// awaitRelease stays, within the grace, until no key minted from now on is this agent's, and its outcomes could be
// asked for a little longer. What it owns until then it has other agents run.
func (a *Agent) awaitRelease(end time.Time) {
	if a.Engine != nil {
		return
	}
	for time.Now().Before(end) && !a.Node.Owners.Released(a.Node.Self.Service, a.Node.Self.Incarnation) {
		time.Sleep(releasePoll)
	}
	if time.Now().Before(end) {
		time.Sleep(min(releaseLinger, time.Until(end)))
	}
}
