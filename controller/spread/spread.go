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
	// DefaultSyncInterval is how often marks are compared with a partner.
	DefaultSyncInterval = 2 * time.Second
	// DefaultWatchTimeout is how long one watch waits for a change.
	DefaultWatchTimeout = 5 * time.Second

	// watchGap is the least time between two watches of a kind, so that a burst of changes costs the platform no more
	// than five calls a second for each watcher; the changes of one gap come together.
	watchGap       = 200 * time.Millisecond
	askTimeout     = 2 * time.Second
	minBackoff     = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
	redrawEvery    = 10 * time.Minute
	planCheckEvery = 500 * time.Millisecond
	// staleWatches is after how many watches' length without a confirmation the watchers are looked after.
	staleWatches = 3
)

// Stats counts what the spreading has cost this process.
type Stats struct {
	PlatformCalls atomic.Int64
	Pushes        atomic.Int64
	Syncs         atomic.Int64
	Deltas        atomic.Int64
	// CatchUps counts how often real traffic has shown that this process was behind.
	CatchUps atomic.Int64
}

// Controller is the spreading of one process.
type Controller struct {
	// Self is this process.
	Self rillreach.Instance
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// Replica is what is kept close to the platform.
	Replica *replicate.Replica
	// Members are the known processes.
	Members *membership.Members
	// Pool connects to peers.
	Pool *peer.Pool
	// Clock tells the time.
	Clock rillreach.Clock
	// Log takes what goes wrong.
	Log logr.Logger
	// SyncInterval and WatchWait are the rhythm; zero means the defaults.
	SyncInterval time.Duration
	WatchTimeout time.Duration
	// Stats counts the cost.
	Stats Stats

	mu      sync.Mutex
	plan    replicate.Plan
	planned uint64
	drawn   time.Time
	turn    uint64
	pushes  pushGroup
	// confirmed is when the copy of the rows was last confirmed to be all there is, by this process's clock.
	confirmed atomic.Int64
	base      context.Context
}

// pushGroup runs pushes to children until it is ended: peers go on sending what would be pushed on while the controller ends. Its
// zero value is ready.
type pushGroup struct {
	mu    sync.Mutex
	ended bool
	wg    conc.WaitGroup
}

// Go runs a push, unless the group has ended.
func (p *pushGroup) Go(push func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.wg.Go(push)
	}
}

// End starts no more pushes, and waits for those that run.
func (p *pushGroup) End() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.wg.Wait()
}

// Name is the controller's name.
func (c *Controller) Name() string { return "spread" }

// Register sets the handlers for what peers ask of this controller.
func (c *Controller) Register(mux *peer.Mux) {
	peer.HandleUnary(mux, peer.MethodPush, c.takePush)
	peer.HandleUnary(mux, peer.MethodSync, c.answerSync)
	peer.HandleUnary(mux, peer.MethodAnnounce, c.takeNotice)
	peer.HandleUnary(mux, peer.MethodCount, c.answerCount)
}

// Run keeps the copy close to the platform until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.setDefaults()
	c.base = ctx
	c.Members.Upsert(c.Self)
	c.confirmed.Store(c.Clock.Now().UnixNano())
	c.bootstrap(ctx)
	var wg conc.WaitGroup
	for _, kind := range c.Replica.Kinds() {
		wg.Go(func() { c.watchAll(ctx, kind) })
	}
	wg.Go(func() { c.digestAll(ctx) })
	wg.Wait()
	c.pushes.End()
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

// bootstrap learns the instances from the platform and the rest from a peer, so that many processes that start
// together do not all read everything from the platform.
func (c *Controller) bootstrap(ctx context.Context) {
	if err := c.list(ctx, rillreach.KindInstance); err != nil {
		c.Log.Info("instances not listed at start", "cause", err.Error())
	}
	for _, id := range c.currentPlan().Partners {
		if c.syncWith(ctx, id) == nil {
			return
		}
	}
}

// watchAll watches one kind whenever that is this process's task.
func (c *Controller) watchAll(ctx context.Context, kind rillreach.ObjectKind) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !c.currentPlan().IsWatcher {
			pause.For(ctx, planCheckEvery)
			continue
		}
		if err := c.watch(ctx, kind); err != nil {
			c.Log.V(1).Info("watch failed", "kind", kind, "cause", err.Error())
			pause.For(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		pause.For(ctx, watchGap)
	}
}

func (c *Controller) watch(ctx context.Context, kind rillreach.ObjectKind) error {
	mark := c.Replica.Watermark(kind)
	if mark.Version == 0 {
		return c.list(ctx, kind)
	}
	c.Stats.PlatformCalls.Add(1)
	page, err := c.Store.Watch(ctx, kind, mark.Version, c.WatchTimeout)
	if errors.Is(err, rillreach.ErrNotFound) {
		return c.list(ctx, kind)
	}
	if err != nil {
		return err
	}
	c.merge(replicate.Delta{
		From:    mark.Version,
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

// merge takes a delta in and hands it on if it was new.
func (c *Controller) merge(d replicate.Delta, from rillreach.InstanceID) replicate.MergeResult {
	verdict := c.Replica.Merge(d)
	if d.To.Kind == rillreach.KindRow && (verdict == replicate.MergeApplied || verdict == replicate.MergeConfirmed) {
		c.confirmed.Store(c.Clock.Now().UnixNano())
	}
	if verdict != replicate.MergeApplied || d.Snapshot {
		return verdict
	}
	c.Stats.Deltas.Add(1)
	for _, child := range c.currentPlan().Children {
		if child != from {
			c.pushes.Go(func() { c.push(child, d) })
		}
	}
	return verdict
}

func (c *Controller) push(to rillreach.InstanceID, d replicate.Delta) {
	c.Stats.Pushes.Add(1)
	ctx, cancel := context.WithTimeout(c.base, askTimeout)
	defer cancel()
	conn, err := c.connect(ctx, to)
	if err != nil {
		c.Log.V(1).Info("change not handed on", "peer", to, "cause", err.Error())
		return
	}
	if _, err := peer.Invoke[fleet.PushRequest, fleet.PushResponse](ctx, conn, peer.MethodPush, fleet.PushRequest{Delta: d}); err != nil {
		c.Log.V(1).Info("change not handed on", "peer", to, "cause", err.Error())
	}
}

func (c *Controller) connect(ctx context.Context, id rillreach.InstanceID) (*peer.Conn, error) {
	m := c.Members.Find(id)
	if m == nil {
		return nil, errors.Newf("peer %s is not known", id)
	}
	return c.Pool.Get(ctx, m.Address)
}

func (c *Controller) takePush(ctx context.Context, from *peer.Conn, p fleet.PushRequest) (fleet.PushResponse, error) {
	if c.merge(p.Delta, from.Peer.ID) == replicate.MergeGap {
		if err := c.syncOver(ctx, from); err != nil {
			return fleet.PushResponse{}, err
		}
	}
	return fleet.PushResponse{Watermark: c.Replica.Watermark(p.Delta.To.Kind)}, nil
}

func (c *Controller) takeNotice(_ context.Context, from *peer.Conn, n fleet.AnnounceRequest) (fleet.AnnounceResponse, error) {
	if n.Instance.ID != from.Peer.ID {
		return fleet.AnnounceResponse{}, rillreach.NotRun(rillreach.ReasonBadRequest, "notice is about another instance than its sender")
	}
	c.Members.Upsert(n.Instance)
	return fleet.AnnounceResponse{}, nil
}

func jitter(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait)
}
