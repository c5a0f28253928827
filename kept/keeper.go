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
	lookupTimeout  = 100 * time.Millisecond
	jobTimeout     = 30 * time.Second
	eventsInterval = 500 * time.Millisecond
	maxQueuedJobs  = 256
	// hitRateWeight is the weight of the newest sample in the moving average of the hit rate.
	hitRateWeight = 0.05
	// minPromptTokens is the length of the shortest prompt whose state is imported or exported.
	minPromptTokens = 64
	// expectedRetention is how long a store is expected to keep a block.
	expectedRetention = 24 * time.Hour
)

// EventSource is an engine that publishes the evictions from its cache.
type EventSource interface {
	// Events returns the events starting with the given sequence.
	Events(ctx context.Context, from uint64) (keep.EventPage, error)
}

// Keeper imports, exports and copies state for one engine. Exported fields must be set before Init.
type Keeper struct {
	// Self is this process.
	Self rillreach.Instance
	// Engine is the engine on this process's backend server.
	Engine rillreach.Engine
	// Events publishes the evictions from the engine's cache. It may be nil.
	Events EventSource
	// Stores is the client for all stores.
	Stores *blockstore.Client
	// Members are the known instances.
	Members *membership.Members
	// Sealer seals and opens blocks.
	Sealer keep.Sealer
	// Clock returns the current time.
	Clock rillreach.Clock
	// Log receives one line for each decision.
	Log logr.Logger
	// Stats counts transfers and failures.
	Stats Stats

	cache keep.CacheEstimate
	jobs  chan func(context.Context)

	mu            sync.Mutex
	links         map[rillreach.InstanceID]*keep.Link
	conversations conversations
	// hitRate is a moving average of how often the state of a returning prompt was still in the engine's memory,
	// bytesPerToken the size of a token's state in the last export.
	hitRate       float64
	bytesPerToken float64
}

// Init prepares the keeper. It must be called before any other method.
func (k *Keeper) Init() {
	k.jobs = make(chan func(context.Context), maxQueuedJobs)
	k.links = map[rillreach.InstanceID]*keep.Link{}
	k.conversations = newConversations()
}

// Name returns the controller's name.
func (k *Keeper) Name() string { return "kept" }

// Run processes the engine's events and the background jobs until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { k.runJobs(ctx) })
	if k.Events != nil {
		wg.Go(func() { k.pollEvents(ctx) })
	}
	wg.Wait()
	return nil
}

// RecordAnswer records that the engine has answered a prompt, and exports its state in the background.
func (k *Keeper) RecordAnswer(d fleet.Dispatch) {
	if len(d.Blocks) == 0 || d.Tokens < minPromptTokens {
		return
	}
	k.cache.Add(d.Blocks[len(d.Blocks)-1], d.Salt, d.Tokens)
	k.mu.Lock()
	k.conversations.recordAnswer(k.Clock.Now(), d)
	k.mu.Unlock()
	k.enqueueJob(func(ctx context.Context) { k.exportState(ctx, d) })
}

// enqueueJob runs a job in the background. It drops the job if the queue is full.
func (k *Keeper) enqueueJob(job func(context.Context)) {
	select {
	case k.jobs <- job:
	default:
		k.Stats.Dropped.Add(1)
	}
}

func (k *Keeper) runJobs(ctx context.Context) {
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
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	job(ctx)
}

func (k *Keeper) pollEvents(ctx context.Context) {
	pause.Every(ctx, eventsInterval, k.readEvents)
}

func (k *Keeper) readEvents(ctx context.Context) {
	page, err := k.Events.Events(ctx, k.cache.NextSequence())
	if err != nil {
		k.Log.V(1).Info("failed to read cache events", "cause", err.Error())
		return
	}
	k.cache.ApplyEvents(page)
	if len(page.Events) > 0 {
		k.Log.Info("cache events", "count", len(page.Events), "next", page.Next)
	}
}

// Rates returns a moving average of how often the state of a returning prompt was still in the engine's memory, the
// rate of the slowest link to a store in bytes per second, and the size of a token's state in bytes. The last two are
// zero while they are not known.
func (k *Keeper) Rates() (hitRate, linkRate, bytesPerToken float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.links {
		if rate := l.Rate(); linkRate == 0 || rate < linkRate {
			linkRate = rate
		}
	}
	return k.hitRate, linkRate, k.bytesPerToken
}

// recordHit records whether the state of a returning prompt was still in the engine's memory.
func (k *Keeper) recordHit(hit bool) {
	sample := 0.0
	if hit {
		sample = 1
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hitRate += hitRateWeight * (sample - k.hitRate)
}

// linkTo returns the link to a store, and creates it if necessary.
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
