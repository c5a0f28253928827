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
	// DefaultSlots is the default number of requests that run on the backend server at the same time.
	DefaultSlots = 64
	// releasePollInterval is the interval between checks whether the agent still owns new keys.
	releasePollInterval = 50 * time.Millisecond
	// releaseDelay is how long a leaving agent continues to report outcomes after it has stopped owning new keys.
	releaseDelay = time.Second
	// DefaultMaxWaiting is the default number of requests that may wait.
	DefaultMaxWaiting = 256
)

// Agent serves the requests for one backend server. Exported fields must be set before Run.
type Agent struct {
	// Node provides what processes of all roles have in common.
	Node *node.Node
	// Backend runs the requests.
	Backend rillreach.Backend
	// Engine is the model engine interface of the same backend server. It is nil if the backend server is a plain
	// service.
	Engine rillreach.Engine
	// Secret is shared by the whole fleet.
	Secret []byte
	// Slots and MaxWaiting limit the running and the waiting requests. Zero means the default.
	Slots      int
	MaxWaiting int
	// Grace is how long a planned stop waits for running requests to finish. Zero means node.DefaultGrace.
	Grace time.Duration

	keeper    *kept.Keeper
	scheduler *scheduler
	ledger    *once.Ledger
	signer    once.Signer
	running   node.Inflight
	load      loadReport
}

// Run serves requests until the context ends. It then announces that the agent is leaving, accepts no new requests and
// finishes the running ones.
func (a *Agent) Run(ctx context.Context) error {
	if a.Backend == nil {
		return errors.New("run agent: no backend server is set")
	}
	a.setDefaults()
	a.Node.OnRowChange = a.onRowChange
	a.Node.Init()
	a.initKeeper()
	a.Node.Mux.Handle(peer.MethodDispatch, a.serve)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		a.shutdown(runCtx)
		cancel()
	})
	defer stop()
	return a.Node.Run(runCtx, a.controllers()...)
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
	a.scheduler = newScheduler(a.Slots, a.MaxWaiting, a.Node.Clock)
	a.ledger = &once.Ledger{}
	a.signer = once.NewSigner(a.Secret)
}

// initKeeper creates the keeper of KV cache state, which only model engines need.
func (a *Agent) initKeeper() {
	if a.Engine == nil {
		return
	}
	a.keeper = &kept.Keeper{
		Self: a.Node.Self, Engine: a.Engine, Members: a.Node.Members, Clock: a.Node.Clock, Log: a.Node.Log,
		Stores: &blockstore.Client{HTTP: backend.NewHTTPClient()},
		Sealer: keep.NewSealer(a.Secret),
	}
	if events, ok := a.Engine.(kept.EventSource); ok {
		a.keeper.Events = events
	}
	a.keeper.Init()
}

func (a *Agent) onRowChange(before, after rillreach.Row) {
	if a.keeper != nil && before.Account != "" {
		a.keeper.CopyAhead(before, after)
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

// errGraceExpired is the cause for canceling requests that do not finish within the grace period.
var errGraceExpired = errors.New("agent ends, its grace is over")

// shutdown stops the agent within the grace period. Requests that do not finish in time get a final response before
// their connections close.
func (a *Agent) shutdown(ctx context.Context) {
	a.Node.Log.Info("leaving", "instance", a.Node.Self.ID)
	a.scheduler.close()
	a.Node.AnnounceLeaving(ctx)
	deadline := time.Now().Add(a.Grace - node.FinalResponseWindow(a.Grace))
	a.awaitKeyRelease(deadline)
	if !a.running.Wait(time.Until(deadline)) {
		a.Node.Log.Info("grace period has expired, canceling requests", "decision", "give-up", "requests", a.running.Count())
		a.scheduler.cancelWaiting()
		a.running.CancelAll(errGraceExpired)
	}
	a.Node.AwaitDelivery(ctx, a.Grace)
	a.Node.Deregister(ctx)
}

// awaitKeyRelease waits, at most until the deadline, until this agent owns no more new keys, and then releaseDelay
// longer, so that callers can still ask for outcomes. During that time the agent delegates the requests whose keys it
// owns to other agents.
func (a *Agent) awaitKeyRelease(deadline time.Time) {
	if a.Engine != nil {
		return
	}
	for time.Now().Before(deadline) && !a.Node.Owners.Released(a.Node.Self.Service, a.Node.Self.Incarnation) {
		time.Sleep(releasePollInterval)
	}
	if time.Now().Before(deadline) {
		time.Sleep(min(releaseDelay, time.Until(deadline)))
	}
}
