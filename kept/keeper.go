package kept

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/blockstore"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/membership"
)

const (
	lookupTimeout = 100 * time.Millisecond
	workTimeout   = 30 * time.Second
	eventsEvery   = 500 * time.Millisecond
	jobQueue      = 256
	hitWeight     = 0.05
	// minTokens is the shortest prompt whose state is looked for.
	minTokens = 64
	// retention is for how long a store is expected to hold a block.
	retention = 24 * time.Hour
)

// EventSource is an engine that publishes what its cache drops.
type EventSource interface {
	// Events returns the events from a sequence on.
	Events(ctx context.Context, from uint64) (keep.EventPage, error)
}

// Keeper is the work on kept state beside one engine; exported fields are set before Run.
type Keeper struct {
	// Self is this process.
	Self rillreach.Instance
	// Engine is beside it.
	Engine rillreach.Engine
	// Events publishes what the engine's cache drops; nil means that nobody does.
	Events EventSource
	// Stores calls the stores.
	Stores *blockstore.Client
	// Members are the known instances.
	Members *membership.Members
	// Sealer seals blocks.
	Sealer keep.Sealer
	// Clock tells the time.
	Clock rillreach.Clock
	// Log takes a line for each decision.
	Log logr.Logger
	// Stats counts the work.
	Stats Stats

	resident keep.CacheEstimate
	jobs     chan func(context.Context)

	mu     sync.Mutex
	links  map[rillreach.InstanceID]*keep.Link
	recent recent
	// hits is how often the engine's memory has lately held a prompt that returned, stateBytes a token's state.
	hits       float64
	stateBytes float64
}

// Init readies the keeper; it must be called before any other method.
func (k *Keeper) Init() {
	k.jobs = make(chan func(context.Context), jobQueue)
	k.links = map[rillreach.InstanceID]*keep.Link{}
	k.recent = newRecent()
}

// Name is the controller's name.
func (k *Keeper) Name() string { return "kept" }

// Run follows the engine's events, and does the work that can wait, until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { k.work(ctx) })
	if k.Events != nil {
		wg.Go(func() { k.follow(ctx) })
	}
	wg.Wait()
	return nil
}

// RecordAnswer notes that the engine has answered a prompt, and has its state written to a store in the background.
func (k *Keeper) RecordAnswer(d fleet.Dispatch) {
	if len(d.Blocks) == 0 || d.Tokens < minTokens {
		return
	}
	k.resident.Add(d.Blocks[len(d.Blocks)-1], d.Salt, d.Tokens)
	k.mu.Lock()
	k.recent.answered(k.Clock.Now(), d)
	k.mu.Unlock()
	k.later(func(ctx context.Context) { k.export(ctx, d) })
}

// later has work done in the background, unless there is too much of it already.
func (k *Keeper) later(job func(context.Context)) {
	select {
	case k.jobs <- job:
	default:
		k.Stats.Dropped.Add(1)
	}
}

func (k *Keeper) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-k.jobs:
			k.runJob(ctx, job)
		}
	}
}

func (k *Keeper) runJob(ctx context.Context, job func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	job(ctx)
}

func (k *Keeper) follow(ctx context.Context) {
	pause.Every(ctx, eventsEvery, k.readEvents)
}

func (k *Keeper) readEvents(ctx context.Context) {
	page, err := k.Events.Events(ctx, k.resident.NextSequence())
	if err != nil {
		k.Log.V(1).Info("cache events not read", "cause", err.Error())
		return
	}
	k.resident.ApplyEvents(page)
	if len(page.Events) > 0 {
		k.Log.Info("cache events", "count", len(page.Events), "next", page.Next)
	}
}

// Rates are how often the engine's memory has lately held the state of a prompt that returned, what the slowest link
// to a store carries in bytes a second, and the size of a token's state in bytes.
func (k *Keeper) Rates() (hits, link, stateBytes float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.links {
		if rate := l.Rate(); link == 0 || rate < link {
			link = rate
		}
	}
	return k.hits, link, k.stateBytes
}

// noteHit notes whether the engine's memory held a prompt that returned.
func (k *Keeper) noteHit(hit bool) {
	seen := 0.0
	if hit {
		seen = 1
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hits += hitWeight * (seen - k.hits)
}

func (k *Keeper) linkTo(id rillreach.InstanceID) *keep.Link {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.links[id]
	if l == nil {
		l = &keep.Link{}
		k.links[id] = l
	}
	return l
}
