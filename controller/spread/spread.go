package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/replicate"
)

const (
	// DefaultSyncInterval is the default time between two comparisons of watermarks with a partner.
	DefaultSyncInterval = 2 * time.Second
	// DefaultWatchTimeout is the default for how long one watch waits for a change.
	DefaultWatchTimeout = 5 * time.Second

	// coalesceDelay is the pause between two watches of a kind. It limits each watcher to five calls a second in a burst
	// of changes, because the changes during the pause arrive in one response.
	coalesceDelay  = 200 * time.Millisecond
	requestTimeout = 2 * time.Second
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// roundDuration is how long a process keeps the same partners.
	roundDuration     = 10 * time.Minute
	planCheckInterval = 500 * time.Millisecond
	// staleAfterWatches is the number of watch timeouts without a confirmation after which the rows are stale.
	staleAfterWatches = 3
)

// Stats counts the replication work of this process.
type Stats struct {
	PlatformCalls atomic.Int64
	Pushes        atomic.Int64
	Syncs         atomic.Int64
	Deltas        atomic.Int64
	// CatchUps counts the syncs that were started because a request or response showed that this process was behind.
	CatchUps atomic.Int64
}

// Controller replicates the platform's objects to one process.
type Controller struct {
	// Self is this process.
	Self rillreach.Instance
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// Replica holds the replicated objects.
	Replica *replicate.Replica
	// Members are the known processes.
	Members *membership.Members
	// Pool connects to peers.
	Pool *peer.Pool
	// Clock is the source of the current time.
	Clock rillreach.Clock
	// Log receives failed calls and unreachable peers.
	Log logr.Logger
	// SyncInterval is the mean time between two syncs, and WatchTimeout how long one watch waits for a change; zero
	// means the default.
	SyncInterval time.Duration
	WatchTimeout time.Duration
	// Stats counts the replication work.
	Stats Stats

	mu              sync.Mutex
	plan            replicate.Plan
	planChangeCount uint64
	roundStartedAt  time.Time
	round           uint64
	pushes          pushGroup
	// confirmedAt is when the replica of the rows was last confirmed to be up to date, by this process's clock, in
	// nanoseconds since the Unix epoch.
	confirmedAt atomic.Int64
	baseCtx     context.Context
}

// pushGroup runs pushes to children until it is closed. It is needed because peers still send changes, which would be
// pushed on, while the controller shuts down. Its zero value is ready to use.
type pushGroup struct {
	mu     sync.Mutex
	closed bool
	wg     conc.WaitGroup
}

// Go starts a push unless the group is closed.
func (p *pushGroup) Go(push func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.wg.Go(push)
	}
}

// Close prevents new pushes and waits for the running ones.
func (p *pushGroup) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.wg.Wait()
}

// Name returns the controller's name.
func (c *Controller) Name() string { return "spread" }

// Register registers the handlers of requests from peers.
func (c *Controller) Register(mux *peer.Mux) {
	peer.HandleUnary(mux, peer.MethodPush, c.handlePush)
	peer.HandleUnary(mux, peer.MethodSync, c.handleSync)
	peer.HandleUnary(mux, peer.MethodAnnounce, c.handleAnnounce)
	peer.HandleUnary(mux, peer.MethodCount, c.handleCount)
}

// Run replicates the objects until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.setDefaults()
	c.baseCtx = ctx
	c.Members.Upsert(c.Self)
	c.confirmedAt.Store(c.Clock.Now().UnixNano())
	c.bootstrap(ctx)
	var wg conc.WaitGroup
	for _, kind := range c.Replica.Kinds() {
		wg.Go(func() { c.watchLoop(ctx, kind) })
	}
	wg.Go(func() { c.syncLoop(ctx) })
	wg.Wait()
	c.pushes.Close()
	return nil
}

func (c *Controller) setDefaults() {
	if c.SyncInterval == 0 {
		c.SyncInterval = DefaultSyncInterval
	}
	if c.WatchTimeout == 0 {
		c.WatchTimeout = DefaultWatchTimeout
	}
}

// bootstrap lists the instances from the platform and syncs the rest from a peer, so that many processes starting
// together do not all list everything from the platform.
func (c *Controller) bootstrap(ctx context.Context) {
	if err := c.list(ctx, rillreach.KindInstance); err != nil {
		c.Log.Info("listing instances at start failed", "cause", err.Error())
	}
	for _, id := range c.currentPlan().Partners {
		if c.syncWith(ctx, id) == nil {
			return
		}
	}
}

// watchLoop watches one kind while this process is a watcher.
func (c *Controller) watchLoop(ctx context.Context, kind rillreach.ObjectKind) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		if !c.currentPlan().IsWatcher {
			pause.For(ctx, planCheckInterval)
			continue
		}
		if err := c.watch(ctx, kind); err != nil {
			c.Log.V(1).Info("watch failed", "kind", kind, "cause", err.Error())
			pause.For(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = initialBackoff
		pause.For(ctx, coalesceDelay)
	}
}

func (c *Controller) watch(ctx context.Context, kind rillreach.ObjectKind) error {
	watermark := c.Replica.Watermark(kind)
	if watermark.Version == 0 {
		return c.list(ctx, kind)
	}
	c.Stats.PlatformCalls.Add(1)
	page, err := c.Store.Watch(ctx, kind, watermark.Version, c.WatchTimeout)
	if errors.Is(err, rillreach.ErrNotFound) {
		return c.list(ctx, kind)
	}
	if err != nil {
		return err
	}
	c.merge(replicate.Delta{
		From:    watermark.Version,
		To:      replicate.Watermark{Kind: kind, Version: page.Version, Time: page.Time},
		Objects: page.Objects,
	}, "")
	return nil
}

func (c *Controller) list(ctx context.Context, kind rillreach.ObjectKind) error {
	c.Stats.PlatformCalls.Add(1)
	page, err := c.Store.List(ctx, kind)
	if err != nil {
		return err
	}
	c.merge(replicate.Delta{
		To:       replicate.Watermark{Kind: kind, Version: page.Version, Time: page.Time},
		Snapshot: true,
		Objects:  page.Objects,
	}, "")
	return nil
}

// merge merges a delta into the replica. If that changed objects, merge pushes the delta to this process's children,
// except the sender of the delta. Snapshots are not pushed.
func (c *Controller) merge(d replicate.Delta, from rillreach.InstanceID) replicate.MergeResult {
	result := c.Replica.Merge(d)
	if d.To.Kind == rillreach.KindRow && (result == replicate.MergeApplied || result == replicate.MergeConfirmed) {
		c.confirmedAt.Store(c.Clock.Now().UnixNano())
	}
	if result != replicate.MergeApplied || d.Snapshot {
		return result
	}
	c.Stats.Deltas.Add(1)
	for _, child := range c.currentPlan().Children {
		if child != from {
			c.pushes.Go(func() { c.push(child, d) })
		}
	}
	return result
}

func (c *Controller) push(to rillreach.InstanceID, d replicate.Delta) {
	c.Stats.Pushes.Add(1)
	ctx, cancel := context.WithTimeout(c.baseCtx, requestTimeout)
	defer cancel()
	conn, err := c.connect(ctx, to)
	if err != nil {
		c.Log.V(1).Info("push failed", "peer", to, "cause", err.Error())
		return
	}
	if _, err := peer.Invoke[fleet.PushRequest, fleet.PushResponse](ctx, conn, peer.MethodPush, fleet.PushRequest{Delta: d}); err != nil {
		c.Log.V(1).Info("push failed", "peer", to, "cause", err.Error())
	}
}

func (c *Controller) connect(ctx context.Context, id rillreach.InstanceID) (*peer.Conn, error) {
	m := c.Members.Find(id)
	if m == nil {
		return nil, errors.Newf("peer %s is not a known member", id)
	}
	return c.Pool.Get(ctx, m.Address)
}

func (c *Controller) handlePush(ctx context.Context, from *peer.Conn, req fleet.PushRequest) (fleet.PushResponse, error) {
	if c.merge(req.Delta, from.Peer.ID) == replicate.MergeGap {
		if err := c.syncOn(ctx, from); err != nil {
			return fleet.PushResponse{}, err
		}
	}
	return fleet.PushResponse{Watermark: c.Replica.Watermark(req.Delta.To.Kind)}, nil
}

func (c *Controller) handleAnnounce(_ context.Context, from *peer.Conn, req fleet.AnnounceRequest) (fleet.AnnounceResponse, error) {
	if req.Instance.ID != from.Peer.ID {
		return fleet.AnnounceResponse{}, rillreach.NotRun(rillreach.ReasonBadRequest, "notice is about another instance than its sender")
	}
	c.Members.Upsert(req.Instance)
	return fleet.AnnounceResponse{}, nil
}

func jitter(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait)
}
